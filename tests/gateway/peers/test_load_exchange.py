from __future__ import annotations

import anyio
import pytest

from cactusstile.gateway import site_view
from cactusstile.gateway import target_view
from cactusstile.gateway.engines import placement
from cactusstile.gateway.engines import prompts
from cactusstile.gateway.peers import datagram_exchange
from cactusstile.gateway.peers import datagrams
from cactusstile.gateway.peers import load_sharing
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.transport import address

pytestmark = pytest.mark.anyio
SECRET = b"s" * 16
PROMPT = prompts.parse("m", "9000,9", "shared:2000,own:7000")


def engine(number: int) -> model.Target:
    place = address.Address("127.0.0.1", 1000 + number)
    return model.Target(f"e-{number}", "s", place, "d", 8)


Gateways = list[datagram_exchange.DatagramExchange]


def open_gateways(count: int, engines: int = 3) -> Gateways:
    """Returns gateways that know each other."""
    members = tuple(
        messages.GatewayMember(f"127.0.0.1:{number}", "d", 100.0)
        for number in range(1, count + 1)
    )
    gateways = []
    for member in members:
        site = site_view.SiteView(gateways=members)
        site.replace_targets(
            tuple(engine(number) for number in range(engines)), 0.0
        )
        sharing = load_sharing.LoadSharing(site, member)
        own = address.parse(member.address)
        gateways.append(
            datagram_exchange.DatagramExchange(sharing, own, SECRET)
        )
    # The first messages tell the gateways who is there.
    for gateway in gateways:
        gateway.sharing.collect(anyio.current_time())
    return gateways


def collect_datagrams(
    sender: datagram_exchange.DatagramExchange,
) -> list[bytes]:
    """Returns the datagrams that a gateway sends now, one for all peers."""
    return [
        datagrams.encode(SECRET, outgoing.message)
        for outgoing in sender.sharing.collect(anyio.current_time())
    ]


def deliver(
    sender: datagram_exchange.DatagramExchange,
    *receivers: datagram_exchange.DatagramExchange,
) -> None:
    for datagram in collect_datagrams(sender):
        for receiver in receivers:
            receiver.handle_datagram(datagram)


def views_of(
    gateway: datagram_exchange.DatagramExchange,
) -> dict[tuple[str, int], target_view.TargetView]:
    return gateway.sharing.site.targets.views


async def test_concurrent_long_prompts_spread_over_idle_engines() -> None:
    """Ten concurrent long prompts must not all go to the same idle engine."""
    gateways = open_gateways(5, 5)
    chosen = []
    for turn in range(10):
        own = gateways[turn % len(gateways)]
        prompt = prompts.parse("m", "9000,9", f"shared:2000,own-{turn}:7000")
        now_s = anyio.current_time()
        view = placement.choose_engine(
            list(views_of(own).values()),
            prompt,
            added_cost=placement.request_jitter(f"r-{turn}", len(gateways)),
            cache_scope="w",
            affinity_key="",
            stored_tokens=lambda _: 0,
            now_s=now_s,
        )
        assert view is not None
        chosen.append(view.target.id)
        view.inflight += 1
        view.unread_tokens += prompt.tokens
        deliver(own, *(peer for peer in gateways if peer is not own))
    counts = [chosen.count(engine(number).id) for number in range(5)]
    assert counts == [2] * 5


async def test_completed_load_of_peer_is_removed() -> None:
    sender, receiver = open_gateways(2)
    view = views_of(sender)["e-1", 0]
    view.inflight, view.unread_tokens = 2, 500
    deliver(sender, receiver)
    received = views_of(receiver)["e-1", 0]
    now_s = anyio.current_time()
    assert (received.others(now_s), received.peer_unread_tokens(now_s)) == (
        2,
        500,
    )
    view.inflight = 0
    deliver(sender, receiver)
    assert received.others(now_s) == 0


async def test_load_of_silent_peer_expires() -> None:
    sender, receiver = open_gateways(2)
    views_of(sender)["e-1", 0].inflight = 2
    deliver(sender, receiver)
    later_s = anyio.current_time() + 2
    assert views_of(receiver)["e-1", 0].others(later_s) == 0


async def test_unauthenticated_datagram_is_dropped() -> None:
    sender, receiver = open_gateways(2)
    views_of(sender)["e-1", 0].inflight = 2
    forged = bytearray(collect_datagrams(sender)[0])
    forged[-1] ^= 1
    for datagram in (bytes(forged), b"", b"x" * 40):
        receiver.handle_datagram(datagram)
    received = views_of(receiver)["e-1", 0]
    assert received.others(anyio.current_time()) == 0


def choose_engine_id(
    gateway: datagram_exchange.DatagramExchange, request_id: str = "r"
) -> str:
    view = placement.choose_engine(
        list(views_of(gateway).values()),
        PROMPT,
        added_cost=placement.request_jitter(request_id, 16),
        cache_scope="w",
        affinity_key="",
        stored_tokens=lambda _: 0,
        now_s=anyio.current_time(),
    )
    assert view is not None
    return view.target.id


async def test_peer_places_announced_prompt_on_its_engine() -> None:
    sender, receiver = open_gateways(2)
    for number in range(3):
        salt = views_of(sender)[f"e-{number}", 0].salt("m", "w")
        sender.sharing.queue_prompt(f"e-{number}", salt, PROMPT)
        deliver(sender, receiver)
        assert choose_engine_id(receiver) == f"e-{number}"
        views_of(receiver)[f"e-{number}", 0].cached.clear()


async def test_prompt_is_announced_once() -> None:
    sender, receiver = open_gateways(2)
    sender.sharing.queue_prompt("e-1", "s", PROMPT)
    sender.sharing.queue_prompt("e-gone", "s", PROMPT)
    deliver(sender, receiver)
    assert ("s", "own") in views_of(receiver)["e-1", 0].cached.parts
    assert not sender.sharing.has_prompts()


async def test_decoding_engine_is_preferred_to_prefilling_engine() -> None:
    """Requests that are decoding leave no unread tokens ahead of a prompt."""
    own, peer = open_gateways(2, 2)
    decoding, prefilling = views_of(own).values()
    for view, unread_tokens in zip(
        views_of(peer).values(), (0, 6000), strict=True
    ):
        view.inflight = 6
        view.unread_tokens = unread_tokens
    deliver(peer, own)
    now_s = anyio.current_time()
    assert placement.queue_cost(decoding, PROMPT, now_s) < 6000
    assert choose_engine_id(own) == decoding.target.id != prefilling.target.id


async def test_gateways_with_equal_views_spread_requests() -> None:
    """Sixteen gateways choose an engine before they exchange their loads."""
    engines = 8
    chosen = []
    for number, own in enumerate(open_gateways(16, engines)):
        chosen.append(choose_engine_id(own, f"request-{number}"))
    assert len(set(chosen)) >= engines // 2
    assert max(map(chosen.count, chosen)) <= 6


async def test_datagram_with_many_prompts_stays_below_size_limit() -> None:
    sender, _ = open_gateways(2)
    long = prompts.parse("m", "9000,9", "x" * 1000 + ":2000,y:7000")
    fitting = prompts.parse("m", "9000,9", "x" * 800 + ":2000,y:7000")
    for _ in range(200):
        sender.sharing.queue_prompt("e-1", "s", long)
    assert not sender.sharing.has_prompts()
    for _ in range(200):
        sender.sharing.queue_prompt("e-1", "s", fitting)
    assert len(collect_datagrams(sender)[0]) < 60_000
