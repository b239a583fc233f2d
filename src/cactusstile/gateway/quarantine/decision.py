"""Decides under which requests, or parts of prompts, targets end.

Keys that recur at the ends of several targets, and that no target answers
meanwhile, are held responsible together: those of one request that comes again,
or the parts that several prompts share.

The load that this answers: a few requests a second under which each target
ends, beside sound ones that are at the same targets, and ends of many targets
at once for reasons of their own.
"""

from __future__ import annotations

import collections
import collections.abc

import attrs

# Times that a target ends under a set of keys before it is quarantined.
MIN_ENDS = 3
# Targets that end within this time of each other have one cause, such as the
# loss of a rack, unless one was sent a request only after another had ended
# under it. They count once, for keys that most of them were sent.
ONE_CAUSE_S = 0.1
# Requests that these targets had not answered, unless the set holds the key of
# one: a prompt that comes again and again tells nothing about its parts.
MIN_REQUESTS = 2


@attrs.frozen
class SuspectRequest:
    """A request that a target had not answered when it ended.

    Attributes:
      target: Identifies one start of the target; see `Evidence.find_start`.
      request: Fingerprint of the request.
      parts: Keys of the parts of its prompt that no answer exonerates.
      sent_s: Loop time from which the target may have run the request.
      ended_s: Loop time at which the target ended.
    """

    target: str
    request: str
    parts: frozenset[str]
    sent_s: float
    ended_s: float

    @property
    def keys(self) -> frozenset[str]:
        """Fingerprint and parts."""
        return self.parts | {self.request}


@attrs.frozen
class _Candidate:
    """A set of keys that may be responsible.

    Attributes:
      keys: The keys.
      suspects: Requests with all these keys.
    """

    keys: frozenset[str]
    suspects: tuple[SuspectRequest, ...]

    @property
    def targets(self) -> set[str]:
        """Targets that ended under these requests."""
        return {suspect.target for suspect in self.suspects}

    def without(self, targets: collections.abc.Set[str]) -> _Candidate:
        """Returns what remains if other keys explain the ends of targets."""
        rest = [one for one in self.suspects if one.target not in targets]
        return _Candidate(self.keys, tuple(rest))

    def is_enough(self, ended: collections.abc.Mapping[str, float]) -> bool:
        """Returns whether the ends suffice to hold the keys responsible."""
        if len(self.targets) < MIN_ENDS:
            return False
        if count_causes(self.suspects, ended) < MIN_ENDS:
            return False
        requests = {suspect.request for suspect in self.suspects}
        return len(requests) >= MIN_REQUESTS or requests <= self.keys


def find_responsible(
    suspects: collections.abc.Sequence[SuspectRequest],
    ended: collections.abc.Mapping[str, float],
) -> tuple[frozenset[str], ...]:
    """Returns the sets of keys that explain the ends of targets.

    Of sets that hold each other the largest comes first, so that a part that
    sound prompts share is not held responsible for what a larger set explains.
    Of others, the one at the most ends comes first. If two requests were at
    equally many ends and shared one, neither is held responsible yet.

    Args:
      suspects: Requests that targets had not answered when they ended.
      ended: Loop time of the end of each target.

    >>> both = frozenset("ab")
    >>> ends = [
    ...     SuspectRequest(f"t{n}", f"p{n}", both, n, n + 0.5) for n in range(3)
    ... ]
    >>> other = SuspectRequest("t0", "p9", frozenset("a"), 0.0, 0.5)
    >>> ended = {one.target: one.ended_s for one in ends}
    >>> [sorted(keys) for keys in find_responsible([other, *ends], ended)]
    [['a', 'b']]
    """
    candidates = _find_candidates(suspects)
    found: list[frozenset[str]] = []
    while True:
        candidates = [one for one in candidates if one.is_enough(ended)]
        if not candidates:
            return tuple(found)
        best, rivals = _choose(candidates, ended)
        taken = [best, *rivals]
        candidates = [one for one in candidates if one not in taken]
        if rivals:
            continue
        found.append(best.keys)
        candidates = [one.without(best.targets) for one in candidates]


def _choose(
    candidates: list[_Candidate], ended: collections.abc.Mapping[str, float]
) -> tuple[_Candidate, list[_Candidate]]:
    """Returns the candidate at the most ends, and those that it may not be."""
    largest = [
        one
        for one in candidates
        if not any(one.keys < other.keys for other in candidates)
    ]
    causes = {one.keys: count_causes(one.suspects, ended) for one in largest}
    best = max(largest, key=lambda one: (causes[one.keys], sorted(one.keys)))
    rivals = []
    for one in largest:
        if one is best or causes[one.keys] < causes[best.keys]:
            continue
        if one.targets & best.targets:
            rivals.append(one)
    return best, rivals


def count_causes(
    suspects: collections.abc.Iterable[SuspectRequest],
    ended: collections.abc.Mapping[str, float],
) -> int:
    """Returns how often targets ended for a cause that requests share.

    Args:
      suspects: Requests that share some keys.
      ended: Loop time of the end of each target, also of others.

    >>> ended = {"a": 5.0, "b": 5.05, "c": 7.0, "d": 7.05, "e": 9.0}
    >>> ends = [SuspectRequest(t, "r", frozenset(), 0, 0) for t in "abce"]
    >>> count_causes(ends, ended)
    2
    """
    sent_s: dict[str, float] = {}
    for one in suspects:
        if one.target in ended:
            latest_s = sent_s.get(one.target, one.sent_s)
            sent_s[one.target] = max(latest_s, one.sent_s)
    targets = sent_s.keys()
    count = 0
    counted_s = float("-inf")
    for target in sorted(targets, key=lambda one: (ended[one], one)):
        at_s = ended[target]
        was_sent_before = sent_s[target] <= counted_s
        if at_s - counted_s <= ONE_CAUSE_S and was_sent_before:
            continue
        counted_s = at_s
        together = {
            other
            for other, ended_s in ended.items()
            if abs(ended_s - at_s) <= ONE_CAUSE_S
        }
        if len(together & targets) > len(together - targets):
            count += 1
    return count


def _find_candidates(
    suspects: collections.abc.Sequence[SuspectRequest],
) -> list[_Candidate]:
    """Returns the sets of keys that recur at enough targets."""
    targets: dict[str, set[str]] = collections.defaultdict(set)
    for suspect in suspects:
        for key in suspect.keys:
            targets[key].add(suspect.target)
    recurring = {
        key for key, ended in targets.items() if len(ended) >= MIN_ENDS
    }
    groups: dict[frozenset[str], list[SuspectRequest]] = (
        collections.defaultdict(list)
    )
    for suspect in suspects:
        held = suspect.keys & recurring
        if held:
            groups[held].append(suspect)
    sets = set(groups)
    for held in groups:
        sets.update(frozenset((key,)) for key in held)
    candidates = []
    for keys in sets:
        held_by: list[SuspectRequest] = []
        for held, group in groups.items():
            if keys <= held:
                held_by += group
        candidates.append(_Candidate(keys, tuple(held_by)))
    return candidates
