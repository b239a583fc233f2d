"""Decides which parts of prompts end targets, from what gateways observed.

One end of a target proves nothing: all prompts that it had not answered yet are
equally suspect. Parts that recur at the ends of several targets, and that no
target answers meanwhile, are held responsible together. What is known merges in
any order and any number of times to the same decision.

The load that this answers: a few requests a second with one part under which
each target ends, beside sound requests that share their other parts, and ends
of many targets at once for reasons of their own.
"""

from __future__ import annotations

import collections
import collections.abc
import hashlib

import attrs

# Times that a target ends under a set of parts before it is quarantined.
MIN_ENDS = 3
# Targets that end within this time of each other have one cause, such as the
# loss of a rack. They count once, for parts that most of them were sent.
ONE_CAUSE_S = 0.1
# Prompts that these targets had not answered: one that is sent again and again
# tells nothing about its parts.
MIN_PROMPTS = 2
# An answer exonerates a part of the ends until this time after it: a part that
# nearly all prompts share is at each end of a target.
EXONERATION_S = 2.0
# Time for which an end of a target counts.
RETENTION_S = 600.0
MAX_ENDS = 500
MAX_ENDED_TARGETS = 2000
MAX_ANSWERED_PARTS = 20_000
_KEY_BYTES = 8


def part_key(part_id: str) -> str:
    """Returns the key of a part, which has a fixed length."""
    data = part_id.encode(errors="surrogateescape")
    return hashlib.blake2b(data, digest_size=_KEY_BYTES).hexdigest()


@attrs.frozen
class SuspectPrompt:
    """A prompt that a target had not answered when it ended.

    Attributes:
      target: Id of the target's incarnation.
      prompt: Key of the prompt's last part.
      parts: Keys of its other parts.
      ended_s: Loop time at which the target ended.
    """

    target: str
    prompt: str
    parts: frozenset[str]
    ended_s: float


@attrs.define
class Evidence:
    """Ends of targets, answers, and the quarantined sets of parts.

    Attributes:
      ends: Suspect prompts by target and prompt, oldest first.
      ended: Loop time of each target's end, also of those whose prompts are
        no longer suspect; oldest first.
      answered: Loop time of the last answer by part, oldest first.
      suspect_parts: Parts that an end of a target makes suspect.
      quarantined: Sets of parts; a prompt that holds all parts of one of them
        must not be sent to targets.
    """

    ends: dict[tuple[str, str], SuspectPrompt] = attrs.field(factory=dict)
    ended: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    answered: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    suspect_parts: frozenset[str] = frozenset()
    quarantined: tuple[frozenset[str], ...] = ()

    def add_end(self, suspect: SuspectPrompt, now_s: float) -> bool:
        """Adds a suspect prompt; returns False if it tells nothing new."""
        ended_s = self.ended.setdefault(suspect.target, suspect.ended_s)
        self.ended[suspect.target] = min(ended_s, suspect.ended_s)
        if len(self.ended) > MAX_ENDED_TARGETS:
            self.ended.popitem(last=False)
        key = suspect.target, suspect.prompt
        known = self.ends.get(key)
        if known is not None:
            # Another gateway knows of answers that exonerate some of its parts.
            parts = known.parts & suspect.parts
            suspect = attrs.evolve(known, parts=parts)
        if suspect == known:
            return False
        self.ends[key] = suspect
        self._decide(now_s)
        return known is None and key in self.ends

    def add_answer(self, part: str, answered_s: float) -> None:
        """Adds that a target answered a prompt with a part."""
        newest_s = max(answered_s, self.answered.pop(part, answered_s))
        self.answered[part] = newest_s
        if len(self.answered) > MAX_ANSWERED_PARTS:
            self.answered.popitem(last=False)

    def is_quarantined(self, parts: collections.abc.Set[str]) -> bool:
        """Returns whether a prompt with these parts must not be sent."""
        return any(held <= parts for held in self.quarantined)

    def remaining_s(self, now_s: float) -> float:
        """Returns the time until the newest end of a target is forgotten."""
        newest_s = max((one.ended_s for one in self.ends.values()), default=0.0)
        return max(0.0, newest_s + RETENTION_S - now_s)

    def refresh(self, now_s: float) -> None:
        """Decides anew after answers were added or time has passed."""
        if self.ends:
            self._decide(now_s)

    def unanswered(self, suspect: SuspectPrompt) -> frozenset[str]:
        """Returns the parts of a prompt that no answer exonerates."""
        parts = []
        for part in suspect.parts:
            answered_s = self.answered.get(part, float("-inf"))
            if answered_s + EXONERATION_S < suspect.ended_s:
                parts.append(part)
        return frozenset(parts)

    def _decide(self, now_s: float) -> None:
        """Drops what proves nothing and decides what is quarantined."""
        suspects = []
        for key, suspect in list(self.ends.items()):
            parts = self.unanswered(suspect)
            if not parts or now_s - suspect.ended_s > RETENTION_S:
                del self.ends[key]
                continue
            self.ends[key] = attrs.evolve(suspect, parts=parts)
            suspects.append(self.ends[key])
        for suspect in suspects[:-MAX_ENDS]:
            del self.ends[suspect.target, suspect.prompt]
        del suspects[:-MAX_ENDS]
        self.suspect_parts = frozenset().union(*(one.parts for one in suspects))
        self.quarantined = find_responsible(suspects, self.ended)


