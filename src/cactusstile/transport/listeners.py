"""Accepts TCP connections."""

from __future__ import annotations

import errno
import logging
import socket
import typing

import anyio

if typing.TYPE_CHECKING:
    import collections.abc

    Configure = collections.abc.Callable[[socket.socket], None]

logger = logging.getLogger(__name__)

RETRY_DELAY_S = 0.05
# Errors of the listener itself; all others may pass.
_CLOSED = (errno.EBADF, errno.EINVAL, errno.ENOTSOCK)


async def accept(
    listener: socket.socket, configure: Configure = lambda _: None
) -> socket.socket:
    """Returns the next connection of a listener, as a non-blocking socket.

    The accept of the event loop's own loses a connection that arrives while it
    is cancelled.

    Args:
      listener: The listener.
      configure: Sets options of a connection. One that refuses them was reset
        before; it is closed.

    Raises:
      OSError: The listener is closed.
    """
    has_failed = False
    while True:
        try:
            raw, _ = listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            await anyio.wait_readable(listener)
            continue
        except OSError as error:
            if error.errno in _CLOSED:
                raise
            # Out of descriptors or memory, or an error of a connection: Linux
            # passes pending errors of the network on to the next accept.
            if not has_failed:
                logger.warning("a connection was not accepted: %s", error)
            has_failed = True
            await anyio.sleep(RETRY_DELAY_S)
            continue
        try:
            raw.setblocking(False)
            configure(raw)
        except OSError:
            raw.close()
            continue
        return raw
