from __future__ import annotations

import typing

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from cactusstile import verdict
from cactusstile.agent import messages
from cactusstile.routing import choice
from cactusstile.routing import rendezvous

REQUEST = choice.Request(prompt_tokens=1600)
EQUAL_WEIGHTS = choice.Weights()


def _make_candidate(name: str, **changes: typing.Any) -> choice.Candidate:
    reply = messages.ProbeReply(
        revision=1,
        version="v1",
        resident_blocks=0,
        queued_tokens=0,
        running=0,
        slots=8,
        wait_ms=0,
        prefill_ms=400,
    )
    reply = attrs.evolve(reply, **changes)
    return choice.Candidate(rendezvous.Member(name), reply)


def _constant_time(ms: float) -> choice.TransferTime:
    def import_time(member: rendezvous.Member, blocks: int) -> float:
        return ms

    return import_time


replies = strategies.builds(
    _make_candidate,
    strategies.sampled_from("abc"),
    wait_ms=strategies.integers(0, 2000),
    prefill_ms=strategies.integers(0, 2000),
    resident_blocks=strategies.integers(0, 100),
    version=strategies.sampled_from(["v1", "v2"]),
    leaving=strategies.booleans(),
)


@hypothesis.given(
    strategies.lists(replies, max_size=3),
    strategies.sampled_from(["", "v1", "v2"]),
    strategies.integers(0, 1000),
    strategies.integers(0, 100),
)
def test_choose_offers_only_fit_targets_or_refuses(
    probed: list[choice.Candidate],
    version: str,
    time_left_ms: int,
    block_count: int,
) -> None:
    request = choice.Request(1600, version, time_left_ms)
    chosen = choice.choose(
        probed,
        request,
        EQUAL_WEIGHTS,
        _constant_time(50),
        stored_blocks=block_count,
    )
    by_name = {id(entry.member): entry.reply for entry in probed}
    for option in chosen.options:
        reply = by_name[id(option.member)]
        assert reply is not None
        assert not reply.leaving
        assert version in ("", reply.version)
        assert not time_left_ms or reply.wait_ms < time_left_ms
    costs = [option.cost for option in chosen.options]
    assert costs == sorted(costs)
    assert bool(chosen.options) == (chosen.refusal is None)
    if chosen.refusal:
        assert chosen.refusal.verdict is verdict.Verdict.NOT_RUN


def test_choose_prefers_resident_prefix_until_its_queue_is_longer() -> None:
    warm = _make_candidate(
        "warm", resident_blocks=90, prefill_ms=40, wait_ms=200
    )
    cold = _make_candidate("cold")
    chosen = choice.choose([warm, cold], REQUEST, EQUAL_WEIGHTS)
    assert chosen.options[0].member.name == "warm"
    busy = _make_candidate(
        "warm", resident_blocks=90, prefill_ms=40, wait_ms=2000
    )
    chosen = choice.choose([busy, cold], REQUEST, EQUAL_WEIGHTS)
    assert chosen.options[0].member.name == "cold"


def test_choose_imports_only_when_it_pays() -> None:
    def choose(import_ms: float) -> choice.Option:
        return choice.choose(
            [_make_candidate("a")],
            REQUEST,
            EQUAL_WEIGHTS,
            _constant_time(import_ms),
            stored_blocks=90,
        ).options[0]

    fast = choose(50)
    assert (fast.import_blocks, round(fast.recompute_ms)) == (90, 40)
    assert choose(5000).import_blocks == 0


@pytest.mark.parametrize(
    ("weights", "expected"),
    [(choice.Weights(10, 1, 1), 0), (choice.Weights(1, 10, 1), 90)],
)
def test_choose_follows_weights_of_the_deployment(
    weights: choice.Weights, expected: int
) -> None:
    """An import of 500 ms saves 360 ms of compute, delays the first token."""
    chosen = choice.choose(
        [_make_candidate("a")],
        REQUEST,
        weights,
        _constant_time(500),
        _constant_time(500),
        stored_blocks=90,
    )
    assert chosen.options[0].import_blocks == expected


def test_choose_passes_over_missing_and_stale_replies() -> None:
    missing = choice.Candidate(rendezvous.Member("missing"), None)
    stale = attrs.evolve(_make_candidate("stale", prefill_ms=0), age_ms=10_000)
    chosen = choice.choose(
        [missing, stale, _make_candidate("ok")], REQUEST, EQUAL_WEIGHTS
    )
    assert [option.member.name for option in chosen.options] == ["ok"]
    refusal = choice.choose([missing, stale], REQUEST, EQUAL_WEIGHTS).refusal
    assert refusal is not None
    assert refusal.reason is verdict.Reason.NO_TARGET
    assert refusal.retry_after_s > 0


def test_choose_keeps_first_home_among_equals() -> None:
    chosen = choice.choose(
        [_make_candidate("b"), _make_candidate("a")], REQUEST, EQUAL_WEIGHTS
    )
    assert chosen.options[0].member.name == "b"


def test_choose_counts_link_use_of_later_exports() -> None:
    """The targets differ only in the link that new blocks are exported over."""

    def link_time(member: rendezvous.Member, blocks: int) -> float:
        return 2.0 * blocks if member.name == "far" else 0.0

    probed = [_make_candidate("far"), _make_candidate("near", wait_ms=10)]
    chosen = choice.choose(probed, REQUEST, EQUAL_WEIGHTS, link_time=link_time)
    assert chosen.options[0].member.name == "near"
    free = choice.choose(probed, REQUEST, EQUAL_WEIGHTS)
    assert free.options[0].member.name == "far"
