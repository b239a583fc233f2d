"""Chooses the gateways through which the others exchange their loads.

In a large site, datagrams from each gateway to all others would grow with the
square of their number. Instead a few gateways are relays: the others report to
one relay each and receive from it the load of the whole site; relays exchange
the sums of what was reported to them. In a small site every gateway is a relay,
and all exchange directly.
"""

from __future__ import annotations

import collections.abc
import math
import typing

import attrs

from cactusstile.routing import rendezvous

if typing.TYPE_CHECKING:
    from cactusstile.sites import messages

# Gateways up to which all are relays.
MAX_DIRECT_GATEWAYS = 12
# Largest number of gateways for each relay.
MAX_GATEWAYS_PER_RELAY = 16


@attrs.frozen
class Topology:
    """Relays of a site, the same at all gateways that know the same members.

    Attributes:
      relays: The relays, those with the fastest links first.
    """

    relays: tuple[messages.GatewayMember, ...] = ()

    def addresses(self) -> tuple[str, ...]:
        """Returns the addresses of all relays."""
        return tuple(relay.address for relay in self.relays)

    def preferred_relays(self, own: messages.GatewayMember) -> tuple[str, ...]:
        """Returns the relays for one gateway, the preferred one first.

        Relays of its own data centre come first.
        """
        near: list[rendezvous.Member] = []
        far: list[rendezvous.Member] = []
        for relay in self.relays:
            member = rendezvous.Member(relay.address)
            is_near = relay.data_centre == own.data_centre
            (near if is_near else far).append(member)
        key = own.address.encode()
        ranked = [*rendezvous.rank(key, near), *rendezvous.rank(key, far)]
        return tuple(member.name for member in ranked)


def build(
    members: collections.abc.Iterable[messages.GatewayMember],
) -> Topology:
    """Returns the topology of a site.

    Args:
      members: All gateways, in any order.
    """
    ranked = sorted(
        members, key=lambda member: (-member.link_mbps, member.address)
    )
    return Topology(tuple(ranked[: relay_count(ranked)]))


def relay_count(
    ranked: collections.abc.Sequence[messages.GatewayMember],
) -> int:
    """Returns the number of relays.

    About as many as there are gateways for each relay keeps what one relay
    handles lowest. Gateways with the fastest links are preferred if their
    number is similar.

    Args:
      ranked: All gateways, those with the fastest links first.
    """
    count = len(ranked)
    if count <= MAX_DIRECT_GATEWAYS:
        return count
    balanced = round(math.sqrt(count))
    fastest = sum(member.link_mbps == ranked[0].link_mbps for member in ranked)
    fewest = math.ceil(count / MAX_GATEWAYS_PER_RELAY)
    if fewest <= fastest <= 2 * balanced:
        return fastest
    return balanced
