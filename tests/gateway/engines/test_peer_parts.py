from __future__ import annotations

from cactusstile.gateway import target_view
from cactusstile.gateway.engines import peer_parts
from cactusstile.gateway.engines import prompts
from cactusstile.sites import model
from cactusstile.transport import address

PROMPT = prompts.parse("m", "900,9", "x:200,y:500")
KEY = ("s", "y")


def engine(
    number: int, *, holds: bool = False, leaving: bool = False
) -> target_view.TargetView:
    target = model.Target(
        id=f"e-{number}",
        service="s",
        address=address.Address("127.0.0.1", number),
        data_centre="d",
        slots=8,
        leaving=leaving,
    )
    view = target_view.TargetView(target, prompts.CachedParts(10_000))
    if holds:
        view.cached.add("s", PROMPT)
    return view


def find(*views: target_view.TargetView, now_s: float = 10.0) -> str | None:
    """Returns the holder of the part for a request to the first engine."""
    return peer_parts.find_holder(views, views[0], KEY, now_s)


def test_part_is_fetched_from_engine_that_received_it() -> None:
    assert find(engine(1), engine(2), engine(3, holds=True)) == "127.0.0.1:3"


def test_part_is_not_fetched_if_chosen_engine_caches_it() -> None:
    assert find(engine(1, holds=True), engine(2, holds=True)) is None


def test_part_is_not_fetched_from_failed_engine() -> None:
    """A fetch from a dead engine delays the caller by a few hundred ms."""
    failed = engine(2, holds=True)
    failed.record_failure(10.0, eject_now=True)
    assert find(engine(1), failed, now_s=10.1) is None


def test_part_is_fetched_from_leaving_engine() -> None:
    leaving = engine(2, holds=True, leaving=True)
    assert find(engine(1), leaving) == "127.0.0.1:2"
