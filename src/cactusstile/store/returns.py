"""Estimates how soon stored blocks are requested again, from past returns.

Gaps between visits are heavy-tailed, so they are counted in buckets of doubling
width. The probability of a return in a bucket is estimated over all blocks that
reached this idle time, both those that returned and those that were dropped. A
class consists of a workspace and the number of returns of the block so far.
"""

from __future__ import annotations

import collections
import math

import attrs

FIRST_BUCKET_S = 1.0
BUCKET_COUNT = 24
MAX_CLASSES = 4096
PRIOR_COUNT = 8.0
PRIOR_PROBABILITY = 0.05
HALVE_AT_COUNT = 20_000
UPDATES_PER_REFRESH = 64
_HIT_CLASSES = 4


@attrs.define
class _ClassCounts:
    """Counts of one class, by bucket of the final idle time.

    Attributes:
      returned: Blocks that returned.
      dropped: Blocks that were dropped before a return.
      count: Sum of all returned and dropped blocks.
      updates: Updates since `rates` was computed.
      rates: Return rate per second by bucket; empty before the first use.
    """

    returned: list[float] = attrs.field(factory=lambda: [0.0] * BUCKET_COUNT)
    dropped: list[float] = attrs.field(factory=lambda: [0.0] * BUCKET_COUNT)
    count: float = 0.0
    updates: int = 0
    rates: list[float] = attrs.field(factory=list)

    def add(self, counts: list[float], idle_s: float) -> None:
        counts[_bucket(idle_s)] += 1
        self.count += 1
        self.updates += 1
        if self.count <= HALVE_AT_COUNT:
            return
        self.returned[:] = [number / 2 for number in self.returned]
        self.dropped[:] = [number / 2 for number in self.dropped]
        self.count /= 2

    def probabilities(self, priors: list[float]) -> list[float]:
        """Returns the probability of a return in each bucket once reached."""
        result = [0.0] * BUCKET_COUNT
        reached = 0.0
        for index in reversed(range(BUCKET_COUNT)):
            reached += self.returned[index] + self.dropped[index]
            weighted = self.returned[index] + priors[index] * PRIOR_COUNT
            result[index] = weighted / (reached + PRIOR_COUNT)
        return result


class ReturnEstimator:
    """Counts returns by class, for at most `MAX_CLASSES` classes."""

    def __init__(self) -> None:
        """Starts with the prior probability only."""
        self._classes: collections.OrderedDict[tuple[str, int], _ClassCounts]
        self._classes = collections.OrderedDict()
        self._all = _ClassCounts()

    def record_return(self, workspace: str, hits: int, gap_s: float) -> None:
        """Records a return `gap_s` seconds after the previous visit."""
        for counts in (self._class(workspace, hits), self._all):
            counts.add(counts.returned, gap_s)

    def record_drop(self, workspace: str, hits: int, idle_s: float) -> None:
        """Records a drop `idle_s` seconds after the last visit."""
        for counts in (self._class(workspace, hits), self._all):
            counts.add(counts.dropped, idle_s)

    def return_probability(self, workspace: str, hits: int = 0) -> float:
        """Returns the probability that a block ever returns."""
        missed = 1.0
        for probability in self._probabilities(self._class(workspace, hits)):
            missed *= 1 - probability
        return 1 - missed

    def return_rate(self, workspace: str, hits: int, idle_s: float) -> float:
        """Returns the maximum expected return rate per second from now on.

        The maximum is taken over all waiting times: the probability of a return
        within that time divided by the expected wait. A block that is certain
        to return in a minute is worth storing although it will not return in
        the next second.
        """
        counts = self._class(workspace, hits)
        if not counts.rates or counts.updates >= UPDATES_PER_REFRESH:
            counts.rates = _best_rates(self._probabilities(counts))
            counts.updates = 0
        return counts.rates[_bucket(idle_s)]

    def _probabilities(self, counts: _ClassCounts) -> list[float]:
        return counts.probabilities(
            self._all.probabilities([PRIOR_PROBABILITY] * BUCKET_COUNT)
        )

    def _class(self, workspace: str, hits: int) -> _ClassCounts:
        name = (workspace, min(hits.bit_length(), _HIT_CLASSES - 1))
        counts = self._classes.get(name)
        if counts is None:
            counts = self._classes[name] = _ClassCounts()
            if len(self._classes) > MAX_CLASSES:
                self._classes.popitem(last=False)
        self._classes.move_to_end(name)
        return counts


class VisitTracker:
    """Records visits of prompts, for a bounded number of prompts.

    Attributes:
      returns: Estimator that receives the returns and drops.
      max_prompts: Maximum number of prompts; beyond it, the prompt that was
        idle the longest is dropped.
    """

    def __init__(self, max_prompts: int = 8192) -> None:
        """Starts without visits."""
        self.returns = ReturnEstimator()
        self.max_prompts = max_prompts
        self._visits: collections.OrderedDict[bytes, tuple[str, int, float]]
        self._visits = collections.OrderedDict()

    def visit(self, workspace: str, prefix_key: bytes, now_s: float) -> int:
        """Records a visit; returns how often the prompt has returned so far."""
        hits = 0
        before = self._visits.pop(prefix_key, None)
        if before is not None:
            _, hits, visited_s = before
            self.returns.record_return(workspace, hits, now_s - visited_s)
            hits += 1
        self._visits[prefix_key] = (workspace, hits, now_s)
        if len(self._visits) > self.max_prompts:
            _, oldest = self._visits.popitem(last=False)
            owner, owner_hits, visited_s = oldest
            self.returns.record_drop(owner, owner_hits, now_s - visited_s)
        return hits


def _best_rates(probabilities: list[float]) -> list[float]:
    """Returns the maximum return rate per second, by starting bucket."""
    rates = []
    for first in range(BUCKET_COUNT):
        best = expected = wait_s = 0.0
        survives = 1.0
        for index in range(first, BUCKET_COUNT):
            returns = survives * probabilities[index]
            wait_s += (survives - returns / 2) * _width_s(index)
            expected += returns
            survives -= returns
            best = max(best, expected / wait_s)
        rates.append(best)
    return rates


def _width_s(index: int) -> float:
    return FIRST_BUCKET_S * 2.0 ** max(1, index)


def _bucket(gap_s: float) -> int:
    if gap_s < 2 * FIRST_BUCKET_S:
        return 0
    return min(BUCKET_COUNT - 1, int(math.log2(gap_s / FIRST_BUCKET_S)))