def find_responsible(
    suspects: collections.abc.Sequence[SuspectPrompt],
    ended: collections.abc.Mapping[str, float],
) -> tuple[frozenset[str], ...]:
    """Returns the sets of parts that explain the ends of targets.

    The largest sets come first, so that a part that sound prompts share is not
    held responsible for what a larger set explains.

    Args:
      suspects: Prompts that targets had not answered when they ended.
      ended: Loop time of the end of each target.

    >>> ends = [
    ...     SuspectPrompt(f"t{n}", f"p{n}", frozenset("ab"), float(n))
    ...     for n in range(3)
    ... ]
    >>> other = SuspectPrompt("t0", "p9", frozenset("a"), 0.0)
    >>> ended = {one.target: one.ended_s for one in ends}
    >>> [sorted(parts) for parts in find_responsible([other, *ends], ended)]
    [['a', 'b']]
    """
    explained: set[str] = set()
    found = []
    for parts in _recurring_sets(suspects):
        unexplained = []
        for suspect in suspects:
            if parts <= suspect.parts and suspect.target not in explained:
                unexplained.append(suspect)
        targets = {suspect.target for suspect in unexplained}
        if count_causes(targets, ended) < MIN_ENDS:
            continue
        if len({suspect.prompt for suspect in unexplained}) < MIN_PROMPTS:
            continue
        explained |= targets
        found.append(parts)
    return tuple(found)


def count_causes(
    targets: collections.abc.Set[str],
    ended: collections.abc.Mapping[str, float],
) -> int:
    """Returns how often targets ended for a cause that they share.

    Args:
      targets: Targets that were sent some parts.
      ended: Loop time of the end of each target, also of others.

    >>> ended = {"a": 5.0, "b": 5.05, "c": 7.0, "d": 7.05, "e": 9.0}
    >>> count_causes({"a", "b", "c", "e"}, ended)
    2
    """
    count = 0
    counted_s = float("-inf")
    for at_s in sorted(ended[target] for target in targets & ended.keys()):
        if at_s - counted_s <= ONE_CAUSE_S:
            continue
        counted_s = at_s
        together = {
            target
            for target, ended_s in ended.items()
            if abs(ended_s - at_s) <= ONE_CAUSE_S
        }
        if len(together & targets) > len(together - targets):
            count += 1
    return count


def _recurring_sets(
    suspects: collections.abc.Sequence[SuspectPrompt],
) -> list[frozenset[str]]:
    """Returns the sets of parts that may be responsible, largest first.

    They hold only parts that stand at the ends of enough targets.
    """
    targets: dict[str, set[str]] = collections.defaultdict(set)
    for suspect in suspects:
        for part in suspect.parts:
            targets[part].add(suspect.target)
    recurring = frozenset(
        part for part, ended in targets.items() if len(ended) >= MIN_ENDS
    )
    sets = {frozenset((part,)) for part in recurring}
    sets |= {suspect.parts & recurring for suspect in suspects}
    sets.discard(frozenset())
    return sorted(sets, key=lambda parts: (-len(parts), sorted(parts)))
