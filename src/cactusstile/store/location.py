"""Where a prompt's blocks are kept: computed, with no index of prompts."""

from __future__ import annotations

import typing

from cactusstile.routing import rendezvous
from cactusstile.routing import table

if typing.TYPE_CHECKING:
    import collections.abc

MAX_STORES = 16


class StoreTable:
    """Stores of a fleet, arranged for ranking as a whole and by data centre."""

    def __init__(
        self, members: collections.abc.Iterable[rendezvous.Member]
    ) -> None:
        """Arranges `members`."""
        by_data_centre: dict[str, list[rendezvous.Member]] = {}
        everywhere = list(members)
        for member in everywhere:
            by_data_centre.setdefault(member.data_centre, []).append(member)
        self._everywhere = table.Table(everywhere)
        self._by_data_centre = {
            name: table.Table(group) for name, group in by_data_centre.items()
        }

    def first(
        self, key: bytes, data_centre: str, count: int = MAX_STORES
    ) -> list[rendezvous.Member]:
        """Returns the first stores of a key, those of a data centre first."""
        near = self._by_data_centre.get(data_centre)
        ranked = near.first(key, count) if near else []
        for store in self._everywhere.first(key, count):
            if store.data_centre != data_centre:
                ranked.append(store)
        return ranked[:count]


def rank_stores(
    prefix_key: bytes,
    stores: StoreTable | collections.abc.Iterable[rendezvous.Member],
    engines: table.Table | collections.abc.Iterable[rendezvous.Member] = (),
) -> list[rendezvous.Member]:
    """Returns the first stores of a prompt, best first.

    A store in the data centre of the prompt's first home goes first, so that
    most transfers use no limited link. Equal on every process that knows the
    same members.

    Args:
      prefix_key: Key of the prompt, see `routing.prefix`.
      stores: Live stores; arranged, or as a list.
      engines: Targets of the prompt's deployment, live or not; arranged as
        entries rank them, or as a list.

    >>> stores = [rendezvous.Member("a", "x"), rendezvous.Member("b", "y")]
    >>> home = [rendezvous.Member("engine", "y")]
    >>> [store.name for store in rank_stores(b"key", stores, home)]
    ['b', 'a']
    """
    if not isinstance(stores, StoreTable):
        stores = StoreTable(stores)
    if not isinstance(engines, table.Table):
        engines = table.Table(engines)
    homes = engines.first(prefix_key, 1)
    return stores.first(prefix_key, homes[0].data_centre if homes else "")
