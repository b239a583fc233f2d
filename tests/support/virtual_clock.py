"""An asyncio event loop in virtual time: sleeping takes no real time."""

from __future__ import annotations

import asyncio
import typing


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer when nothing is ready.

    Only for code without I/O: a loop that waits for a socket would spin.
    """

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 1000.0

    def time(self) -> float:
        return self._now_s

    def _run_once(self) -> None:
        loop = typing.cast("typing.Any", self)
        if not loop._ready and loop._scheduled:
            self._now_s = max(self._now_s, loop._scheduled[0]._when)
        typing.cast("typing.Any", super())._run_once()


Backend = tuple[str, dict[str, type[asyncio.SelectorEventLoop]]]
BACKEND: Backend = ("asyncio", {"loop_factory": VirtualTimeLoop})
