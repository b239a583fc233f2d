"""Ranks the stores of a prompt by rendezvous hashing, without an index."""

from __future__ import annotations

import typing

from cactusstile.routing import rendezvous
from cactusstile.routing import table

if typing.TYPE_CHECKING:
    import collections.abc

MAX_STORES = 16


class StoreTable:
    """Stores of a fleet, prepared for ranking overall and by data centre."""

    def __init__(
        self, members: collections.abc.Iterable[rendezvous.Member]
    ) -> None:
        """Builds the ranking tables of the stores `members`."""
        by_data_centre: dict[str, list[rendezvous.Member]] = {}
        all_stores = list(members)
        for member in all_stores:
            by_data_centre.setdefault(member.data_centre, []).append(member)
        self._all_stores = table.Table(all_stores)
        self._by_data_centre = {
            name: table.Table(group) for name, group in by_data_centre.items()
        }

    def first(
        self, key: bytes, data_centre: str, count: int = MAX_STORES
    ) -> list[rendezvous.Member]:
        """Returns up to `count` stores of a key, best first.

        Stores in `data_centre` precede all others.
        """
        local = self._by_data_centre.get(data_centre)
        ranked = local.first(key, count) if local else []
        for store in self._all_stores.first(key, count):
            if store.data_centre != data_centre:
                ranked.append(store)
        return ranked[:count]


def rank_stores(
    prefix_key: bytes,
    stores: StoreTable | collections.abc.Iterable[rendezvous.Member],
    engines: table.Table | collections.abc.Iterable[rendezvous.Member] = (),
) -> list[rendezvous.Member]:
    """Returns up to `MAX_STORES` stores of a prompt, best first.

    Stores in the data centre of the prompt's home target, the target chosen by
    rendezvous hashing, come first, so that most transfers avoid limited links.
    Processes with the same members compute the same ranking.

    Args:
      prefix_key: Routing key of the prompt; see `routing.prefix`.
      stores: Live stores, as a table or as members.
      engines: Targets of the prompt's deployment, live or not, as the table
        that entries use or as members.

    >>> stores = [rendezvous.Member("a", "x"), rendezvous.Member("b", "y")]
    >>> engines = [rendezvous.Member("engine", "y")]
    >>> [store.name for store in rank_stores(b"key", stores, engines)]
    ['b', 'a']
    """
    if not isinstance(stores, StoreTable):
        stores = StoreTable(stores)
    if not isinstance(engines, table.Table):
        engines = table.Table(engines)
    home_targets = engines.first(prefix_key, 1)
    return stores.first(
        prefix_key, home_targets[0].data_centre if home_targets else ""
    )
