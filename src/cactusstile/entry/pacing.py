"""Pacing of writes to callers by the CPU load of the process."""

from __future__ import annotations

import time

import anyio
import attrs

MAX_INTERVAL_S = 0.045
SAMPLE_INTERVAL_S = 0.25
PACING_START_FRACTION = 0.4
PACING_FULL_FRACTION = 0.8


@attrs.define
class Pacer:
    """Interval between two writes to one caller.

    A write costs far more CPU time than the tokens in it. At low load each
    batch is forwarded immediately. As load grows, a stream pauses longer after
    each write, so that more batches are coalesced into the next one. The
    maximum pause plus the coalescing delay of the agents stays below a delay
    that callers notice.

    Attributes:
      interval_s: Pause of a stream after a write, in seconds.
      busy_share: Smoothed fraction of one core that the process uses.
    """

    interval_s: float = 0.0
    busy_share: float = 0.0

    def update_load(self, busy_share: float) -> None:
        """Sets the interval from the fraction of a core in use.

        The interval grows linearly from 0 at `PACING_START_FRACTION` to
        `MAX_INTERVAL_S` at `PACING_FULL_FRACTION`.

        >>> pacer = Pacer()
        >>> pacer.update_load(0.3)
        >>> pacer.interval_s
        0.0
        >>> pacer.update_load(0.95)
        >>> pacer.interval_s
        0.045
        """
        self.busy_share = busy_share
        excess = (busy_share - PACING_START_FRACTION) / (
            PACING_FULL_FRACTION - PACING_START_FRACTION
        )
        self.interval_s = MAX_INTERVAL_S * min(1.0, max(0.0, excess))

    async def run(self) -> None:
        """Samples the CPU load of the process until cancelled."""
        cpu_time_s = time.process_time()
        now_s = anyio.current_time()
        while True:
            await anyio.sleep(SAMPLE_INTERVAL_S)
            cpu_time_before_s, previous_s = cpu_time_s, now_s
            cpu_time_s = time.process_time()
            now_s = anyio.current_time()
            share = (cpu_time_s - cpu_time_before_s) / (now_s - previous_s)
            self.update_load((self.busy_share + share) / 2)
