"""Decides which engines' weights are too old for a request.

Load: a roll-out of weights that some engines do not follow. No request may
begin at an engine that has lacked a version for longer than a limit; the
functions are free of I/O.
"""

from __future__ import annotations

import attrs

from cactusstile.gateway import target_view
from cactusstile.sites import announcements

# Fraction of the limit after which outdated engines receive no more requests,
# since a request may wait there before it begins.
OUTDATED_FRACTION = 0.8
# Fraction after which a request that still waits there is withdrawn.
WITHDRAWAL_FRACTION = 0.95


@attrs.frozen
class WeightsLimit:
    """Limit of the time for which engines may lack announced weights.

    Attributes:
      announced: Announced versions.
      limit_s: Time in seconds from the announcement of a version until no
        request may begin at an engine that lacks it.
    """

    announced: announcements.Announcements
    limit_s: float

    def is_outdated(
        self, view: target_view.TargetView, name: str, now_s: float
    ) -> bool:
        """Returns whether an engine must receive no new requests."""
        held = view.weights.get(name)
        if held is None:
            return False
        since_s = self.announced.lacking_since_s(name, held)
        if since_s is None:
            return False
        return now_s - since_s > OUTDATED_FRACTION * self.limit_s

    def expected(self, name: str, view: target_view.TargetView) -> int | None:
        """Returns the version of a model that a target must hold.

        A target whose version is unknown must hold the newest one: it rejects
        the request otherwise, without running it.
        """
        held = view.weights.get(name)
        newest = self.announced.newest(name)
        if held is None and newest is not None:
            return newest.version
        return held

    def begin_by_s(self, name: str, weights: int, now_s: float) -> float:
        """Returns the loop time by which a run on these weights must begin.

        A version that is announced while a request waits counts from then on.
        """
        since_s = self.announced.lacking_since_s(name, weights)
        if since_s is None:
            since_s = now_s
        return since_s + WITHDRAWAL_FRACTION * self.limit_s
