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
    site.replace_targets(tuple(engine(one) for one in range(engines)), 0.0)
    own = address.Address("127.0.0.1", 1)
    return load_exchange.LoadExchange(site, name, own, SECRET)


async def test_gateways_do_not_choose_the_same_idle_engine() -> None:
    """Ten long prompts at once at five gateways spread over five engines."""
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
        for other in gateways:
            if other is not own:
                other.handle_datagram(datagram)
    counts = [chosen.count(engine(number).id) for number in range(5)]
    assert counts == [2] * 5


async def test_load_that_ended_is_forgotten() -> None:
    one, other = exchange("a"), exchange("b")
    view = one.site.targets.views["e-1", 0]
    view.inflight, view.unread_tokens = 2, 500
    other.handle_datagram(one.encode(one.own_loads()))
    seen = other.site.targets.views["e-1", 0]
    now_s = anyio.current_time()
    assert (seen.others(now_s), seen.peer_unread_tokens(now_s)) == (2, 500)
    view.inflight = 0
    other.handle_datagram(one.encode(one.own_loads()))
    assert seen.others(now_s) == 0


async def test_load_of_a_silent_gateway_is_forgotten() -> None:
    one, other = exchange("a"), exchange("b")
    one.site.targets.views["e-1", 0].inflight = 2
    other.handle_datagram(one.encode(one.own_loads()))
    later_s = anyio.current_time() + 2
    assert other.site.targets.views["e-1", 0].others(later_s) == 0


async def test_datagram_without_the_secret_is_dropped() -> None:
    one, other = exchange("a"), exchange("b")
    one.site.targets.views["e-1", 0].inflight = 2
    forged = bytearray(one.encode(one.own_loads()))
    forged[-1] ^= 1
    for datagram in (bytes(forged), b"", b"x" * 40):
        other.handle_datagram(datagram)
    seen = other.site.targets.views["e-1", 0]
    assert seen.others(anyio.current_time()) == 0


def choose(of: load_exchange.LoadExchange, request_id: str = "r") -> str:
    view = placement.choose_engine(
        list(of.site.targets.views.values()),
        PROMPT,
        jitter=placement.request_jitter(request_id, 16),
        cache_scope="w",
        affinity_key="",
        stored_tokens=lambda _: 0,
        now_s=anyio.current_time(),
    )
    assert view is not None
    return view.target.id


async def test_prompt_that_returns_at_another_gateway_finds_its_engine() -> (
    None
):
    one, other = exchange("a"), exchange("b")
    for number in range(3):
        salt = one.site.targets.views[f"e-{number}", 0].salt("m", "w")
        one.queue_prompt(f"e-{number}", salt, PROMPT)
        other.handle_datagram(one.encode(()))
        assert choose(other) == f"e-{number}"
        other.site.targets.views[f"e-{number}", 0].cached.clear()


async def test_prompts_are_told_once() -> None:
    one, other = exchange("a"), exchange("b")
    one.queue_prompt("e-1", "s", PROMPT)
    one.queue_prompt("e-gone", "s", PROMPT)
    other.handle_datagram(one.encode(()))
    assert ("s", "own") in other.site.targets.views["e-1", 0].cached.parts
    assert not one.prompts


async def test_engine_that_only_generates_goes_before_one_that_reads() -> None:
    """Others' requests that have begun leave nothing to read first."""
    own = exchange("a", 2)
    busy, reading = own.site.targets.views.values()
    other = exchange("b", 2)
    for view, unread_tokens in zip(
        other.site.targets.views.values(), (0, 6000), strict=True
    ):
        view.inflight = 6
        view.unread_tokens = unread_tokens
    own.handle_datagram(other.encode(other.own_loads()))
    now_s = anyio.current_time()
    assert placement.queue_cost(busy, PROMPT, now_s) < 6000
    assert choose(own) == busy.target.id != reading.target.id


async def test_gateways_that_know_the_same_spread_their_requests() -> None:
    """Sixteen gateways choose before they hear of each other's choice."""
    engines = 8
    chosen = []
    for number in range(16):
        own = exchange(f"g-{number}", engines)
        chosen.append(choose(own, f"request-{number}"))
    assert len(set(chosen)) >= engines // 2
    assert max(map(chosen.count, chosen)) <= 6


async def test_datagram_stays_within_its_bound() -> None:
    one = exchange("a")
    long = prompts.parse("m", "9000,9", "x" * 1000 + ":2000,y:7000")
    fitting = prompts.parse("m", "9000,9", "x" * 800 + ":2000,y:7000")
    for _ in range(200):
        one.queue_prompt("e-1", "s", long)
    assert not one.prompts
    for _ in range(200):
        one.queue_prompt("e-1", "s", fitting)
    assert len(one.encode(one.own_loads())) < 60_000
