"""Gateways that exchange loads, without a network."""

from __future__ import annotations

import collections
import math

import attrs
import pytest

from cactusstile.gateway import site_view
from cactusstile.gateway.engines import prompts
from cactusstile.gateway.peers import load_sharing
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.transport import address

ENGINES = 5
DATA_CENTRES = ("d-1", "d-2", "d-3")
ROUND_S = 0.05
# A report passes a relay, another relay and reaches every gateway.
HOPS = 3
FAST_MBPS = 100.0
SLOW_MBPS = 5.0


def _engine(number: int) -> model.Target:
    place = address.Address("127.0.0.1", 1000 + number)
    return model.Target(f"e-{number}", "s", place, "d", 8)


@attrs.define
class Fleet:
    """Gateways whose messages arrive within the round they are sent in.

    Attributes:
      gateways: All gateways, by address.
      lost: Gateways whose messages are lost, both ways.
      now_s: Time of the current round.
      sent: Messages that each gateway sent in the last round.
      received: Messages that each gateway received in the last round.
    """

    gateways: dict[str, load_sharing.LoadSharing] = attrs.field(factory=dict)
    lost: set[str] = attrs.field(factory=set)
    now_s: float = 100.0
    sent: collections.Counter[str] = attrs.field(factory=collections.Counter)
    received: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def run_rounds(self, count: int) -> None:
        for _ in range(count):
            self.now_s += ROUND_S
            self.sent.clear()
            self.received.clear()
            collected = []
            for own, gateway in self.gateways.items():
                collected += [
                    (own, outgoing) for outgoing in gateway.collect(self.now_s)
                ]
            for own, outgoing in collected:
                self._deliver(own, outgoing)

    def _deliver(self, own: str, outgoing: load_sharing.Outgoing) -> None:
        for receiver in outgoing.receivers:
            self.sent[own] += 1
            if self.lost & {own, receiver}:
                continue
            self.received[receiver] += 1
            self.gateways[receiver].receive(outgoing.message, self.now_s)

    def relays(self) -> list[str]:
        return [own for own, gate in self.gateways.items() if gate.is_relay]


def _open_fleet(count: int, fast: int = 6) -> Fleet:
    members = tuple(
        messages.GatewayMember(
            f"127.0.0.1:{number}",
            DATA_CENTRES[number % len(DATA_CENTRES)],
            FAST_MBPS if number <= fast else SLOW_MBPS,
        )
        for number in range(1, count + 1)
    )
    fleet = Fleet()
    for number, member in enumerate(members):
        site = site_view.SiteView(gateways=members)
        site.replace_targets(tuple(map(_engine, range(ENGINES))), 0.0)
        view = site.targets.by_id[f"e-{number % ENGINES}"]
        view.inflight, view.unread_tokens, view.tokens = 1, 100, 900
        fleet.gateways[member.address] = load_sharing.LoadSharing(site, member)
    return fleet


def _seen(
    fleet: Fleet, own: str, engine: str = "e-0"
) -> tuple[int, int | None, int]:
    view = fleet.gateways[own].site.targets.by_id[engine]
    return (
        view.occupied(fleet.now_s),
        view.peer_unread_tokens(fleet.now_s),
        view.memory_tokens(fleet.now_s),
    )


