"""Transfers of a prompt's blocks, as an entry can tell them.

Agents know what is already under way on a link and plan each transfer
themselves; to compare engines, the bandwidth will do.
"""

from __future__ import annotations

import typing

import attrs

from cactusstile.store import transfer

if typing.TYPE_CHECKING:
    from cactusstile.routing import rendezvous
    from cactusstile.state import model

TYPICAL_BLOCK_BYTES = 2 * 1024 * 1024


@attrs.frozen
class TransferEstimator:
    """Transfers between members and the store of a prompt.

    Attributes:
      fleet: Configuration in force.
      store: Store of the prompt; None without one.
      block_bytes: Size of a block.
    """

    fleet: model.Fleet
    store: model.Target | None
    block_bytes: float = TYPICAL_BLOCK_BYTES

    def import_ms(self, member: rendezvous.Member, blocks: int) -> float:
        """Returns the time of an import; infinite without a store."""
        if self.store is None:
            return float("inf")
        link = self._link(member)
        rate = link.bytes_per_s if link else transfer.LOCAL_BYTES_PER_S
        size = blocks * self.block_bytes
        return transfer.FETCH_OVERHEAD_MS + size / rate * 1000

    def link_ms(self, member: rendezvous.Member, blocks: int) -> float:
        """Returns the occupation of a limited link, raised by its price."""
        link = self._link(member)
        if link is None:
            return 0.0
        size = blocks * self.block_bytes
        return size / link.bytes_per_s * 1000 * (1 + link.price)

    def _link(self, member: rendezvous.Member) -> model.Link | None:
        if self.store is None or member.data_centre == self.store.data_centre:
            return None
        return self.fleet.link(member.data_centre, self.store.data_centre)
