"""Binds addresses that cannot be bound yet.

Another process may still use one, the network may be set up later than the
process starts, or the system lacks descriptors or memory for a moment.
"""

from __future__ import annotations

import contextlib
import errno
import logging
import socket
import typing

import anyio

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.transport import address

logger = logging.getLogger(__name__)

# Longer than platforms usually let a predecessor take to stop.
IN_USE_LIMIT_S = 10.0
# Errors that may pass.
PASSING = (
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)
PAUSE_S = 0.1

# Connections of the system's own processes that wait to be accepted.
BACKLOG_CONNECTIONS = 4096

_Bound = typing.TypeVar("_Bound")


async def wait_until_free(
    bind: collections.abc.Callable[[], collections.abc.Awaitable[_Bound]],
) -> _Bound:
    """Binds an address; as long as it cannot be bound, tries again for a while.

    A predecessor may not have ended yet, or an outgoing connection may have the
    port; see `PASSING`.

    Args:
      bind: Binds the address and returns what is bound to it.

    Raises:
      OSError: The address cannot be bound, or could not be for
        `IN_USE_LIMIT_S`.
    """
    give_up_s = anyio.current_time() + IN_USE_LIMIT_S
    is_logged = False
    while True:
        try:
            return await bind()
        except OSError as error:
            if error.errno not in PASSING:
                raise
            if anyio.current_time() >= give_up_s:
                raise
            if not is_logged:
                reason = "cannot be bound yet"
                if error.errno == errno.EADDRINUSE:
                    reason = "is in use"
                logger.warning(
                    "an address %s; binding it again for a while",
                    reason,
                    extra={"error": str(error), "limit_s": IN_USE_LIMIT_S},
                )
            is_logged = True
        await anyio.sleep(PAUSE_S)


def bind(on: address.Address, kind: socket.SocketKind) -> socket.socket:
    """Returns a non-blocking socket that is bound to an address.

    No name is looked up: that takes a thread and, even for an IP address, fails
    until the network is set up.

    Raises:
      OSError: The address cannot be bound.
    """
    host, _, scope = on.host.partition("%")
    with contextlib.ExitStack() as stack:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        raw = socket.socket(family, kind)
        stack.callback(raw.close)
        raw.setblocking(False)
        if kind == socket.SOCK_STREAM:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET:
            raw.bind((host, on.port))
        else:
            raw.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
            raw.bind((host, on.port, 0, _scope_number(scope)))
        stack.pop_all()
        return raw


def _scope_number(scope: str) -> int:
    if not scope or scope.isdecimal():
        return int(scope or 0)
    return socket.if_nametoindex(scope)
