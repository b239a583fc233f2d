"""Runs a process on an event loop that stands pauses of the process.

The default event loop has a clock that stands still while a VM is suspended, so
that what was confirmed or measured before would count as new afterwards. And
after a pause it handles timers before what has arrived meanwhile.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import functools
import math
import selectors
import typing

import anyio
import anyio.lowlevel
import attrs

from cactusstile import clocks

if typing.TYPE_CHECKING:
    import contextvars

    Events = list[tuple[selectors.SelectorKey, int]]

# Shorter excesses of a wait are no pause.
MIN_PAUSE_S = 0.05
# Time after a pause in which what arrived during it is read.
CATCH_UP_S = 0.25
# Turns of the loop right after a pause before timers run, and the longest time
# that these may take.
TURNS_AFTER_PAUSE = 16
MAX_TURNS_S = 1.0
# Shortest time from these turns to the next such turns: a loop that is always
# late has to end what is late.
MIN_CATCH_UP_INTERVAL_S = 1.0
# A pause that is longer by this factor than the one before begins such turns
# at once; within the interval that happens a few times only.
LONGER_FACTOR = 2.0
# Pauses of this length begin them at once, too, so many times in a period.
LONG_PAUSE_S = 0.5
MAX_LONG_PAUSES = 3
LONG_PAUSES_PERIOD_S = 5.0

_T = typing.TypeVar("_T")
_Arguments = typing.TypeVarTuple("_Arguments")


class ArrivalsFirstSelector(selectors.DefaultSelector):
    """Selector that never reports nothing while input waits.

    A wait that is interrupted, as by SIGSTOP and SIGCONT, ends without another
    look at the descriptors once its time is over. The loop would handle all
    timers that expired in the meantime, and close connections whose requests
    or answers have arrived.

    Attributes:
      in_time_s: Boot time until which the loop is known to have run as it
        should: until the last wait ended or was due to end.
      resumed_s: Boot time at which the loop last began to catch up, after it
        had stood still in a wait or between two waits.
      turns: Turns of the loop since then.
    """

    def __init__(self) -> None:
        """Creates a selector without descriptors."""
        super().__init__()
        self.in_time_s = math.inf
        self.resumed_s = -math.inf
        self.turns = 0
        self._resumed_from_s = 0.0
        self._caught_up_s = math.inf
        self._long_pauses_s: collections.deque[float] = collections.deque(
            maxlen=MAX_LONG_PAUSES
        )
        self._ended_s = math.inf

    def select(self, timeout: float | None = None) -> Events:
        """Waits for events; see `selectors.BaseSelector.select`."""
        begun_s = clocks.boot_s()
        self.turns += 1
        if self.turns == TURNS_AFTER_PAUSE:
            self._caught_up_s = begun_s
        self._resume(begun_s, begun_s - self._ended_s)
        due_s = math.inf if timeout is None else begun_s + max(timeout, 0.0)
        self.in_time_s = due_s
        events = super().select(timeout)
        self._ended_s = clocks.boot_s()
        self.in_time_s = min(due_s, self._ended_s)
        self._resume(self._ended_s, self._ended_s - due_s)
        if events or (timeout is not None and timeout <= 0):
            return events
        return super().select(0)

    def is_in_first_turns(self) -> bool:
        """Returns whether what arrived in a pause may not have been read."""
        is_new = clocks.boot_s() - self.resumed_s < MAX_TURNS_S
        return is_new and self.turns < TURNS_AFTER_PAUSE

    def _resume(self, now_s: float, pause_s: float) -> None:
        """Begins to catch up, unless it did so shortly before.

        A hiccup does not stand in for a pause that is much longer.
        """
        if pause_s <= MIN_PAUSE_S:
            return
        caught_up_s = min(self._caught_up_s, self.resumed_s + MAX_TURNS_S)
        if (
            now_s - caught_up_s <= MIN_CATCH_UP_INTERVAL_S
            and pause_s <= LONGER_FACTOR * self._resumed_from_s
            and not self._is_rare(now_s, pause_s)
        ):
            return
        if pause_s >= LONG_PAUSE_S:
            self._long_pauses_s.append(now_s)
        self.resumed_s, self._resumed_from_s = now_s, pause_s
        self._caught_up_s = math.inf
        self.turns = 0

    def _is_rare(self, now_s: float, pause_s: float) -> bool:
        """Returns whether a long pause comes after few others."""
        before_s = self._long_pauses_s
        if pause_s < LONG_PAUSE_S:
            return False
        if len(before_s) < MAX_LONG_PAUSES:
            return True
        return now_s - before_s[0] > LONG_PAUSES_PERIOD_S


class BootTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on the clock of `clocks.boot_s`.

    Attributes:
      selector: The selector.
    """

    def __init__(self) -> None:
        """Creates a loop that looks at arrivals before time runs out."""
        self.selector = ArrivalsFirstSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        """Returns seconds since boot, including time in suspension."""
        return clocks.boot_s()

    def call_at(
        self,
        when: float,
        callback: collections.abc.Callable[[typing.Unpack[_Arguments]], object],
        *args: *_Arguments,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedules a callback; see `asyncio.AbstractEventLoop.call_at`.

        Right after a pause it runs some turns late: what arrived may reach the
        task that waits for it by way of others.
        """
        late = _LateCall(self, functools.partial(callback, *args))
        timer = super().call_at(when, late.run, context=context)
        late.timer = timer
        return timer

    def is_catching_up(self) -> bool:
        """Returns whether what arrived in a pause may still be unread."""
        return self.time() - self.selector.resumed_s < CATCH_UP_S


@attrs.define(eq=False)
class _LateCall:
    """A timer's callback that lets some turns of the loop pass after a pause.

    Attributes:
      loop: The loop.
      callback: The callback.
      timer: The timer; None once it has run.
    """

    loop: BootTimeLoop
    callback: collections.abc.Callable[[], object]
    timer: asyncio.TimerHandle | None = None

    def run(self) -> None:
        """Runs the callback, in a later turn if the loop has just resumed."""
        if self.timer is None or self.timer.cancelled():
            return
        if self.loop.selector.is_in_first_turns():
            self.loop.call_soon(self.run)
            return
        # The timer refers to this object.
        self.timer = None
        self.callback()


def stood_still_s(loop: asyncio.AbstractEventLoop) -> float:
    """Returns for how long `loop` may have stood still until now, in seconds.

    What interrupts a pause, such as a signal, is noticed before the loop goes
    on; it may have come at any time in the pause.
    """
    if not isinstance(loop, BootTimeLoop):
        return 0.0
    return max(0.0, clocks.boot_s() - loop.selector.in_time_s)


async def take_turn() -> None:
    """Lets other tasks run.

    Right after a pause this ends no task whose time has run out: it goes on to
    its next wait, and so reads all that has arrived.
    """
    loop = asyncio.get_running_loop()
    if isinstance(loop, BootTimeLoop) and loop.is_catching_up():
        await anyio.lowlevel.cancel_shielded_checkpoint()
        return
    await anyio.lowlevel.checkpoint()


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
