"""Ranks the targets and stores of the fleet in force for a prompt.

The ranking tables are built once per fleet.
"""

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

MAX_HOME_TARGETS = 16
_NO_TARGETS = table.Table([])


@attrs.frozen
class _Group:
    """Targets of one deployment or service."""

    targets: dict[str, model.Target]
    ranking: table.Table


class FleetIndex:
    """Finds the home targets and stores of a prompt.

    Processes with the same fleet compute the same result.
    """

    def __init__(
        self, find_fleet: collections.abc.Callable[[], model.Fleet]
    ) -> None:
        """Indexes the fleet that `find_fleet` returns, rebuilt on change."""
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

    def home_targets(
        self,
        serves: str,
        key: bytes,
        excluded: collections.abc.Collection[str] = (),
        count: int = MAX_HOME_TARGETS,
    ) -> list[model.Target]:
        """Returns the home targets of a key in rank order.

        Args:
          serves: Deployment or service.
          key: Key of the prompt, see `prefix.prefix_key`.
          excluded: Names of targets to omit.
          count: Maximum number of targets to return.
        """
        self._refresh()
        group = self._groups.get(serves)
        if group is None:
            return []
        ranked = group.ranking.first(key, count + len(excluded))
        names = [home.name for home in ranked if home.name not in excluded]
        return [group.targets[name] for name in names[:count]]

    def confined_home_targets(
        self,
        serves: str,
        workspace: str,
        key: bytes,
        excluded: collections.abc.Collection[str] = (),
    ) -> list[model.Target]:
        """Returns home targets among those that a confined workspace may use.

        All processes select the same targets for a workspace. Excluded targets
        are replaced by the next ones in rank order.

        Args:
          serves: Deployment.
          workspace: Confined workspace, see `limits.confinement`.
          key: Key of the prompt.
          excluded: Names of targets to omit.
        """
        count = confinement.confined_count(len(self.targets(serves)))
        allowed = self.home_targets(serves, workspace.encode(), excluded, count)
        by_name = {target.name: target for target in allowed}
        ranked = rendezvous.rank(key, map(to_member, allowed))
        return [by_name[member.name] for member in ranked]

    def stores(self, serves: str, key: bytes) -> list[model.Target]:
        """Returns the stores of a prompt in rank order.

        Stores in the data centre of the prompt's first home target rank
        highest, so that most transfers use no limited link.
        """
        self._refresh()
        group = self._groups.get(serves)
        homes = group.ranking if group else ()
        ranked = location.rank_stores(key, self._ranked_stores, homes)
        return [self._stores[store.name] for store in ranked]

    def _refresh(self) -> None:
        fleet = self._find_fleet()
        if fleet is self._fleet:
            return
        by_served_name: dict[str, list[model.Target]] = {}
        for target in fleet.targets.values():
            if target.kind is not model.TargetKind.STORE:
                by_served_name.setdefault(target.serves, []).append(target)
        self._groups = {
            serves: _build_group(targets)
            for serves, targets in by_served_name.items()
        }
        self._stores = {store.name: store for store in fleet.stores()}
        self._ranked_stores = location.StoreTable(
            map(to_member, self._stores.values())
        )
        self._fleet = fleet


def to_member(target: model.Target) -> rendezvous.Member:
    """Returns the rendezvous member of a target."""
    return rendezvous.Member(target.name, target.data_centre)


def _build_group(targets: collections.abc.Sequence[model.Target]) -> _Group:
    by_name = {target.name: target for target in targets}
    return _Group(by_name, table.Table(map(to_member, targets)))
