"""Binds addresses that cannot be bound yet.

Another process may still use one, the network may be set up later than the
process starts, or the system lacks descriptors or memory for a moment.
"""

from __future__ import annotations

import errno
import logging
import typing

import anyio

if typing.TYPE_CHECKING:
    import collections.abc

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
