"""Sums of the loads that other gateways report.

A decision reads the load of each candidate target once, so the sums are
maintained when reports arrive, whose number grows with the gateways.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    import collections.abc

    Loads = collections.abc.Mapping[str, "Load"]


@attrs.frozen
class Load:
    """Load on one target.

    Attributes:
      inflight: Requests in flight.
      unread_tokens: Prompt tokens of the requests without a first event.
      tokens: KV cache that the requests occupy, in tokens.
    """

    inflight: int
    unread_tokens: int
    tokens: int

    def plus(self, other: Load, sign: int = 1) -> Load:
        """Returns the sum of two loads; the difference if `sign` is -1.

        >>> Load(3, 100, 900).plus(Load(1, 0, 300), -1)
        Load(inflight=2, unread_tokens=100, tokens=600)
        """
        return Load(
            self.inflight + sign * other.inflight,
            self.unread_tokens + sign * other.unread_tokens,
            self.tokens + sign * other.tokens,
        )


NO_LOAD = Load(0, 0, 0)


def add(first: Loads, second: Loads, sign: int = 1) -> dict[str, Load]:
    """Returns the loads of two senders together, by target.

    Args:
      first: Loads of one sender.
      second: Loads of another sender.
      sign: -1 to subtract the second from the first.
    """
    total = dict(first)
    for target, load in second.items():
        total[target] = total.get(target, NO_LOAD).plus(load, sign)
    return total


@attrs.frozen
class _Report:
    """Last report of one sender.

    Attributes:
      loads: Load on each target.
      received_at_s: Loop time at which the report arrived.
    """

    loads: Loads
    received_at_s: float


@attrs.define
class LoadTable:
    """Last report of each sender, and their sums.

    Attributes:
      reports: Last report, by sender.
      totals: Sum of all reports, by target.
      last_received_s: Loop time of the last report.
    """

    reports: dict[str, _Report] = attrs.field(factory=dict)
    totals: dict[str, Load] = attrs.field(factory=dict)
    last_received_s: float = float("-inf")

    def replace(self, sender: str, loads: Loads, now_s: float) -> None:
        """Replaces the report of one sender.

        >>> table = LoadTable()
        >>> table.replace("g1", {"e": Load(1, 50, 90)}, now_s=0.0)
        >>> table.replace("g2", {"e": Load(2, 0, 10)}, now_s=0.1)
        >>> table.replace("g1", {}, now_s=0.2)
        >>> table.totals
        {'e': Load(inflight=2, unread_tokens=0, tokens=10)}
        """
        known = self.reports.get(sender)
        before = {} if known is None else known.loads
        self.reports[sender] = _Report(loads, now_s)
        self.last_received_s = now_s
        # Most loads are as in the report before.
        for target, load in loads.items():
            if before.get(target) != load:
                self._change(target, before.get(target, NO_LOAD), load)
        for target in before.keys() - loads.keys():
            self._change(target, before[target], NO_LOAD)

    def expire(self, oldest_s: float) -> None:
        """Drops the reports received before `oldest_s`."""
        for sender, report in list(self.reports.items()):
            if report.received_at_s < oldest_s:
                self._subtract(sender)

    def clear(self) -> None:
        """Drops all reports."""
        self.reports.clear()
        self.totals.clear()

    def _subtract(self, sender: str) -> None:
        for target, load in self.reports.pop(sender).loads.items():
            self._change(target, load, NO_LOAD)

    def _change(self, target: str, before: Load, after: Load) -> None:
        """Replaces the load that one sender reports on a target."""
        rest = self.totals.get(target, NO_LOAD).plus(before, -1).plus(after)
        if rest == NO_LOAD:
            self.totals.pop(target, None)
        else:
            self.totals[target] = rest
