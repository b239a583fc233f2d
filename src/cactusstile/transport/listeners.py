"""Accepts TCP connections."""

from __future__ import annotations

import contextlib
import errno
import logging
import os
import resource
import socket
import sys
import typing

import anyio

if typing.TYPE_CHECKING:
    import collections.abc

    Configure = collections.abc.Callable[[socket.socket], None]

logger = logging.getLogger(__name__)

RETRY_DELAY_S = 0.05
# Descriptors that connections leave free for files and for own connections: at
# most this number, and this fraction of all.
RESERVED_DESCRIPTORS = 32
RESERVED_FRACTION = 0.25
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
        if await _prepare(raw, configure):
            return raw


async def _prepare(raw: socket.socket, configure: Configure) -> bool:
    """Returns whether a connection may be served; closes it otherwise."""
    with contextlib.ExitStack() as stack:
        stack.callback(raw.close)
        while raw.fileno() >= _first_reserved():
            if _has_room(raw):
                break
            await anyio.sleep(RETRY_DELAY_S)
        try:
            raw.setblocking(False)
            configure(raw)
        except OSError:
            return False
        stack.pop_all()
    return True


def _first_reserved() -> int:
    """Returns the lowest descriptor that connections must not take."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return sys.maxsize
    reserved = min(RESERVED_DESCRIPTORS, int(limit * RESERVED_FRACTION))
    return limit - reserved


def _has_room(raw: socket.socket) -> bool:
    """Returns whether a descriptor is free that is not reserved."""
    try:
        lowest = os.dup(raw.fileno())
    except OSError:
        return False
    os.close(lowest)
    return lowest < _first_reserved()
