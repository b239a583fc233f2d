"""Limits how many requests are sent to a second target.

Prevents retry storms: the retries of all gateways together stay a fraction of
the requests of callers.
"""

from __future__ import annotations

import collections

import attrs

from cactusstile.gateway import sharers as sharing

# Fraction of the allowance that a gateway uses, so that gateways whose clocks
# and counts differ stay within it together.
USED_FRACTION = 0.85


@attrs.define
class Window:
    """Loop times of one service's requests and retries, oldest first."""

    requests: collections.deque[float] = attrs.field(factory=collections.deque)
    retries: collections.deque[float] = attrs.field(factory=collections.deque)


@attrs.define
class RetryBudget:
    """Retry budget over a sliding window.

    Attributes:
      ratio: Retries allowed for each request.
      window_s: Length of the window.
      slack: Further retries allowed in a window, for all gateways together.
      sharers: Gateways that share the slack.
      windows: Recorded requests and retries, by service.
      granted: Number of retries granted since the start.
      denied: Number of retries denied since the start.
    """

    ratio: float
    window_s: float
    slack: float
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
        _drop_before(window.requests, now_s - self.window_s)

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
        _drop_before(window.requests, now_s - self.window_s)
        _drop_before(window.retries, now_s - self.window_s)
        allowed = self.ratio * len(window.requests)
        allowed += self.sharers.share(self.slack, now_s)
        if len(window.retries) + 1 > allowed * USED_FRACTION:
            self.denied += 1
            return False
        self.granted += 1
        window.retries.append(now_s)
        return True


def _drop_before(times: collections.deque[float], cutoff_s: float) -> None:
    while times and times[0] < cutoff_s:
        times.popleft()
