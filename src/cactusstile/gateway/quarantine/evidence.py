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
      is_stale: Whether something was added since the last decision.
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
    is_stale: bool = False

    def add_end(self, suspect: SuspectPrompt) -> bool:
        """Adds a suspect prompt; returns False if it tells nothing new."""
        ended_s = self.ended.setdefault(suspect.target, suspect.ended_s)
        self.ended[suspect.target] = min(ended_s, suspect.ended_s)
        if len(self.ended) > MAX_ENDED_TARGETS:
            self.ended.popitem(last=False)
        parts = self.unanswered(suspect)
        key = suspect.target, suspect.prompt
        known = self.ends.get(key)
        if known is not None:
            # Another gateway knows of answers that exonerate some of its parts.
            suspect = known
            parts &= known.parts
        if not parts or (known is not None and parts == known.parts):
            return False
        self.ends[key] = attrs.evolve(suspect, parts=parts)
        if len(self.ends) > MAX_ENDS:
            del self.ends[next(iter(self.ends))]
        self.is_stale = True
        return known is None

    def add_answer(self, part: str, answered_s: float) -> None:
        """Adds that a target answered a prompt with a part."""
        newest_s = max(answered_s, self.answered.pop(part, answered_s))
        self.answered[part] = newest_s
        self.is_stale |= part in self.suspect_parts
        if len(self.answered) > MAX_ANSWERED_PARTS:
            self.answered.popitem(last=False)

    def is_quarantined(self, parts: collections.abc.Set[str]) -> bool:
        """Returns whether a prompt with these parts must not be sent."""
        return any(held <= parts for held in self.quarantined)

    def remaining_s(self, now_s: float) -> float:
        """Returns the time until the newest end of a target is forgotten."""
        newest_s = max((one.ended_s for one in self.ends.values()), default=0.0)
        return max(0.0, newest_s + RETENTION_S - now_s)

    def unanswered(self, suspect: SuspectPrompt) -> frozenset[str]:
        """Returns the parts of a prompt that no answer exonerates."""
        parts = []
        for part in suspect.parts:
            answered_s = self.answered.get(part, float("-inf"))
            if answered_s + EXONERATION_S < suspect.ended_s:
                parts.append(part)
        return frozenset(parts)

    def decide(self, now_s: float) -> None:
        """Drops what proves nothing and decides what is quarantined."""
        self.is_stale = False
        while self.ended:
            oldest_s = next(iter(self.ended.values()))
            if now_s - oldest_s <= RETENTION_S:
                break
            self.ended.popitem(last=False)
        for key, suspect in list(self.ends.items()):
            parts = self.unanswered(suspect)
            if not parts or now_s - suspect.ended_s > RETENTION_S:
                del self.ends[key]
            elif parts != suspect.parts:
                self.ends[key] = attrs.evolve(suspect, parts=parts)
        suspects = list(self.ends.values())
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

    >>> both = frozenset("ab")
    >>> ends = [SuspectPrompt(f"t{n}", f"p{n}", both, n) for n in range(3)]
    >>> other = SuspectPrompt("t0", "p9", frozenset("a"), 0.0)
    >>> ended = {one.target: one.ended_s for one in ends}
    >>> [sorted(parts) for parts in find_responsible([other, *ends], ended)]
    [['a', 'b']]
    """
    groups = _group_by_recurring_parts(suspects)
    sets = set(groups)
    for held in groups:
        sets.update(frozenset((part,)) for part in held)
    explained: set[str] = set()
    found = []
    for parts in sorted(sets, key=lambda one: (-len(one), sorted(one))):
        unexplained = []
        for held, group in groups.items():
            if parts <= held:
                unexplained += _without(group, explained)
        targets = {suspect.target for suspect in unexplained}
        if count_causes(targets, ended) < MIN_ENDS:
            continue
        if len({suspect.prompt for suspect in unexplained}) < MIN_PROMPTS:
            continue
        explained |= targets
        found.append(parts)
    return tuple(found)


def _without(
    group: list[SuspectPrompt], targets: set[str]
) -> list[SuspectPrompt]:
    """Returns the prompts that were at other targets."""
    return [suspect for suspect in group if suspect.target not in targets]


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


def _group_by_recurring_parts(
    suspects: collections.abc.Sequence[SuspectPrompt],
) -> dict[frozenset[str], list[SuspectPrompt]]:
    """Returns the prompts by those parts that recur at enough targets."""
    targets: dict[str, set[str]] = collections.defaultdict(set)
    for suspect in suspects:
        for part in suspect.parts:
            targets[part].add(suspect.target)
    recurring = {
        part for part, ended in targets.items() if len(ended) >= MIN_ENDS
    }
    groups: dict[frozenset[str], list[SuspectPrompt]] = collections.defaultdict(
        list
    )
    for suspect in suspects:
        held = suspect.parts & recurring
        if held:
            groups[held].append(suspect)
    return groups
