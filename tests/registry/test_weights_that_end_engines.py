"""A version of the weights under which each engine that loads it ends."""

from __future__ import annotations

from cactusstile.registry import swap_plan
from cactusstile.sites import model
from cactusstile.transport import address

ENGINES = 9
WANTED = {"m": 2}


def engine(number: int, version: int, born_ms: int) -> model.Target:
    return model.Target(
        f"e-{number}-{born_ms}",
        "llm",
        address.Address("10.0.0.1", number + 1),
        "d",
        8,
        weights=(model.Weights("m", version),),
        born_ms=born_ms,
    )


def test_version_is_rolled_out_further_although_its_engines_end() -> None:
    engines = [engine(number, 1, 0) for number in range(ENGINES)]
    swapped = set()
    for step in range(1, ENGINES + 1):
        swaps = swap_plan.next_swaps(engines, WANTED, set(), set())
        if not swaps:
            break
        for swap in swaps:
            number = swap.target.address.port - 1
            swapped.add(number)
            # It ends under the new version, and comes back with it.
            engines[number] = engine(number, 2, step)
    assert len(swapped) < ENGINES
