from __future__ import annotations

import typing

from cactusstile.registry import swap_plan
from cactusstile.registry import weights
from cactusstile.sites import model
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    from cactusstile.consensus import replica
    from cactusstile.platform import client as clients


def engine(number: int, version: int, **rest: typing.Any) -> model.Target:
    return model.Target(
        id=f"e-{number}",
        service="s",
        address=address.Address("127.0.0.1", 1000 + number),
        data_centre="d",
        slots=8,
        weights=(model.Weights("m", version),),
        **rest,
    )


def ids(swaps: list[swap_plan.Swap]) -> list[str]:
    return [swap.target.id for swap in swaps]


def test_only_a_fraction_of_the_engines_swaps_at_once() -> None:
    engines = [engine(number, 1) for number in range(9)]
    swaps = swap_plan.next_swaps(engines, {"m": 2}, set(), set())
    assert ids(swaps) == ["e-0", "e-1", "e-2", "e-3"]
    in_progress = {swap.target.incarnation for swap in swaps}
    assert swap_plan.next_swaps(engines, {"m": 2}, set(), in_progress) == []


def test_long_streams_do_not_keep_engines_on_older_weights() -> None:
    """Checks that all rounds of draining and loading end before the limit.

    A drain that waits for the last stream would leave engines on older weights
    for too long.
    """
    for engines in (1, 2, 5, 9, 21, 27):
        for rollout_limit_s in (6.0, 8.0, 10.0):
            places = max(1, round(swap_plan.CONCURRENT_SWAP_FRACTION * engines))
            rounds = -(-engines // places)
            took_s = rounds * (
                swap_plan.drain_timeout_s(engines, rollout_limit_s) + 0.8
            )
            assert took_s <= 0.8 * rollout_limit_s


def test_engines_that_were_seen_to_end_are_left_alone() -> None:
    engines = [engine(number, 1) for number in range(3)]
    completed = {(engines[0].incarnation, "m", 2)}
    swaps = swap_plan.next_swaps(engines, {"m": 2}, completed, set())
    assert ids(swaps) == ["e-1", "e-2"]
    # A newer version requires another swap, after those further behind.
    swaps = swap_plan.next_swaps(engines, {"m": 3}, completed, set())
    assert ids(swaps) == ["e-1", "e-2"]
    completed |= {(swap.target.incarnation, "m", 3) for swap in swaps}
    swaps = swap_plan.next_swaps(engines, {"m": 3}, completed, set())
    assert ids(swaps) == ["e-0"]


def test_swap_progress_is_shown_before_the_list_shows_it() -> None:
    engines = (engine(0, 1), engine(1, 1), engine(2, 1))
    controller = weights.WeightsController(
        typing.cast("clients.Client", None),
        typing.cast("replica.Replica", None),
        lambda: engines,
        dict,
        on_change=lambda: None,
        rollout_limit_s=8.0,
    )
    controller.draining.add(engines[0].incarnation)
    controller.completed.add((engines[1].incarnation, "m", 2))
    seen = controller.with_swap_progress(engines)
    assert [target.swapping for target in seen] == [True, False, False]
    assert [target.weights[0].version for target in seen] == [1, 2, 1]


def test_leaving_engines_and_those_without_the_model_are_not_swapped() -> None:
    engines = [engine(1, 1, leaving=True), engine(2, 2)]
    assert swap_plan.next_swaps(engines, {"m": 2, "x": 9}, set(), set()) == []


def test_engine_furthest_behind_is_swapped_first() -> None:
    engines = [engine(number, 2) for number in range(4)] + [engine(4, 1)]
    swaps = swap_plan.next_swaps(engines, {"m": 3}, set(), set())
    assert ids(swaps)[0] == "e-4"
    # The list does not show yet that the first engine holds version 2.
    engines = [engine(0, 1), engine(1, 1), engine(2, 1)]
    completed = {(engines[0].incarnation, "m", 2)}
    swaps = swap_plan.next_swaps(engines, {"m": 3}, completed, set())
    assert ids(swaps) == ["e-1", "e-2"]
