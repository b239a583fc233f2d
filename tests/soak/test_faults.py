from __future__ import annotations

import typing

from tests.soak import faults

REGISTRIES = ("r-1", "r-2", "r-3")
GATEWAYS = ("g-1", "g-2")
SEEDS = range(1, 200)


def draw(seed: int) -> list[faults.Fault]:
    return faults.draw_plan(seed, REGISTRIES, GATEWAYS, 10.0)


def test_plan_follows_from_its_seed() -> None:
    assert draw(7) == draw(7)
    assert draw(7) != draw(8)


def test_plan_of_planned_work_holds_nothing_else() -> None:
    for seed in SEEDS:
        kinds = {one.kind for one in draw(seed)}
        alone = kinds <= set(faults.PLANNED)
        assert alone == (seed % faults.PLANNED_EVERY == 0)


def test_one_disk_is_lost_at_most() -> None:
    for seed in SEEDS:
        lost = [one for one in draw(seed) if one.kind == "lose_disk"]
        assert len(lost) <= 1


def test_all_kinds_are_drawn_and_known() -> None:
    drawn = {one.kind for seed in SEEDS for one in draw(seed)}
    known: tuple[typing.Any, ...] = (
        *faults.REGISTRY_FAULTS,
        *faults.GATEWAY_FAULTS,
        *faults.TARGET_FAULTS,
        *faults.SITE_FAULTS,
        *faults.PLANNED,
        "lose_disk",
    )
    assert drawn == set(known)
    for kind in drawn:
        assert hasattr(faults.Injector, f"_{kind}")
