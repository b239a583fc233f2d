"""Age of a gateway's view of the site.

A gateway asks control again and again whether its view is the newest. The
answer is as old as the question, however late it is read: a process that stood
still finds answers in its buffers that say nothing about the time since.
"""

from __future__ import annotations

import logging
import random
import typing

import anyio
import attrs

from cactusstile import clocks

if typing.TYPE_CHECKING:
    import collections.abc

logger = logging.getLogger(__name__)

# Questions whose answers may still come; older ones are forgotten.
MAX_OPEN_QUESTIONS = 64
# Time after which an unanswered urgent question is asked again.
REPEAT_AFTER_S = 0.2
_FIRST_NUMBER_BITS = 32


def _draw_first_number() -> int:
    """Returns a number that no earlier process of this VM is likely to use."""
    return 1 + random.getrandbits(_FIRST_NUMBER_BITS)


def _never() -> float:
    return float("-inf")


@attrs.define
class ViewAge:
    """Tells whether the view may decide on requests.

    Times are boot times, which go on while the VM is suspended.

    Attributes:
      limit_s: Age from which the view does not decide; infinite for a view that
        nobody confirms.
      cut_off_s: Age from which control counts as out of reach, so that waiting
        for it would serve nobody.
      last_pause_s: Returns the loop time at which the process last noticed that
        it had stood still.
      ask_soon: Asks control a question ahead of time.
      nobody_leads: Returns whether control certainly has no leader, and had
        told all before it lost the last one.
      confirmed_s: Time of the newest question that was answered.
      is_superseded: Whether control has confirmed a newer configuration than
        the view contains.
      waits: Requests that waited for a confirmation.
      unconfirmed: Requests that got none in time.
    """

    limit_s: float = float("inf")
    cut_off_s: float = float("inf")
    last_pause_s: collections.abc.Callable[[], float] = _never
    ask_soon: collections.abc.Callable[[], None] = lambda: None
    nobody_leads: collections.abc.Callable[[], bool] = lambda: False
    confirmed_s: float = float("-inf")
    is_superseded: bool = False
    waits: int = 0
    unconfirmed: int = 0
    _created_s: float = attrs.field(factory=clocks.boot_s)
    _open: dict[int, float] = attrs.field(factory=dict)
    _next_number: int = attrs.field(factory=_draw_first_number)
    _urgent_s: float = float("-inf")
    _logged: str = ""
    _confirmed: anyio.Event = attrs.field(factory=anyio.Event)

    def ask(self) -> int:
        """Returns the number of a new question; see `confirm`."""
        number = self._next_number
        self._next_number += 1
        self._open[number] = clocks.boot_s()
        if len(self._open) > MAX_OPEN_QUESTIONS:
            del self._open[next(iter(self._open))]
        return number

    def confirm(self, number: int) -> float:
        """Records the answer to a question; returns the answer's age.

        An answer that came before tells nothing new.
        """
        asked_s = self._open.get(number)
        if asked_s is None:
            return self.age_s()
        for earlier in tuple(self._open):
            if earlier <= number:
                del self._open[earlier]
        self.record(asked_s)
        return clocks.boot_s() - asked_s

    def record(self, asked_s: float) -> None:
        """Records that the view was the newest at a boot time."""
        self.confirmed_s = max(self.confirmed_s, asked_s)
        self._urgent_s = float("-inf")
        if self._logged and self.is_current():
            logger.info("the view is confirmed again", extra=self.describe())
            self._logged = ""
        self._confirmed.set()
        self._confirmed = anyio.Event()

    def age_s(self) -> float:
        """Returns the age of the view, in seconds."""
        return clocks.boot_s() - self.confirmed_s

    def is_current(self) -> bool:
        """Returns whether the view may decide on any request."""
        if self.limit_s == float("inf"):
            return True
        return not self.is_superseded and self.age_s() <= self.limit_s

    def is_cut_off(self) -> bool:
        """Returns whether control is out of reach, and the view goes on.

        A process that has stood still has not tried to reach it meanwhile.
        """
        if self.is_superseded:
            return False
        if self.nobody_leads():
            return True
        alone_s = self.age_s()
        if alone_s == float("inf"):
            alone_s = clocks.boot_s() - self._created_s
        awake_s = anyio.current_time() - self.last_pause_s()
        return min(alone_s, awake_s) > self.cut_off_s

    def may_decide(self) -> bool:
        """Returns whether the view may decide what runs, without a wait."""
        return self.is_current() or self.is_cut_off()

    async def wait_until_current(self, timeout_s: float) -> bool:
        """Waits for a confirmation; returns whether the view may decide.

        All requests that wait share one question.
        """
        if self.is_current():
            return True
        is_cut_off = self.is_cut_off()
        self._log_outdated(is_cut_off=is_cut_off)
        if is_cut_off:
            return False
        self.waits += 1
        with anyio.move_on_after(timeout_s):
            while not self.is_current():
                self._ask_urgently()
                with anyio.move_on_after(REPEAT_AFTER_S):
                    await self._confirmed.wait()
        if self.is_current():
            return True
        self.unconfirmed += 1
        return False

    def describe(self) -> dict[str, object]:
        """Returns the fields of the state dump."""
        age_s = self.age_s()
        return {
            "age_ms": -1 if age_s == float("inf") else round(age_s * 1000),
            "superseded": self.is_superseded,
            "cut_off": not self.is_current() and self.is_cut_off(),
            "waits": self.waits,
            "unconfirmed": self.unconfirmed,
        }

    def _log_outdated(self, *, is_cut_off: bool) -> None:
        """Logs that the view is outdated, or that control is out of reach."""
        state = "cut off" if is_cut_off else "outdated"
        if state == self._logged:
            return
        self._logged = state
        logger.warning(
            "the view of the site is not confirmed",
            extra={"state": state, **self.describe()},
        )

    def _ask_urgently(self) -> None:
        now_s = clocks.boot_s()
        if now_s - self._urgent_s >= REPEAT_AFTER_S:
            self._urgent_s = now_s
            self.ask_soon()
