"""Attempts that broke off at targets that have not certainly ended.

A target that restarts within milliseconds, or whose address is that of a relay,
looks alive right after its end, and one whose VM is lost is only silent. The
platform's list tells it later.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.gateway.quarantine import request_keys
    from cactusstile.sites import model
    from cactusstile.transport import address

# Time within which the list shows that a target has ended.
LIST_LAG_S = 10.0
# Time for which lists must lack a target: a single one may lack it by mistake.
MISSING_S = 2.0
MAX_ATTEMPTS = 500


@attrs.frozen
class BrokenAttempt:
    """An attempt that ended without an answer.

    Attributes:
      target: The target.
      keys: Keys of the request.
      sent_s: Loop time from which the target may have run the request.
      broken_s: Loop time at which the connection broke.
    """

    target: model.Target
    keys: request_keys.RequestKeys
    sent_s: float
    broken_s: float


@attrs.frozen
class Listed:
    """What the newest list tells of the targets.

    Attributes:
      is_leaving: Whether each listed target leaves, by its id.
      born_ms: Unix time of each listed target's start, in ms, by its id; 0 if
        unknown.
      addresses: Addresses of the listed targets.
      listed_s: Loop time at which the list was current.
    """

    is_leaving: collections.abc.Mapping[str, bool]
    born_ms: collections.abc.Mapping[str, int]
    addresses: collections.abc.Set[address.Address]
    listed_s: float

    def has_started_again(self, target: model.Target) -> bool:
        """Returns whether another start of a target is listed under its id."""
        born_ms = self.born_ms.get(target.id, 0)
        return 0 not in (born_ms, target.born_ms) and born_ms != target.born_ms


@attrs.define
class BrokenAttempts:
    """Attempts at targets of which it is not known whether they ended.

    Attributes:
      attempts: The attempts, oldest first.
      missing_s: Time of the first list that lacks a target, by its id, for
        those that all lists since then lack.
    """

    attempts: list[BrokenAttempt] = attrs.field(factory=list)
    missing_s: dict[str, float] = attrs.field(factory=dict)

    def add(self, attempt: BrokenAttempt) -> None:
        """Adds an attempt; the oldest is dropped if there are too many."""
        self.attempts.append(attempt)
        del self.attempts[:-MAX_ATTEMPTS]

    def take_ended(self, listed: Listed, now_s: float) -> list[BrokenAttempt]:
        """Removes and returns the attempts whose targets ended.

        Those have been missing from the lists for a while, or another start is
        listed under their id or at their address. Attempts at targets that
        leave are dropped: their end was planned.

        Args:
          listed: The newest list.
          now_s: Loop time.
        """
        ended = []
        unknown = []
        missing_s = {}
        for attempt in self.attempts:
            name = attempt.target.id
            if listed.has_started_again(attempt.target):
                ended.append(attempt)
                continue
            if name not in listed.is_leaving:
                first_s = self.missing_s.get(name, listed.listed_s)
                missing_s[name] = first_s
                is_replaced = attempt.target.address in listed.addresses
                if is_replaced or listed.listed_s - first_s >= MISSING_S:
                    ended.append(attempt)
                else:
                    unknown.append(attempt)
                continue
            is_recent = now_s - attempt.broken_s <= LIST_LAG_S
            if is_recent and not listed.is_leaving[name]:
                unknown.append(attempt)
        self.attempts = unknown
        self.missing_s = missing_s
        return ended
