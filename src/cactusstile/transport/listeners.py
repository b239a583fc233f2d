"""Accepts TCP connections."""

from __future__ import annotations

import errno
import socket

import anyio

RETRY_DELAY_S = 0.05
_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOMEM)


async def accept(listener: socket.socket) -> socket.socket:
    """Returns the next connection of a listener, as a non-blocking socket.

    The accept of the event loop's own loses a connection that arrives while it
    is cancelled.

    Raises:
      OSError: The listener is closed.
    """
    while True:
        try:
            raw, _ = listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            await anyio.wait_readable(listener)
            continue
        except OSError as error:
            if error.errno not in _EXHAUSTED:
                raise
            # Out of file descriptors or memory: retry until others are closed.
            await anyio.sleep(RETRY_DELAY_S)
            continue
        raw.setblocking(False)
        return raw
