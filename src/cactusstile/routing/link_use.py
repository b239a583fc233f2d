"""Link use of a prompt's blocks, as an entry can tell it."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from cactusstile.routing import choice
    from cactusstile.routing import rendezvous
    from cactusstile.state import model

TYPICAL_BLOCK_BYTES = 2 * 1024 * 1024


def build(
    fleet: model.Fleet, store: model.Target | None, block_bytes: int = 0
) -> choice.ImportTime:
    """Returns the link time between members and a prompt's store.

    Args:
      fleet: Configuration in force.
      store: Store of the prompt; None without one.
      block_bytes: Size of a block as agents told it; 0 takes a typical one.
    """
    known_bytes = block_bytes or TYPICAL_BLOCK_BYTES

    def link_time(member: rendezvous.Member, blocks: int) -> float:
        if store is None or member.data_centre == store.data_centre:
            return 0.0
        link = fleet.link(member.data_centre, store.data_centre)
        if link is None:
            return 0.0
        size = blocks * known_bytes
        return size / link.bytes_per_s * 1000 * (1 + link.price)

    return link_time
