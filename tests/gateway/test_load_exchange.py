from __future__ import annotations

import anyio
import pytest

from cactusstile.gateway import load_exchange
from cactusstile.gateway import placement
from cactusstile.gateway import prompts
from cactusstile.gateway import site_view
from cactusstile.sites import model
from cactusstile.transport import address

pytestmark = pytest.mark.anyio
SECRET = b"s" * 16
PROMPT = prompts.parse("m", "9000,9", "shared:2000,own:7000")


def engine(number: int) -> model.Target:
    place = address.Address("127.0.0.1", 1000 + number)
    return model.Target(f"e-{number}", "s", place, "d", 8)


def exchange(name: str, engines: int = 3) -> load_exchange.LoadExchange:
    site = site_view.SiteView()
    site.replace_targets(
        tuple(engine(number) for number in range(engines)), 0.0
    )
    own = address.Address("127.0.0.1", 1)
    return load_exchange.LoadExchange(site, name, own, SECRET)


async def test_concurrent_long_prompts_spread_over_idle_engines() -> None:
    """Ten concurrent long prompts must not all go to the same idle engine."""
    gateways = [exchange(f"g-{number}", 5) for number in range(5)]
    chosen = []
    for turn in range(10):
        own = gateways[turn % len(gateways)]
        prompt = prompts.parse("m", "9000,9", f"shared:2000,own-{turn}:7000")
        now_s = anyio.current_time()
        view = placement.choose_engine(
            list(own.site.targets.views.values()),
            prompt,
            jitter=placement.request_jitter(f"r-{turn}", len(gateways)),
            cache_scope="w",
            affinity_key="",
            stored_tokens=lambda _: 0,
            now_s=now_s,
        )
        assert view is not None
        chosen.append(view.target.id)
        view.inflight += 1
        view.unread_tokens += prompt.tokens
        datagram = own.encode(own.own_loads())
        for peer in gateways:
            if peer is not own:
                peer.handle_datagram(datagram)
    counts = [chosen.count(engine(number).id) for number in range(5)]
    assert counts == [2] * 5


async def test_completed_load_of_peer_is_removed() -> None:
    sender, receiver = exchange("a"), exchange("b")
    view = sender.site.targets.views["e-1", 0]
    view.inflight, view.unread_tokens = 2, 500
    receiver.handle_datagram(sender.encode(sender.own_loads()))
    received = receiver.site.targets.views["e-1", 0]
    now_s = anyio.current_time()
    assert (received.others(now_s), received.peer_unread_tokens(now_s)) == (
        2,
        500,
    )
    view.inflight = 0
    receiver.handle_datagram(sender.encode(sender.own_loads()))
    assert received.others(now_s) == 0


async def test_load_of_silent_peer_expires() -> None:
    sender, receiver = exchange("a"), exchange("b")
    sender.site.targets.views["e-1", 0].inflight = 2
    receiver.handle_datagram(sender.encode(sender.own_loads()))
    later_s = anyio.current_time() + 2
    assert receiver.site.targets.views["e-1", 0].others(later_s) == 0


async def test_unauthenticated_datagram_is_dropped() -> None:
    sender, receiver = exchange("a"), exchange("b")
    sender.site.targets.views["e-1", 0].inflight = 2
    forged = bytearray(sender.encode(sender.own_loads()))
    forged[-1] ^= 1
    for datagram in (bytes(forged), b"", b"x" * 40):
        receiver.handle_datagram(datagram)
    received = receiver.site.targets.views["e-1", 0]
    assert received.others(anyio.current_time()) == 0


def choose_engine_id(
    gateway: load_exchange.LoadExchange, request_id: str = "r"
) -> str:
    view = placement.choose_engine(
        list(gateway.site.targets.views.values()),
        PROMPT,
        jitter=placement.request_jitter(request_id, 16),
        cache_scope="w",
        affinity_key="",
        stored_tokens=lambda _: 0,
        now_s=anyio.current_time(),
    )
    assert view is not None
    return view.target.id


async def test_peer_places_announced_prompt_on_its_engine() -> None:
    sender, receiver = exchange("a"), exchange("b")
    for number in range(3):
        salt = sender.site.targets.views[f"e-{number}", 0].salt("m", "w")
        sender.queue_prompt(f"e-{number}", salt, PROMPT)
        receiver.handle_datagram(sender.encode(()))
        assert choose_engine_id(receiver) == f"e-{number}"
        receiver.site.targets.views[f"e-{number}", 0].cached.clear()


async def test_prompt_is_announced_once() -> None:
    sender, receiver = exchange("a"), exchange("b")
    sender.queue_prompt("e-1", "s", PROMPT)
    sender.queue_prompt("e-gone", "s", PROMPT)
    receiver.handle_datagram(sender.encode(()))
    assert ("s", "own") in receiver.site.targets.views["e-1", 0].cached.parts
    assert not sender.prompts


async def test_decoding_engine_is_preferred_to_prefilling_engine() -> None:
    """Requests that are decoding leave no unread tokens ahead of a prompt."""
    own = exchange("a", 2)
    decoding, prefilling = own.site.targets.views.values()
    peer = exchange("b", 2)
    for view, unread_tokens in zip(
        peer.site.targets.views.values(), (0, 6000), strict=True
    ):
        view.inflight = 6
        view.unread_tokens = unread_tokens
    own.handle_datagram(peer.encode(peer.own_loads()))
    now_s = anyio.current_time()
    assert placement.queue_cost(decoding, PROMPT, now_s) < 6000
    assert choose_engine_id(own) == decoding.target.id != prefilling.target.id


async def test_gateways_with_equal_views_spread_requests() -> None:
    """Sixteen gateways choose an engine before they exchange their loads."""
    engines = 8
    chosen = []
    for number in range(16):
        own = exchange(f"g-{number}", engines)
        chosen.append(choose_engine_id(own, f"request-{number}"))
    assert len(set(chosen)) >= engines // 2
    assert max(map(chosen.count, chosen)) <= 6


async def test_datagram_with_many_prompts_stays_below_size_limit() -> None:
    sender = exchange("a")
    long = prompts.parse("m", "9000,9", "x" * 1000 + ":2000,y:7000")
    fitting = prompts.parse("m", "9000,9", "x" * 800 + ":2000,y:7000")
    for _ in range(200):
        sender.queue_prompt("e-1", "s", long)
    assert not sender.prompts
    for _ in range(200):
        sender.queue_prompt("e-1", "s", fitting)
    assert len(sender.encode(sender.own_loads())) < 60_000
