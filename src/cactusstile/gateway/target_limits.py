"""Decides how many requests a gateway sends to a target that names a limit.

The limit holds for all gateways together, and may be less than one request a
second for each. A few gateways, chosen by rendezvous hashing of the target's
id, share it; the others send nothing. All gateways that know the same members
choose the same, without a message for each request.

The load that this answers: a target in need that takes a request or two a
second, before eight gateways or hundreds, while others of its service have
room.
"""

from __future__ import annotations

import collections.abc

import attrs

from cactusstile.routing import rendezvous
from cactusstile.sites import messages

ListMembers = collections.abc.Callable[[], tuple[messages.GatewayMember, ...]]

# Smallest share of one gateway, in requests per second.
MIN_SHARE_PER_S = 1.0
# Taken for smaller limits: only an answer can tell that a limit has ended.
MIN_LIMIT_PER_S = 0.2
# Requests that may be sent at once, and the time for which more are saved up.
BURST_REQUESTS = 1.0
BURST_S = 0.25
# Time between two messages about the same limit.
REPEAT_INTERVAL_S = 1.0
# Time for which the end of a limit is repeated.
END_REPEATED_S = 10.0


def _list_nobody() -> tuple[messages.GatewayMember, ...]:
    return ()


@attrs.define
class Gateways:
    """Gateways that share the limits of targets.

    Attributes:
      own_address: Address of this gateway; empty until it has one.
      list_members: Returns all gateways.
    """

    own_address: str = ""
    list_members: ListMembers = _list_nobody


def share_per_s(
    target_id: str,
    limit_per_s: float,
    addresses: collections.abc.Collection[str],
    own_address: str,
) -> float:
    """Returns how many requests per second one gateway may send.

    Args:
      target_id: Id of the target.
      limit_per_s: Requests per second that the target takes from all.
      addresses: Addresses of all gateways.
      own_address: Address of the gateway.

    >>> gateways = ["g1", "g2", "g3"]
    >>> [share_per_s("t", 1.5, gateways, own) for own in gateways].count(0.0)
    2
    >>> share_per_s("t", 6.0, gateways, "g2")
    2.0
    >>> share_per_s("t", 6.0, gateways, "unlisted")
    0.0
    """
    limit_per_s = max(limit_per_s, MIN_LIMIT_PER_S)
    return split(
        target_id, limit_per_s, MIN_SHARE_PER_S, addresses, own_address
    )


def split(
    target_id: str,
    rate_per_s: float,
    min_share_per_s: float,
    addresses: collections.abc.Collection[str],
    own_address: str,
) -> float:
    """Returns one gateway's part of a rate that few gateways share.

    Args:
      target_id: Id of the target; decides which gateways share.
      rate_per_s: Requests per second of all gateways.
      min_share_per_s: Smallest share, unless the whole rate is smaller.
      addresses: Addresses of all gateways.
      own_address: Address of the gateway.

    Returns:
      Requests per second; 0 for a gateway without a share.
    """
    count = min(len(addresses), max(1, int(rate_per_s / min_share_per_s)))
    members = [rendezvous.Member(address) for address in addresses]
    for member in rendezvous.rank(target_id.encode(), members)[:count]:
        if member.name == own_address:
            return rate_per_s / count
    return 0.0


@attrs.define
class TargetLimit:
    """Limit that one incarnation of a target names, and what is left of it.

    Attributes:
      target_id: Id of the target.
      gateways: Gateways that share the limit.
      per_s: Requests per second that the target takes from all gateways; None
        without a limit.
      heard_s: Loop time at which the target last said so, to any gateway.
      told_s: Loop time at which this gateway last told the others.
      changed_s: Loop time of the last change.
    """

    target_id: str
    gateways: Gateways
    per_s: float | None = None
    heard_s: float = float("-inf")
    told_s: float = float("-inf")
    changed_s: float = float("-inf")
    _level: float = 0.0
    _refilled_s: float = 0.0
    _members: tuple[messages.GatewayMember, ...] | None = None
    _share_per_s: float = 0.0

    def record(self, per_s: float | None, heard_s: float) -> bool:
        """Records what the target said; returns whether the limit changed.

        Args:
          per_s: The limit; None if the target named none.
          heard_s: Loop time at which it said so; older statements are ignored.
        """
        if heard_s < self.heard_s:
            return False
        self.heard_s = heard_s
        if per_s == self.per_s:
            return False
        if self.per_s is None:
            self._level = 0.0
            self._share_per_s = 0.0
            self._refilled_s = heard_s
        self.per_s = per_s
        self.changed_s = heard_s
        self._members = None
        return True

    def permits(self, now_s: float) -> bool:
        """Returns whether a request may be sent now."""
        return self.per_s is None or self._refill(now_s) >= 1.0

    def spend(self, now_s: float) -> None:
        """Counts a request that is sent now."""
        if self.per_s is not None:
            self._level = self._refill(now_s) - 1.0

    def permits_from_s(self, now_s: float) -> float:
        """Returns the loop time from which some gateway may send a request."""
        if self.per_s is None:
            return float("-inf")
        lacking = max(0.0, 1.0 - self._refill(now_s))
        rate_per_s = self._share_per_s or max(self.per_s, MIN_LIMIT_PER_S)
        return now_s + lacking / rate_per_s

    def is_to_be_told(self, now_s: float) -> bool:
        """Returns whether other gateways are to be told of the limit now."""
        if self.told_s < self.changed_s:
            return True
        is_settled = now_s - self.changed_s > END_REPEATED_S
        if self.per_s is None and is_settled:
            return False
        return now_s - self.told_s >= REPEAT_INTERVAL_S

    def _refill(self, now_s: float) -> float:
        """Adds what this gateway's share grants; returns what is left."""
        # The time before a change of the members is granted at the old share,
        # which is 0 for a gateway that takes the place of another.
        elapsed_s = max(0.0, now_s - self._refilled_s)
        burst = max(BURST_REQUESTS, self._share_per_s * BURST_S)
        self._level = min(burst, self._level + elapsed_s * self._share_per_s)
        self._refilled_s = now_s
        members = self.gateways.list_members()
        if members is not self._members:
            self._members = members
            self._share_per_s = share_per_s(
                self.target_id,
                self.per_s or 0.0,
                {member.address for member in members},
                self.gateways.own_address,
            )
        if not self._share_per_s:
            self._level = min(self._level, 0.0)
        return self._level
