"""Bound of the requests that are sent to a second target.

Answers storms of retries: what is sent again stays a share of what callers
ask for, over all gateways together.
"""

from __future__ import annotations

import collections

import attrs

# Part of the allowance that is used, so that gateways whose clocks and counts
# differ stay within it together.
USED_PART = 0.85


@attrs.define
class Window:
    """Times of the requests and repeats of one service, oldest first."""

    requests: collections.deque[float] = attrs.field(factory=collections.deque)
    repeats: collections.deque[float] = attrs.field(factory=collections.deque)


@attrs.define
class RepeatBudget:
    """Allowance of repeats in a sliding window.

    Attributes:
      ratio: Repeats allowed for each request.
      window_s: Length of the window.
      slack: Repeats allowed besides, for all gateways together.
      gateways: Gateways that share the slack.
      windows: What was counted, by service.
    """

    ratio: float
    window_s: float
    slack: float
    gateways: int = 1
    windows: dict[str, Window] = attrs.field(factory=dict)

    def count_request(self, service: str, now_s: float) -> None:
        """Counts a caller's request to a service."""
        window = self.windows.setdefault(service, Window())
        window.requests.append(now_s)
        _drop_old(window.requests, now_s - self.window_s)

    def spend(self, service: str, now_s: float) -> bool:
        """Takes one repeat and returns whether it was there.

        >>> budget = RepeatBudget(ratio=0.5, window_s=10.0, slack=0.0)
        >>> for at_s in (0.0, 1.0, 2.0):
        ...     budget.count_request("s", at_s)
        >>> budget.spend("s", 3.0), budget.spend("s", 3.0)
        (True, False)
        >>> budget.spend("s", 14.0)
        False
        """
        window = self.windows.setdefault(service, Window())
        _drop_old(window.requests, now_s - self.window_s)
        _drop_old(window.repeats, now_s - self.window_s)
        allowed = self.ratio * len(window.requests)
        allowed += self.slack / max(1, self.gateways)
        if len(window.repeats) + 1 > allowed * USED_PART:
            return False
        window.repeats.append(now_s)
        return True


def _drop_old(times: collections.deque[float], before_s: float) -> None:
    while times and times[0] < before_s:
        times.popleft()
