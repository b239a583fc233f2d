"""Lets a process outlive faults in its handling of outside input.

Durable state is no outside input: a fault there has to end the process.
"""

from __future__ import annotations

import contextlib
import logging
import typing

import anyio
import attrs

if typing.TYPE_CHECKING:
    import collections.abc

    Function = collections.abc.Callable[..., collections.abc.Awaitable[None]]

logger = logging.getLogger(__name__)

RESTART_DELAY_S = 0.2
_LOG_FACTOR = 10


@attrs.define
class Guard:
    """Contains the faults of one part of a process.

    Attributes:
      part: Name of the part, for logs.
      faults: Number of the faults so far.
    """

    part: str
    faults: int = 0
    _next_logged: int = 1

    @contextlib.contextmanager
    def contain(self) -> collections.abc.Iterator[None]:
        """Ends its block at an exception, which is counted.

        The 1st, 10th, 100th ... fault is logged.
        """
        try:
            yield
        except Exception:
            self.faults += 1
            if self.faults < self._next_logged:
                return
            self._next_logged *= _LOG_FACTOR
            logger.exception(
                "a fault of the program was contained",
                extra={"part": self.part, "faults": self.faults},
            )

    async def run(self, function: Function, *args: object) -> None:
        """Calls a function, which ends at an exception; see `contain`."""
        with self.contain():
            await function(*args)


async def keep_running(part: str, loop: Function, *args: object) -> None:
    """Runs a loop until it returns; starts it again after an exception.

    Args:
      part: Name of the loop, for logs.
      loop: The loop.
      args: Arguments of the loop.
    """
    guard = Guard(part)
    while True:
        with guard.contain():
            await loop(*args)
            return
        await anyio.sleep(RESTART_DELAY_S)
