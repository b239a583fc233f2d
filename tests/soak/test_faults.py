from __future__ import annotations

import typing

from tests.soak import faults

REGISTRIES = ("r-1", "r-2", "r-3")
GATEWAYS = ("g-1", "g-2")
SEEDS = range(1, 200)


def make_plan(seed: int) -> list[faults.Fault]:
    return faults.draw_plan(seed, REGISTRIES, GATEWAYS, 10.0)


def test_plan_is_determined_by_its_seed() -> None:
    assert make_plan(7) == make_plan(7)
    assert make_plan(7) != make_plan(8)


def test_only_planned_seeds_have_planned_operations_alone() -> None:
    for seed in SEEDS:
        kinds = {fault.kind for fault in make_plan(seed)}
        always = {faults.LIMIT, faults.EVACUATION}
        assert always <= kinds
        is_planned = kinds <= {*faults.PLANNED, *always}
        assert is_planned == (seed % faults.PLANNED_EVERY == 0)


def test_plan_loses_at_most_one_disk() -> None:
    for seed in SEEDS:
        lost = [fault for fault in make_plan(seed) if fault.kind == "lose_disk"]
        assert len(lost) <= 1


def test_all_kinds_are_drawn_and_implemented() -> None:
    drawn = {fault.kind for seed in SEEDS for fault in make_plan(seed)}
    known: tuple[typing.Any, ...] = (
        *faults.REGISTRY_FAULTS,
        *faults.GATEWAY_FAULTS,
        *faults.TARGET_FAULTS,
        *faults.SITE_FAULTS,
        *faults.PLANNED,
        "lose_disk",
        faults.LIMIT,
        faults.EVACUATION,
    )
    assert drawn == set(known)
    for kind in drawn:
        assert hasattr(faults.Injector, f"_{kind}")
