"""What gateways observed of targets that ended, and of answers.

One end of a target proves nothing: all requests that it had not answered yet
are equally suspect, and so is each part of their prompts. What is known merges
in any order and any number of times to the same decision; see `decision`.
"""

from __future__ import annotations

import collections
import collections.abc

import attrs

from cactusstile.gateway.quarantine import decision

# An answer exonerates its request and parts of the ends until this time after
# it: a part that nearly all prompts share is at each end of a target.
EXONERATION_S = 2.0
# Time for which an end is repeated often although nothing recurs at it.
NEW_END_S = 10.0
# Time for which an end of a target counts.
RETENTION_S = 600.0
MAX_ENDS = 500
MAX_ENDED_TARGETS = 2000
MAX_ANSWERED_KEYS = 20_000


@attrs.define
class Evidence:
    """Ends of targets, answers, and the quarantined sets of keys.

    Attributes:
      ends: Suspect requests by target and request, oldest first.
      ended: Loop time of each target's end, also of those whose requests are
        no longer suspect; oldest first.
      answered: Loop time of the last answer by key, oldest first.
      suspect_keys: Keys that an end of a target makes suspect.
      quarantined: Sets of keys; a request that has all keys of one of them
        must not be sent to targets.
      is_stale: Whether something was added since the last decision.
    """

    ends: dict[tuple[str, str], decision.SuspectRequest] = attrs.field(
        factory=dict
    )
    ended: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    answered: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    suspect_keys: frozenset[str] = frozenset()
    quarantined: tuple[frozenset[str], ...] = ()
    is_stale: bool = False

    def add_end(self, suspect: decision.SuspectRequest) -> bool:
        """Adds a suspect request; returns False if it was known already."""
        ended_s = self.ended.setdefault(suspect.target, suspect.ended_s)
        self.ended[suspect.target] = min(ended_s, suspect.ended_s)
        if len(self.ended) > MAX_ENDED_TARGETS:
            self.ended.popitem(last=False)
        if self.is_answered(suspect):
            return False
        key = suspect.target, suspect.request
        known = self.ends.get(key)
        merged = self._without_answered_parts(_merge(known, suspect))
        if merged == known:
            return False
        self.ends[key] = merged
        if len(self.ends) > MAX_ENDS:
            self._drop_one_end(newest=key)
        self.is_stale = True
        return known is None

    def find_start(self, start_id: str, sent_s: float) -> str:
        """Returns what identifies the start that a request was sent to.

        Lists lag: a request that is sent after the end of the listed start has
        reached a later one.

        Args:
          start_id: Identity of the start that the list showed.
          sent_s: Loop time at which the request was sent.

        >>> known = Evidence(ended=collections.OrderedDict({"t@7": 1.0}))
        >>> known.find_start("t@7", 0.9), known.find_start("t@7", 1.5)
        ('t@7', 't@7+1')
        """
        found = start_id
        later_starts = 0
        while self._ended_before(found, sent_s):
            later_starts += 1
            found = f"{start_id}+{later_starts}"
        return found

    def _ended_before(self, start_id: str, sent_s: float) -> bool:
        ended_s = self.ended.get(start_id)
        return ended_s is not None and sent_s > ended_s + decision.ONE_CAUSE_S

    def add_answer(self, key: str, answered_s: float) -> None:
        """Adds that a target answered a request with a key."""
        newest_s = max(answered_s, self.answered.pop(key, answered_s))
        self.answered[key] = newest_s
        self.is_stale |= key in self.suspect_keys
        if len(self.answered) > MAX_ANSWERED_KEYS:
            self.answered.popitem(last=False)

    def is_quarantined(self, keys: collections.abc.Set[str]) -> bool:
        """Returns whether a request with these keys must not be sent."""
        return any(held <= keys for held in self.quarantined)

    def remaining_s(self, now_s: float) -> float:
        """Returns the time until the newest end of a target is forgotten."""
        newest_s = max((one.ended_s for one in self.ends.values()), default=0.0)
        return max(0.0, newest_s + RETENTION_S - now_s)

    def is_answered(self, suspect: decision.SuspectRequest) -> bool:
        """Returns whether an answer exonerates a request with all its parts."""
        return self._exonerates(suspect.request, suspect.ended_s)

    def answered_keys(self, suspect: decision.SuspectRequest) -> frozenset[str]:
        """Returns the keys of a suspect request that answers exonerate."""
        keys = suspect.parts | {suspect.request}
        return frozenset(
            key for key in keys if self._exonerates(key, suspect.ended_s)
        )

    def urgent_ends(self, now_s: float) -> list[decision.SuspectRequest]:
        """Returns the ends that are new, or under keys at several ends."""
        times = collections.Counter(
            key for suspect in self.ends.values() for key in suspect.keys
        )
        urgent = []
        for suspect in self.ends.values():
            is_new = now_s - suspect.ended_s <= NEW_END_S
            if is_new or any(times[key] > 1 for key in suspect.keys):
                urgent.append(suspect)
        return urgent

    def decide(self, now_s: float) -> None:
        """Drops what proves nothing and decides what is quarantined."""
        self.is_stale = False
        while self.ended:
            oldest_s = next(iter(self.ended.values()))
            if now_s - oldest_s <= RETENTION_S:
                break
            self.ended.popitem(last=False)
        for key, suspect in list(self.ends.items()):
            is_old = now_s - suspect.ended_s > RETENTION_S
            if is_old or self.is_answered(suspect):
                del self.ends[key]
                continue
            self.ends[key] = self._without_answered_parts(suspect)
        suspects = list(self.ends.values())
        self.suspect_keys = frozenset().union(*(one.keys for one in suspects))
        self.quarantined = decision.find_responsible(suspects, self.ended)

    def _drop_one_end(self, newest: tuple[str, str]) -> None:
        """Drops the oldest end, of a request that did not come again if any."""
        times = collections.Counter(request for _, request in self.ends)
        for key in self.ends:
            if times[key[1]] == 1 and key != newest:
                del self.ends[key]
                return
        del self.ends[next(iter(self.ends))]

    def _without_answered_parts(
        self, suspect: decision.SuspectRequest
    ) -> decision.SuspectRequest:
        answered = self.answered_keys(suspect)
        if not answered:
            return suspect
        return attrs.evolve(suspect, parts=suspect.parts - answered)

    def _exonerates(self, key: str, ended_s: float) -> bool:
        answered_s = self.answered.get(key, float("-inf"))
        return answered_s + EXONERATION_S >= ended_s


def _merge(
    known: decision.SuspectRequest | None, other: decision.SuspectRequest
) -> decision.SuspectRequest:
    """Returns what two observations of a request at a target tell together."""
    if known is None:
        return other
    return attrs.evolve(
        known,
        parts=known.parts & other.parts,
        sent_s=max(known.sent_s, other.sent_s),
        ended_s=min(known.ended_s, other.ended_s),
    )
