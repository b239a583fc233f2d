from __future__ import annotations

import typing

from tests.soak import faults
from tests.soak import plans
from tests.soak import process_faults

REGISTRIES = ("r-1", "r-2", "r-3")
GATEWAYS = ("g-1", "g-2")
SEEDS = range(1, 200)


def make_plan(seed: int) -> list[plans.Fault]:
    return plans.draw_plan(seed, REGISTRIES, GATEWAYS, 10.0)


def test_plan_is_determined_by_its_seed() -> None:
    assert make_plan(7) == make_plan(7)
    assert make_plan(7) != make_plan(8)


def test_only_planned_seeds_have_planned_operations_alone() -> None:
    for seed in SEEDS:
        kinds = {fault.kind for fault in make_plan(seed)}
        always = {plans.LIMIT, plans.EVACUATION}
        assert always <= kinds
        is_planned = kinds <= {*plans.PLANNED, *always}
        assert is_planned == (seed % plans.PLANNED_EVERY == 0)


def test_plan_loses_at_most_one_disk() -> None:
    for seed in SEEDS:
        lost = [fault for fault in make_plan(seed) if fault.kind == "lose_disk"]
        assert len(lost) <= 1


def test_all_kinds_are_drawn_and_implemented() -> None:
    drawn = {fault.kind for seed in SEEDS for fault in make_plan(seed)}
    known: tuple[typing.Any, ...] = (
        *plans.REGISTRY_FAULTS,
        *plans.GATEWAY_FAULTS,
        *plans.TARGET_FAULTS,
        *plans.SITE_FAULTS,
        *plans.PLANNED,
        *plans.PROCESS_FAULTS,
        "lose_disk",
        plans.LIMIT,
        plans.EVACUATION,
    )
    assert drawn == set(known)
    for kind in drawn:
        is_method = hasattr(faults.Injector, f"_{kind}")
        assert is_method != (kind in process_faults.INJECT)
