"""Limits how many requests are sent to a second target.

Prevents retry storms: the retries of all gateways together stay a fraction of
the requests of callers.
"""

from __future__ import annotations

import bisect
import collections

import attrs

from cactusstile.gateway.peers import sharers as sharing

# Fraction of the allowance that a gateway uses, so that gateways whose clocks
# and counts differ stay within it together.
USED_FRACTION = 0.85
# Fraction that a gateway uses in the first window after its start: its
# predecessor may have used the other in that window.
STARTING_FRACTION = 1 - USED_FRACTION
# Windows that are compared, one beginning at each step.
WINDOW_STEPS = 20


@attrs.define
class Window:
    """Loop times of one service's requests and retries, oldest first."""

    requests: list[float] = attrs.field(factory=list)
    retries: collections.deque[float] = attrs.field(factory=collections.deque)


@attrs.define
class RetryBudget:
    """Retry budget over a sliding window.

    Attributes:
      ratio: Retries allowed for each request.
      window_s: Length of the window.
      slack: Further retries allowed in a window, for all gateways together.
      known_since_s: Loop time from which the retries of this gateway are known;
        negative infinity if it has no predecessor.
      sharers: Gateways that share the slack.
      windows: Recorded requests and retries, by service.
      granted: Number of retries granted since the start.
      denied: Number of retries denied since the start.
    """

    ratio: float
    window_s: float
    slack: float
    known_since_s: float = float("-inf")
    sharers: sharing.Sharers = attrs.field(
        default=attrs.Factory(
            lambda self: sharing.Sharers(self.window_s), takes_self=True
        )
    )
    windows: dict[str, Window] = attrs.field(factory=dict)
    granted: int = 0
    denied: int = 0

    def count_request(self, service: str, now_s: float) -> None:
        """Counts a caller's request to a service."""
        window = self.windows.setdefault(service, Window())
        window.requests.append(now_s)
        oldest_s = now_s - 2 * self.window_s
        del window.requests[: bisect.bisect_left(window.requests, oldest_s)]

    def try_spend(self, service: str, now_s: float) -> bool:
        """Spends one retry; returns False if the budget is exhausted.

        >>> budget = RetryBudget(ratio=0.5, window_s=10.0, slack=0.0)
        >>> for at_s in (0.0, 1.0, 2.0):
        ...     budget.count_request("s", at_s)
        >>> budget.try_spend("s", 3.0), budget.try_spend("s", 3.0)
        (True, False)
        >>> budget.try_spend("s", 14.0)
        False
        """
        window = self.windows.setdefault(service, Window())
        _drop_before(window.retries, now_s - self.window_s)
        counted = counted_requests(window.requests, now_s, self.window_s)
        allowed = self.ratio * counted
        allowed += self.sharers.share(self.slack, now_s)
        fraction = USED_FRACTION
        if now_s - self.known_since_s <= self.window_s:
            fraction = STARTING_FRACTION
        if len(window.retries) + 1 > allowed * fraction:
            self.denied += 1
            return False
        self.granted += 1
        window.retries.append(now_s)
        return True


def counted_requests(times: list[float], now_s: float, window_s: float) -> int:
    """Returns the requests that count for a retry at `now_s`.

    The retry falls in many windows. For each, the rule counts the requests of
    that window, of the one before it or of the one half a window before it,
    whichever has most. The window with the fewest limits the retry.

    Args:
      times: Loop times of the requests until now, oldest first.
      now_s: Loop time of the retry.
      window_s: Length of a window.

    >>> counted_requests([3.0, 4.0, 11.0], now_s=12.0, window_s=10.0)
    2
    """
    newest = 2 * WINDOW_STEPS
    # Requests before each point of a grid over the last two windows.
    before = []
    for step in range(newest):
        point_s = now_s - (newest - step) * window_s / WINDOW_STEPS
        before.append(bisect.bisect_left(times, point_s))
    before.append(len(times))
    fewest = len(times)
    for begin in range(WINDOW_STEPS, newest + 1):
        most = 0
        for back in (0, WINDOW_STEPS // 2, WINDOW_STEPS):
            first = begin - back
            end = min(first + WINDOW_STEPS, newest)
            most = max(most, before[end] - before[first])
        fewest = min(fewest, most)
    return fewest


def _drop_before(times: collections.deque[float], cutoff_s: float) -> None:
    while times and times[0] < cutoff_s:
        times.popleft()
