from __future__ import annotations

import attrs
import hypothesis
from hypothesis import strategies

from cactusstile.limits import token_bucket
from cactusstile.routing import choice
from cactusstile.state import model
from cactusstile.store import transfer

EQUAL_WEIGHTS = choice.Weights()
CANDIDATE = transfer.FetchCandidate(
    blocks=50, total_bytes=1_000_000, recompute_ms=400
)


def _link(bytes_per_s: float) -> token_bucket.TokenBucket:
    return token_bucket.TokenBucket(
        bytes_per_s, lambda: 0.0, burst_bytes=1_000_000
    )


def test_fetch_within_data_centre_is_worthwhile() -> None:
    assert transfer.plan_fetch(CANDIDATE, EQUAL_WEIGHTS).blocks == 50


def test_no_fetch_over_a_busy_link() -> None:
    link = _link(10_000_000)
    assert transfer.plan_fetch(CANDIDATE, EQUAL_WEIGHTS, link).blocks == 50
    while link.try_take(1_000_000, max_delay_s=1.0):
        continue
    assert transfer.plan_fetch(CANDIDATE, EQUAL_WEIGHTS, link).blocks == 0


def test_fetch_is_worthwhile_while_the_run_waits() -> None:
    link = _link(1_000_000)
    weights = choice.Weights(first_token=10, recompute=1, link=0.5)
    assert transfer.plan_fetch(CANDIDATE, weights, link).blocks == 0
    waiting = attrs.evolve(CANDIDATE, wait_ms=1000)
    assert transfer.plan_fetch(waiting, weights, link).blocks == 50


def test_weights_decide_between_fetch_and_recompute() -> None:
    """A transfer of 450 ms saves 400 ms of prompt computation."""
    link = _link(2_240_000)
    first_token = choice.Weights(first_token=4, recompute=1, link=0.5)
    recompute = choice.Weights(first_token=1, recompute=4, link=0.5)
    assert transfer.plan_fetch(CANDIDATE, first_token, link).blocks == 0
    assert transfer.plan_fetch(CANDIDATE, recompute, link).blocks == 50


@hypothesis.given(
    strategies.floats(0, 1),
    strategies.floats(1e5, 1e9),
    strategies.floats(0, 1),
)
def test_export_decision_is_monotone_in_return_probability(
    low: float, bytes_per_s: float, increase: float
) -> None:
    link = _link(bytes_per_s)
    high = min(1.0, low + increase)
    if transfer.is_export_worthwhile(CANDIDATE, low, EQUAL_WEIGHTS, link):
        assert transfer.is_export_worthwhile(
            CANDIDATE, high, EQUAL_WEIGHTS, link
        )
    assert not transfer.is_export_worthwhile(
        CANDIDATE, 0.0, EQUAL_WEIGHTS, link
    )


def test_link_budgets_follow_the_configuration() -> None:
    links = transfer.Links(lambda: 0.0)
    link = model.Link(("ikeja", "lekki"), 1000.0, 2.0)
    fleet = model.Fleet(links={link.data_centres: link})
    assert links.between(fleet, "lekki", "lekki") is None
    assert links.between(fleet, "lekki", "yaba") is None
    budget = links.between(fleet, "lekki", "ikeja", sharers=2)
    assert budget is not None
    assert (budget.bytes_per_s, budget.price_per_gb) == (500.0, 2.0)
    faster = attrs.evolve(link, bytes_per_s=4000.0)
    fleet = model.Fleet(links={link.data_centres: faster})
    assert links.between(fleet, "ikeja", "lekki") is budget
    assert budget.bytes_per_s == 4000.0
