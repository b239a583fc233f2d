"""Decides when refused callers may return.

Load: more requests than the engines can hold for a while. Callers that all
return after the same time would be refused again together. They are asked to
return one after the other, as fast as memory becomes free, with a part of it
left for new requests.
"""

from __future__ import annotations

import collections

import attrs

WINDOW_S = 5.0
# Fraction of the memory that becomes free that returning callers may take.
RETURN_FRACTION = 0.5
MIN_RETRY_S = 0.3
# Assumed if no run has ended lately.
DEFAULT_RETRY_S = 1.0
# Callers wait at most this fraction of their remaining time.
MAX_WAIT_FRACTION = 1 / 3


def longest_wait_s(remaining_s: float) -> float:
    """Returns how long a caller waits that has `remaining_s` left."""
    return max(0.0, MAX_WAIT_FRACTION * remaining_s)


@attrs.define
class ReturnTimes:
    """Schedule of returning callers, from the runs that ended lately.

    Attributes:
      ended: Loop time and memory of ended runs, in tokens, oldest first.
      next_return_s: Loop time at which the last refused caller may return.
    """

    ended: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )
    next_return_s: float = float("-inf")

    def record_end(self, tokens: int, now_s: float) -> None:
        """Records that a run has returned its memory."""
        self.ended.append((now_s, tokens))
        while self.ended[0][0] < now_s - WINDOW_S:
            self.ended.popleft()

    def retry_after_s(
        self, tokens: int, remaining_s: float, now_s: float
    ) -> float:
        """Returns the time after which a refused caller may return.

        Args:
          tokens: Memory that its request needs.
          remaining_s: Time that the caller has left.
          now_s: Loop time.

        >>> times = ReturnTimes()
        >>> for number in range(1, 6):
        ...     times.record_end(10_000, float(number))
        >>> [times.retry_after_s(2_000, 9.0, now_s=5.0) for _ in range(3)]
        [0.7, 1.1, 1.5]
        >>> times.retry_after_s(2_000, 1.5, now_s=5.0)
        0.5
        """
        freed = sum(
            freed_tokens
            for ended_s, freed_tokens in self.ended
            if ended_s >= now_s - WINDOW_S
        )
        longest_s = longest_wait_s(remaining_s)
        if not freed:
            return min(DEFAULT_RETRY_S, longest_s)
        step_s = tokens * WINDOW_S / (RETURN_FRACTION * freed)
        first_s = now_s + MIN_RETRY_S
        return_s = max(self.next_return_s, first_s) + step_s
        if return_s - now_s > longest_s:
            return longest_s
        self.next_return_s = return_s
        return round(return_s - now_s, 3)
