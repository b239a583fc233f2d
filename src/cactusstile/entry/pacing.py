"""Pacing of writes to callers: the busier the process, the fewer writes."""

from __future__ import annotations

import time

import anyio
import attrs

MAX_INTERVAL_S = 0.045
SAMPLE_INTERVAL_S = 0.25
CALM_SHARE = 0.4
BUSY_SHARE = 0.8


@attrs.define
class Pacer:
    """Interval between two writes to one caller.

    A write costs much more than the tokens in it. While the process is calm
    each batch is passed on at once; the busier it is, the longer a stream
    rests after a write, so that batches gather. The bound leaves room for the
    agents' own gathering within the time that callers notice.

    Attributes:
      interval_s: Time that a stream rests after a write; 0 for none.
      busy_share: Share of one core that the process uses.
    """

    interval_s: float = 0.0
    busy_share: float = 0.0

    def note_load(self, busy_share: float) -> None:
        """Sets the interval from the share of a core in use.

        >>> pacer = Pacer()
        >>> pacer.note_load(0.3)
        >>> pacer.interval_s
        0.0
        >>> pacer.note_load(0.95)
        >>> pacer.interval_s
        0.045
        """
        self.busy_share = busy_share
        excess = (busy_share - CALM_SHARE) / (BUSY_SHARE - CALM_SHARE)
        self.interval_s = MAX_INTERVAL_S * min(1.0, max(0.0, excess))

    async def run(self) -> None:
        """Follows the load of the process until cancelled."""
        used_s = time.process_time()
        now_s = anyio.current_time()
        while True:
            await anyio.sleep(SAMPLE_INTERVAL_S)
            used_before_s, before_s = used_s, now_s
            used_s = time.process_time()
            now_s = anyio.current_time()
            share = (used_s - used_before_s) / (now_s - before_s)
            self.note_load((self.busy_share + share) / 2)
