"""Decides how much longer than usual work takes at a target now.

Targets that share their machines name it in their answers. It changes many
times a minute, so that a report is worth less with each tenth of a second.

The load that this answers: one in seven targets is two or three times as slow
for some hundred milliseconds, and others then.
"""

from __future__ import annotations

import math

import attrs

USUAL = 1.0
# What a target may name is bounded, so that none attracts or repels all work.
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 8.0
# Age at which half of a report's excess still counts, and from which none does.
HALF_LIFE_S = 0.4
MAX_AGE_S = 2.0


@attrs.frozen
class SpeedReport:
    """How long work takes at a target, relative to its usual time.

    >>> report = SpeedReport(2.5, 0.0)
    >>> [report.slowness(now_s) for now_s in (0.0, 0.4, 0.8, 2.0)]
    [2.5, 1.75, 1.375, 1.0]
    >>> NO_REPORT.slowness(10.0)
    1.0

    Attributes:
      reported: Slowness as the target named it.
      received_s: Loop time at which the report arrived.
    """

    reported: float
    received_s: float

    def slowness(self, now_s: float) -> float:
        """Returns the expected factor on the time that work takes."""
        age_s = max(0.0, now_s - self.received_s)
        if age_s >= MAX_AGE_S:
            return USUAL
        named = min(max(self.reported, MIN_SLOWNESS), MAX_SLOWNESS)
        rest = math.exp2(-age_s / HALF_LIFE_S)
        return USUAL + (named - USUAL) * rest


NO_REPORT = SpeedReport(USUAL, float("-inf"))
