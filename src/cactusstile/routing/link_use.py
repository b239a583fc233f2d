"""Link use of a prompt's blocks, as an entry can tell it."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from cactusstile.routing import choice
    from cactusstile.routing import rendezvous
    from cactusstile.state import model

TYPICAL_BLOCK_BYTES = 2 * 1024 * 1024


def build(fleet: model.Fleet, store: model.Target | None) -> choice.ImportTime:
    """Returns the link time between members and a prompt's store.

    Agents know the true size of a block and plan each transfer themselves; to
    compare engines, a typical size will do.

    Args:
      fleet: Configuration in force.
      store: Store of the prompt; None without one.
    """

    def link_time(member: rendezvous.Member, blocks: int) -> float:
        if store is None or member.data_centre == store.data_centre:
            return 0.0
        link = fleet.link(member.data_centre, store.data_centre)
        if link is None:
            return 0.0
        size = blocks * TYPICAL_BLOCK_BYTES
        return size / link.bytes_per_s * 1000 * (1 + link.price)

    return link_time
