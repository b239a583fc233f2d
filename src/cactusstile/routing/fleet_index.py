"""Homes of prompts over the fleet in force, arranged once for each fleet."""

from __future__ import annotations

import typing

import attrs

from cactusstile.limits import confinement
from cactusstile.routing import rendezvous
from cactusstile.routing import table
from cactusstile.state import model
from cactusstile.store import location

if typing.TYPE_CHECKING:
    import collections.abc

NEIGHBOURHOOD = 16
_NO_TARGETS = table.Table([])


@attrs.frozen
class _Group:
    """Targets of one deployment or service."""

    targets: dict[str, model.Target]
    homes: table.Table


class FleetIndex:
    """Finds the homes of a prompt; every process finds the same."""

    def __init__(
        self, find_fleet: collections.abc.Callable[[], model.Fleet]
    ) -> None:
        """Follows the fleet that `find_fleet` returns."""
        self._find_fleet = find_fleet
        self._fleet = model.Fleet()
        self._groups: dict[str, _Group] = {}
        self._stores: dict[str, model.Target] = {}
        self._ranked_stores = location.StoreTable([])

    def targets(self, serves: str) -> list[model.Target]:
        """Returns all targets of a deployment or service."""
        self._refresh()
        group = self._groups.get(serves)
        return list(group.targets.values()) if group else []

    def homes(
        self,
        serves: str,
        key: bytes,
        excluded: collections.abc.Collection[str] = (),
        count: int = NEIGHBOURHOOD,
    ) -> list[model.Target]:
        """Returns the first homes of a key, none of the excluded.

        Args:
          serves: Deployment or service.
          key: Key of the prompt, see `prefix.prefix_key`.
          excluded: Names of targets that are left out.
          count: Bound on the result's length.
        """
        self._refresh()
        group = self._groups.get(serves)
        if group is None:
            return []
        ranked = group.homes.first(key, count + len(excluded))
        left = [home.name for home in ranked if home.name not in excluded]
        return [group.targets[name] for name in left[:count]]

    def confined_homes(
        self,
        serves: str,
        workspace: str,
        key: bytes,
        excluded: collections.abc.Collection[str] = (),
    ) -> list[model.Target]:
        """Returns the homes of a key among those left to a storm.

        Every process leaves the same targets to a workspace. When some of
        them are excluded, the next ones take their place.

        Args:
          serves: Deployment.
          workspace: Workspace that storms.
          key: Key of the prompt.
          excluded: Names of targets that are left out.
        """
        count = confinement.confined_count(len(self.targets(serves)))
        left = self.homes(serves, workspace.encode(), excluded, count)
        by_name = {target.name: target for target in left}
        ranked = rendezvous.rank(key, map(to_member, left))
        return [by_name[member.name] for member in ranked]

    def stores(self, serves: str, key: bytes) -> list[model.Target]:
        """Returns the stores of a prompt, best first.

        Those in the data centre of the prompt's first home go first, so that
        most transfers use no limited link.
        """
        self._refresh()
        group = self._groups.get(serves)
        homes = group.homes if group else ()
        ranked = location.rank_stores(key, self._ranked_stores, homes)
        return [self._stores[store.name] for store in ranked]

    def _refresh(self) -> None:
        fleet = self._find_fleet()
        if fleet is self._fleet:
            return
        by_served: dict[str, list[model.Target]] = {}
        for target in fleet.targets.values():
            if target.kind is not model.TargetKind.STORE:
                by_served.setdefault(target.serves, []).append(target)
        self._groups = {
            serves: _arrange(targets) for serves, targets in by_served.items()
        }
        self._stores = {store.name: store for store in fleet.stores()}
        self._ranked_stores = location.StoreTable(
            map(to_member, self._stores.values())
        )
        self._fleet = fleet


def to_member(target: model.Target) -> rendezvous.Member:
    """Returns the member that stands for a target."""
    return rendezvous.Member(target.name, target.data_centre)


def _arrange(targets: collections.abc.Sequence[model.Target]) -> _Group:
    by_name = {target.name: target for target in targets}
    return _Group(by_name, table.Table(map(to_member, targets)))
