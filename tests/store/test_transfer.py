from __future__ import annotations

import attrs
import hypothesis
from hypothesis import strategies

from cactusstile.limits import token_bucket
from cactusstile.routing import choice
from cactusstile.state import model
from cactusstile.store import transfer

EVEN = choice.Weights()
NEED = transfer.FetchCandidate(
    blocks=50, total_bytes=1_000_000, recompute_ms=400
)


def _link(bytes_per_s: float) -> token_bucket.TokenBucket:
    return token_bucket.TokenBucket(
        bytes_per_s, lambda: 0.0, burst_bytes=1_000_000
    )


def test_fetch_inside_data_centre_pays() -> None:
    assert transfer.plan_fetch(NEED, EVEN).blocks == 50


def test_fetch_is_left_when_link_is_busy() -> None:
    link = _link(10_000_000)
    assert transfer.plan_fetch(NEED, EVEN, link).blocks == 50
    while link.try_take(1_000_000, max_delay_s=1.0):
        continue
    assert transfer.plan_fetch(NEED, EVEN, link).blocks == 0


def test_fetch_hides_behind_the_wait() -> None:
    link = _link(1_000_000)
    weights = choice.Weights(first_token=10, recompute=1, link=0.5)
    assert transfer.plan_fetch(NEED, weights, link).blocks == 0
    waiting = attrs.evolve(NEED, wait_ms=1000)
    assert transfer.plan_fetch(waiting, weights, link).blocks == 50


def test_sites_weights_decide() -> None:
    """A transfer of 450 ms saves 400 ms of prompt work."""
    link = _link(2_240_000)
    first_token = choice.Weights(first_token=4, recompute=1, link=0.5)
    recompute = choice.Weights(first_token=1, recompute=4, link=0.5)
    assert transfer.plan_fetch(NEED, first_token, link).blocks == 0
    assert transfer.plan_fetch(NEED, recompute, link).blocks == 50


@hypothesis.given(
    strategies.floats(0, 1),
    strategies.floats(1e5, 1e9),
    strategies.floats(0, 1),
)
def test_export_is_monotone_in_the_chance_of_return(
    low: float, rate: float, more: float
) -> None:
    link = _link(rate)
    high = min(1.0, low + more)
    if transfer.is_export_worthwhile(NEED, low, EVEN, link):
        assert transfer.is_export_worthwhile(NEED, high, EVEN, link)
    assert not transfer.is_export_worthwhile(NEED, 0.0, EVEN, link)


def test_links_follow_the_configuration() -> None:
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
