"""Where a prompt's blocks are kept: computed, with no index."""

from __future__ import annotations

import typing

from cactusstile.routing import rendezvous
from cactusstile.routing import table

if typing.TYPE_CHECKING:
    import collections.abc


def rank_stores(
    prefix_key: bytes,
    stores: collections.abc.Sequence[rendezvous.Member],
    engines: table.Table | collections.abc.Sequence[rendezvous.Member] = (),
) -> list[rendezvous.Member]:
    """Returns the stores of a prompt, best first.

    A store in the data centre of the prompt's first home goes first, so that
    most transfers use no limited link. Equal on every process that knows the
    same members.

    Args:
      prefix_key: Key of the prompt, see `routing.prefix`.
      stores: Live stores.
      engines: Targets of the prompt's deployment, live or not; arranged as
        entries rank them, or as a list.

    >>> stores = [rendezvous.Member("a", "x"), rendezvous.Member("b", "y")]
    >>> home = [rendezvous.Member("engine", "y")]
    >>> [store.name for store in rank_stores(b"key", stores, home)]
    ['b', 'a']
    """
    ranked = rendezvous.rank(prefix_key, stores)
    if not isinstance(engines, table.Table):
        engines = table.Table(engines)
    homes = engines.first(prefix_key, 1)
    if homes:
        ranked.sort(key=lambda store: store.data_centre != homes[0].data_centre)
    return ranked
