"""Runs a process on an event loop that stands pauses of the process.

The default event loop has a clock that stands still while a VM is suspended, so
that what was confirmed or measured before would count as new afterwards. And
after a pause it handles timers before what has arrived meanwhile.
"""

from __future__ import annotations

import asyncio
import selectors
import typing

import anyio

from cactusstile import clocks

if typing.TYPE_CHECKING:
    import collections.abc

    Events = list[tuple[selectors.SelectorKey, int]]

_T = typing.TypeVar("_T")
_Arguments = typing.TypeVarTuple("_Arguments")


class ArrivalsFirstSelector(selectors.DefaultSelector):
    """Selector that never reports nothing while input waits.

    A wait that is interrupted, as by SIGSTOP and SIGCONT, ends without another
    look at the descriptors once its time is over. The loop would handle all
    timers that expired in the meantime, and close connections whose requests
    or answers have arrived.
    """

    def select(self, timeout: float | None = None) -> Events:
        """Waits for events; see `selectors.BaseSelector.select`."""
        events = super().select(timeout)
        if events or (timeout is not None and timeout <= 0):
            return events
        return super().select(0)


class BootTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on the clock of `clocks.boot_s`."""

    def __init__(self) -> None:
        """Creates a loop that looks at arrivals before time runs out."""
        super().__init__(ArrivalsFirstSelector())

    def time(self) -> float:
        """Returns seconds since boot, including time in suspension."""
        return clocks.boot_s()


def run(
    main: collections.abc.Callable[
        [typing.Unpack[_Arguments]], collections.abc.Awaitable[_T]
    ],
    *arguments: *_Arguments,
) -> _T:
    """Runs `main` until it returns; as `anyio.run`."""
    return anyio.run(
        main, *arguments, backend_options={"loop_factory": BootTimeLoop}
    )
