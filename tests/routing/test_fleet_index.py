from __future__ import annotations

import attrs

from cactusstile.routing import fleet_index
from cactusstile.state import model
from cactusstile.store import location
from cactusstile.transport import address

KEYS = [number.to_bytes(16, "little") for number in range(100)]


def _target(
    name: str, kind: model.TargetKind, data_centre_name: str
) -> model.Target:
    serves = "" if kind is model.TargetKind.STORE else "chat"
    agent = address.Address("127.0.0.1", 1)
    return model.Target(name, kind, agent, data_centre_name, serves)


def _build_fleet() -> model.Fleet:
    engines = [
        _target(f"engine-{number}", model.TargetKind.ENGINE, f"dc{number % 3}")
        for number in range(30)
    ]
    stores = [
        _target(f"store-{number}", model.TargetKind.STORE, f"dc{number}")
        for number in range(3)
    ]
    targets = {target.name: target for target in engines + stores}
    return model.Fleet(revision=1, targets=targets)


def test_home_targets_omits_excluded_targets() -> None:
    fleet = _build_fleet()
    index = fleet_index.FleetIndex(lambda: fleet)
    for key in KEYS:
        homes = index.home_targets("chat", key)
        assert len(homes) == fleet_index.MAX_HOME_TARGETS
        remaining = index.home_targets("chat", key, excluded={homes[0].name})
        assert remaining[: len(homes) - 1] == homes[1:]
    assert index.home_targets("unknown", KEYS[0]) == []


def test_stores_ranks_data_centre_of_first_home_target_first() -> None:
    fleet = _build_fleet()
    index = fleet_index.FleetIndex(lambda: fleet)
    for key in KEYS:
        home = index.home_targets("chat", key)[0]
        stores = index.stores("chat", key)
        assert stores[0].data_centre == home.data_centre
        assert len(stores) == 3


def test_stores_have_the_same_ranking_as_on_agents() -> None:
    fleet = _build_fleet()
    spare_stores = [
        _target(f"spare-{number}", model.TargetKind.STORE, f"dc{number}")
        for number in range(3)
    ]
    added = {store.name: store for store in spare_stores}
    fleet = attrs.evolve(fleet, targets=fleet.targets | added)
    index = fleet_index.FleetIndex(lambda: fleet)
    to_member = fleet_index.to_member
    for key in KEYS:
        ranked = location.rank_stores(
            key,
            list(map(to_member, fleet.stores())),
            list(map(to_member, fleet.targets_of("chat"))),
        )
        store_names = [store.name for store in index.stores("chat", key)]
        assert store_names == [member.name for member in ranked]


def test_index_is_rebuilt_when_the_fleet_changes() -> None:
    current_fleet = [_build_fleet()]
    index = fleet_index.FleetIndex(lambda: current_fleet[0])
    removed = index.home_targets("chat", KEYS[0])[0].name
    remaining_targets = {
        name: target
        for name, target in current_fleet[0].targets.items()
        if name != removed
    }
    current_fleet[0] = attrs.evolve(
        current_fleet[0], targets=remaining_targets, revision=2
    )
    names = [home.name for home in index.home_targets("chat", KEYS[0])]
    assert removed not in names
    assert len(index.targets("chat")) == 29
