"""Estimate of how soon kept blocks return, learned from those that did.

Gaps between visits are heavy-tailed, so they are counted in buckets that
double in width. The chance to return in a bucket is taken over the blocks that
were idle for so long, both those that came back and those that were dropped
before. A class is a workspace and how often the block has returned already.
"""

from __future__ import annotations

import collections
import math

import attrs

FIRST_BUCKET_S = 1.0
BUCKETS = 24
MAX_CLASSES = 4096
PRIOR_COUNT = 8.0
PRIOR_CHANCE = 0.05
FORGET_AT_COUNT = 20_000
REFRESH_UPDATES = 64
_HIT_CLASSES = 4


@attrs.define
class _Class:
    """Counts of one class, by bucket of the idle time at the end.

    Attributes:
      returned: Blocks that came back.
      dropped: Blocks that were given up first.
      count: All of them.
      updates: Updates since `rates` was computed.
      rates: Return rate by bucket; empty before the first use.
    """

    returned: list[float] = attrs.field(factory=lambda: [0.0] * BUCKETS)
    dropped: list[float] = attrs.field(factory=lambda: [0.0] * BUCKETS)
    count: float = 0.0
    updates: int = 0
    rates: list[float] = attrs.field(factory=list)

    def add(self, counts: list[float], idle_s: float) -> None:
        counts[_bucket(idle_s)] += 1
        self.count += 1
        self.updates += 1
        if self.count <= FORGET_AT_COUNT:
            return
        self.returned[:] = [number / 2 for number in self.returned]
        self.dropped[:] = [number / 2 for number in self.dropped]
        self.count /= 2

    def chances(self, priors: list[float]) -> list[float]:
        """Returns the chance to return in each bucket, having reached it."""
        result = [0.0] * BUCKETS
        reached = 0.0
        for index in reversed(range(BUCKETS)):
            reached += self.returned[index] + self.dropped[index]
            weighed = self.returned[index] + priors[index] * PRIOR_COUNT
            result[index] = weighed / (reached + PRIOR_COUNT)
        return result


class ReturnEstimator:
    """Counts returns by class; bounded in classes."""

    def __init__(self) -> None:
        """Starts with the prior alone."""
        self._classes: collections.OrderedDict[tuple[str, int], _Class]
        self._classes = collections.OrderedDict()
        self._all = _Class()

    def note_return(self, workspace: str, hits: int, gap_s: float) -> None:
        """Counts that a block came back `gap_s` after its visit."""
        for counts in (self._class(workspace, hits), self._all):
            counts.add(counts.returned, gap_s)

    def note_drop(self, workspace: str, hits: int, idle_s: float) -> None:
        """Counts that a block was dropped `idle_s` after its visit."""
        for counts in (self._class(workspace, hits), self._all):
            counts.add(counts.dropped, idle_s)

    def return_probability(self, workspace: str, hits: int = 0) -> float:
        """Returns the chance that a block ever comes back."""
        missed = 1.0
        for chance in self._chances(self._class(workspace, hits)):
            missed *= 1 - chance
        return 1 - missed

    def return_rate(self, workspace: str, hits: int, idle_s: float) -> float:
        """Returns the best rate of returns per second from now on.

        The best over all times to wait: the chance to return until then over
        the expected wait. A block that is sure to return in a minute is worth
        keeping although it will not return in the next second.
        """
        counts = self._class(workspace, hits)
        if not counts.rates or counts.updates >= REFRESH_UPDATES:
            counts.rates = _best_rates(self._chances(counts))
            counts.updates = 0
        return counts.rates[_bucket(idle_s)]

    def _chances(self, counts: _Class) -> list[float]:
        return counts.chances(self._all.chances([PRIOR_CHANCE] * BUCKETS))

    def _class(self, workspace: str, hits: int) -> _Class:
        name = (workspace, min(hits.bit_length(), _HIT_CLASSES - 1))
        counts = self._classes.get(name)
        if counts is None:
            counts = self._classes[name] = _Class()
            if len(self._classes) > MAX_CLASSES:
                self._classes.popitem(last=False)
        self._classes.move_to_end(name)
        return counts


class VisitTracker:
    """Learns returns from visits of prompts; bounded in prompts.

    Attributes:
      returns: What is learned.
      max_prompts: Prompts remembered; the one idle longest is given up.
    """

    def __init__(self, max_prompts: int = 8192) -> None:
        """Starts without any visit."""
        self.returns = ReturnEstimator()
        self.max_prompts = max_prompts
        self._visits: collections.OrderedDict[bytes, tuple[str, int, float]]
        self._visits = collections.OrderedDict()

    def visit(self, workspace: str, prefix_key: bytes, now_s: float) -> int:
        """Counts a visit; returns how often the prompt came back so far."""
        hits = 0
        before = self._visits.pop(prefix_key, None)
        if before is not None:
            _, hits, visited_s = before
            self.returns.note_return(workspace, hits, now_s - visited_s)
            hits += 1
        self._visits[prefix_key] = (workspace, hits, now_s)
        if len(self._visits) > self.max_prompts:
            _, oldest = self._visits.popitem(last=False)
            owner, owner_hits, visited_s = oldest
            self.returns.note_drop(owner, owner_hits, now_s - visited_s)
        return hits


def _best_rates(chances: list[float]) -> list[float]:
    """Returns the largest chance per second of waiting, by first bucket."""
    rates = []
    for first in range(BUCKETS):
        best = expected = wait_s = 0.0
        survives = 1.0
        for index in range(first, BUCKETS):
            returns = survives * chances[index]
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
    return min(BUCKETS - 1, int(math.log2(gap_s / FIRST_BUCKET_S)))
