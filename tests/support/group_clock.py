"""Clock of replicas that run in the test's process."""

from __future__ import annotations

import time

import anyio
import attrs

TICK_S = 0.01
# Longest time that a group's clock passes from one tick to the next.
MAX_STEP_S = 0.05


@attrs.define
class Clock:
    """Clock of a group, on which a pause of the test's process is a short one.

    All replicas of a group stand still with that process. On the clock of the
    host their leader would lose its quorum, which no test here is about. A
    pause is noticed by the clock's own ticks, not by how often it is read.

    Attributes:
      tick_s: Time of the last tick on the host's clock.
      paused_s: Length of all pauses so far.
    """

    tick_s: float = attrs.field(factory=time.monotonic)
    paused_s: float = 0.0

    def __call__(self) -> float:
        """Returns its time, in seconds."""
        now_s = time.monotonic()
        return min(now_s, self.tick_s + MAX_STEP_S) - self.paused_s

    async def run(self) -> None:
        """Ticks until it is cancelled."""
        while True:
            now_s = time.monotonic()
            self.paused_s += max(0.0, now_s - self.tick_s - MAX_STEP_S)
            self.tick_s = now_s
            await anyio.sleep(TICK_S)

    async def sleep(self, duration_s: float) -> None:
        """Returns once its time has passed by `duration_s`."""
        end_s = self() + duration_s
        while self() < end_s:
            await anyio.sleep(TICK_S)
