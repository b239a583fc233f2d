"""Decides how many requests a gateway sends to a target that is cold.

A cold target ends under more requests than its service names, from all
gateways together. As with the limits that targets name, some gateways, chosen
by rendezvous hashing of the target's id, share its rate, and the others send
nothing to it; no message is needed.

The load that this answers: a data centre whose engines all come back cold while
callers press, before eight gateways or hundreds.
"""

from __future__ import annotations

import typing

import attrs

from cactusstile.gateway import target_limits

if typing.TYPE_CHECKING:
    from cactusstile.sites import messages
    from cactusstile.sites import model

# Rate of one gateway, in requests per second. Each gateway may send one request
# more than its rate in a second, so that half of the rate is added in all.
SHARE_PER_S = 2.0
BURST_REQUESTS = 1.0


def share_per_s(
    target_id: str,
    cold_per_s: float,
    addresses: typing.Collection[str],
    own_address: str,
) -> float:
    """Returns how many requests per second one gateway may send.

    Args:
      target_id: Id of the target.
      cold_per_s: Requests per second that the target bears from all.
      addresses: Addresses of all gateways.
      own_address: Address of the gateway.

    >>> gateways = [f"g{number}" for number in range(31)]
    >>> shares = [share_per_s("t", 10.0, gateways, own) for own in gateways]
    >>> sum(shares), max(shares)
    (10.0, 2.0)
    >>> share_per_s("t", 10.0, ["g1"], "g1")
    10.0
    """
    return target_limits.split(
        target_id, cold_per_s, SHARE_PER_S, addresses, own_address
    )


@attrs.define
class Warming:
    """What this gateway may still send to one target while it is cold.

    Attributes:
      target_id: Id of the target.
      gateways: Gateways that share the rate.
      cold_per_s: Requests per second that a cold target of the service bears;
        0 if it bears any number.
      cold_start_s: Time for which a target of the service is cold after its
        start.
    """

    target_id: str = ""
    gateways: target_limits.Gateways = attrs.field(
        factory=target_limits.Gateways
    )
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0
    _level: float = 0.0
    _refilled_s: float = float("-inf")
    _members: tuple[messages.GatewayMember, ...] | None = None
    _share_per_s: float = 0.0

    def set_service(self, service: model.Service | None) -> None:
        """Applies the configuration of the target's service."""
        if service is None:
            return
        if service.cold_per_s != self.cold_per_s:
            self._members = None
        self.cold_per_s = service.cold_per_s
        self.cold_start_s = service.cold_start_s

    def permits(self, is_cold: bool, now_s: float) -> bool:
        """Returns whether a request may be sent to the target now."""
        if not is_cold or not self.cold_per_s:
            return True
        return self._refill(now_s) >= 1.0

    def spend(self, is_cold: bool, now_s: float) -> None:
        """Counts a request that is sent now."""
        if is_cold and self.cold_per_s:
            self._level = self._refill(now_s) - 1.0

    def permits_from_s(self, is_cold: bool, now_s: float) -> float:
        """Returns the loop time from which some gateway may send a request."""
        if self.permits(is_cold, now_s):
            return float("-inf")
        lacking = max(0.0, 1.0 - self._level)
        return now_s + lacking / (self._share_per_s or self.cold_per_s)

    def _refill(self, now_s: float) -> float:
        """Adds what this gateway's share grants; returns what is left."""
        members = self.gateways.list_members()
        if members is not self._members:
            self._members = members
            before = self._share_per_s
            self._share_per_s = share_per_s(
                self.target_id,
                self.cold_per_s,
                {member.address for member in members},
                self.gateways.own_address,
            )
            if not before:
                # Another gateway may just have used this share.
                self._refilled_s = max(self._refilled_s, now_s)
                self._level = 0.0
        elapsed_s = max(0.0, now_s - max(self._refilled_s, now_s - 1.0))
        granted = elapsed_s * self._share_per_s
        self._level = min(BURST_REQUESTS, self._level + granted)
        self._refilled_s = now_s
        return self._level
