"""Event loop of a process that looks at what arrived before time runs out."""

from __future__ import annotations

import asyncio
import math
import selectors
import time
import typing

import anyio

if typing.TYPE_CHECKING:
    import collections.abc

    Events = list[tuple[selectors.SelectorKey, int]]


_Result = typing.TypeVar("_Result")


# Shorter excesses of a wait are no pause.
MIN_PAUSE_S = 0.05
# Time in which a process that goes on has handled its signals.
RESUME_S = 0.25


class ArrivalsFirstSelector(selectors.DefaultSelector):
    """Selector that never reports nothing while input waits.

    A wait that is interrupted, as by SIGSTOP and SIGCONT, ends without another
    look at the descriptors once its time is over. The loop would handle all
    timers that expired in the meantime, and close connections whose requests
    or answers have arrived.

    Attributes:
      pause_s: Length of the last pause of the process: the time by which a wait
        exceeded what was asked for.
      pause_end_s: Monotonic time at which it ended.
    """

    def __init__(self) -> None:
        """Creates a selector without descriptors."""
        super().__init__()
        self.pause_s = 0.0
        self.pause_end_s = -math.inf

    def select(self, timeout: float | None = None) -> Events:
        """Waits for events; see `selectors.BaseSelector.select`."""
        begun_s = time.monotonic()
        events = super().select(timeout)
        if timeout is not None:
            ended_s = time.monotonic()
            excess_s = ended_s - begun_s - max(timeout, 0.0)
            if excess_s > MIN_PAUSE_S:
                self.pause_s, self.pause_end_s = excess_s, ended_s
        if events or (timeout is not None and timeout <= 0):
            return events
        return super().select(0)


class EventLoop(asyncio.SelectorEventLoop):
    """Event loop over an `ArrivalsFirstSelector`.

    Attributes:
      selector: The selector.
    """

    def __init__(self) -> None:
        """Creates a loop that does not run yet."""
        self.selector = ArrivalsFirstSelector()
        super().__init__(self.selector)


def pause_before_s(moment_s: float) -> float:
    """Returns how long the process stood still right before `moment_s`.

    Args:
      moment_s: Monotonic time at which something was noticed.
    """
    loop = asyncio.get_running_loop()
    if not isinstance(loop, EventLoop):
        return 0.0
    # What interrupts a wait is noticed before the wait returns.
    if abs(moment_s - loop.selector.pause_end_s) > RESUME_S:
        return 0.0
    return loop.selector.pause_s


def run(
    main: collections.abc.Callable[..., collections.abc.Awaitable[_Result]],
    *arguments: object,
) -> _Result:
    """Runs `main` with `arguments` in a new event loop; see `anyio.run`."""
    options = {"loop_factory": EventLoop}
    return anyio.run(main, *arguments, backend_options=options)