@pytest.mark.parametrize("count", [1, 7, 12, 13, 30, 70, 300])
def test_every_gateway_sees_the_load_of_all(count: int) -> None:
    fleet = _open_fleet(count)
    fleet.run_rounds(2 * HOPS)
    holders = -(-count // ENGINES)
    for number, own in enumerate(fleet.gateways):
        unread = 100 * (holders - (number % ENGINES == 0))
        expected = (holders, unread if count > 1 else None, 900 * holders)
        assert _seen(fleet, own) == expected


@pytest.mark.parametrize("count", [30, 100, 300, 670])
def test_messages_of_a_gateway_grow_slower_than_the_fleet(count: int) -> None:
    """An exchange of all with all takes twice the fleet's size each round.

    With as many relays as gateways for each, a relay handles four times the
    square root of the fleet's size; half as much again is left for relays that
    more gateways than the average have chosen.
    """
    fleet = _open_fleet(count, fast=0)
    fleet.run_rounds(2 * HOPS)
    for gateway in fleet.gateways.values():
        gateway.site.targets.by_id["e-1"].inflight += 1
    fleet.run_rounds(1)
    handled = fleet.sent + fleet.received
    assert max(handled.values()) <= 6 * math.sqrt(count)
    others = [own for own in fleet.gateways if own not in fleet.relays()]
    assert max(handled[own] for own in others) <= 2


@pytest.mark.parametrize("count", [30, 70, 300])
def test_change_reaches_every_gateway_in_three_rounds(count: int) -> None:
    fleet = _open_fleet(count)
    fleet.run_rounds(2 * HOPS)
    before = _seen(fleet, "127.0.0.1:2")[0]
    changed = list(fleet.gateways)[-1]
    view = fleet.gateways[changed].site.targets.by_id["e-0"]
    view.inflight += 5
    fleet.run_rounds(HOPS)
    assert {_seen(fleet, own)[0] for own in fleet.gateways} == {before + 5}
    view.inflight -= 5
    fleet.run_rounds(HOPS)
    assert {_seen(fleet, own)[0] for own in fleet.gateways} == {before}


def test_own_change_is_not_counted_twice_while_its_report_travels() -> None:
    fleet = _open_fleet(70)
    fleet.run_rounds(2 * HOPS)
    own = list(fleet.gateways)[-1]
    before = _seen(fleet, own)[0]
    view = fleet.gateways[own].site.targets.by_id["e-0"]
    for number in range(1, 2 * HOPS):
        view.inflight += 1
        fleet.run_rounds(1)
        assert _seen(fleet, own)[0] == before + number


def test_gateways_of_a_lost_relay_report_to_another() -> None:
    fleet = _open_fleet(70)
    fleet.run_rounds(2 * HOPS)
    lost = fleet.gateways[list(fleet.gateways)[-1]].relay
    fleet.lost.add(lost)
    fleet.run_rounds(round(2.5 / ROUND_S))
    remaining = [own for own in fleet.gateways if own != lost]
    for own in remaining:
        assert fleet.gateways[own].relay != lost
    lost_load = list(fleet.gateways).index(lost) % ENGINES == 0
    holders = 70 // ENGINES - lost_load
    assert {_seen(fleet, own)[0] for own in remaining} == {holders}


def test_relay_that_returns_is_used_again() -> None:
    fleet = _open_fleet(70)
    fleet.run_rounds(2 * HOPS)
    member = list(fleet.gateways)[-1]
    lost = fleet.gateways[member].relay
    fleet.lost.add(lost)
    fleet.run_rounds(round(1.0 / ROUND_S))
    fleet.lost.clear()
    fleet.run_rounds(round(6.0 / ROUND_S))
    assert fleet.gateways[member].relay == lost
    assert {_seen(fleet, own)[0] for own in fleet.gateways} == {70 // ENGINES}


@pytest.mark.parametrize("sender", ["127.0.0.1:1", "127.0.0.1:70"])
def test_announced_prompt_reaches_every_gateway(sender: str) -> None:
    fleet = _open_fleet(70)
    fleet.run_rounds(2 * HOPS)
    prompt = prompts.parse("m", "9000,9", "shared:2000,own:7000")
    fleet.gateways[sender].queue_prompt("e-3", "salt", prompt)
    fleet.run_rounds(HOPS)
    for own, gateway in fleet.gateways.items():
        if own == sender:
            continue
        cached = gateway.site.targets.by_id["e-3"].cached
        assert cached.prefix_tokens("salt", prompt) == 9000


def test_slow_store_is_avoided_by_all_after_a_few_fetches() -> None:
    """Each of many gateways alone sees a fetch from a store now and then."""
    fleet = _open_fleet(70)
    fleet.run_rounds(2 * HOPS)
    for number, gateway in enumerate(list(fleet.gateways.values())[::10]):
        for source, ratio in (("slow", 4.0), ("quick", 0.2)):
            gateway.queue_fetch(messages.ObservedFetch(source, 7500, ratio))
        if number >= 3:
            break
    fleet.run_rounds(HOPS)
    avoiding = 0
    for gateway in fleet.gateways.values():
        costs = gateway.site.stored.costs
        assert costs.is_worthwhile("quick", fleet.now_s)
        avoiding += not costs.is_worthwhile("slow", fleet.now_s)
    # Those that observed it apply their own observation themselves.
    assert avoiding >= len(fleet.gateways) - 4


def test_relays_are_the_gateways_with_the_fastest_links() -> None:
    fleet = _open_fleet(70, fast=6)
    fleet.run_rounds(1)
    assert fleet.relays() == [f"127.0.0.1:{n}" for n in range(1, 7)]


def test_gateways_report_within_their_data_centre() -> None:
    fleet = _open_fleet(70, fast=6)
    fleet.run_rounds(1)
    for own, gateway in fleet.gateways.items():
        if own in fleet.relays():
            continue
        relay = fleet.gateways[gateway.relay]
        assert relay.own.data_centre == gateway.own.data_centre
