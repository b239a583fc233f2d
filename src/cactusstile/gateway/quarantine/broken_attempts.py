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

# Time within which the list shows that a target has ended.
LIST_LAG_S = 10.0
MAX_ATTEMPTS = 500


@attrs.frozen
class BrokenAttempt:
    """An attempt that ended without an answer.

    Attributes:
      target: Id of the target's incarnation.
      keys: Keys of the request.
      sent_s: Loop time from which the target may have run the request.
      broken_s: Loop time at which the connection broke.
    """

    target: str
    keys: request_keys.RequestKeys
    sent_s: float
    broken_s: float


@attrs.define
class BrokenAttempts:
    """Attempts at targets of which it is not known whether they ended.

    Attributes:
      attempts: The attempts, oldest first.
    """

    attempts: list[BrokenAttempt] = attrs.field(factory=list)

    def add(self, attempt: BrokenAttempt) -> None:
        """Adds an attempt; the oldest is dropped if there are too many."""
        self.attempts.append(attempt)
        del self.attempts[:-MAX_ATTEMPTS]

    def take_ended(
        self, is_leaving: collections.abc.Mapping[str, bool], now_s: float
    ) -> list[BrokenAttempt]:
        """Removes and returns the attempts whose targets are not listed.

        Those at targets that leave are dropped: their end was planned.

        Args:
          is_leaving: Whether each listed target leaves, by its id.
          now_s: Loop time.
        """
        ended = []
        unknown = []
        for attempt in self.attempts:
            if attempt.target not in is_leaving:
                ended.append(attempt)
                continue
            is_recent = now_s - attempt.broken_s <= LIST_LAG_S
            if is_recent and not is_leaving[attempt.target]:
                unknown.append(attempt)
        self.attempts = unknown
        return ended
