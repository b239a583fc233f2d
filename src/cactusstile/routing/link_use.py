"""Estimated transfer times of a prompt's blocks.

Entries use the estimates to compare engines, for which the bandwidth of a link
is precise enough. Agents plan each transfer themselves, as they have the
transfers in progress on the link.
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
    """Estimates transfers between members and the store of a prompt.

    Attributes:
      fleet: Fleet in force.
      store: Store of the prompt; None if there is none.
      block_bytes: Size of a block in bytes.
    """

    fleet: model.Fleet
    store: model.Target | None
    block_bytes: float = TYPICAL_BLOCK_BYTES

    def import_ms(self, member: rendezvous.Member, blocks: int) -> float:
        """Returns the time of an import in ms; infinite without a store."""
        if self.store is None:
            return float("inf")
        link = self._link(member)
        rate = link.bytes_per_s if link else transfer.LOCAL_BYTES_PER_S
        size_bytes = blocks * self.block_bytes
        return transfer.FETCH_OVERHEAD_MS + size_bytes / rate * 1000

    def link_ms(self, member: rendezvous.Member, blocks: int) -> float:
        """Returns the occupancy of a limited link in ms, scaled by its price.

        Returns 0 if the transfer uses no limited link.
        """
        link = self._link(member)
        if link is None:
            return 0.0
        size_bytes = blocks * self.block_bytes
        return size_bytes / link.bytes_per_s * 1000 * (1 + link.price)

    def _link(self, member: rendezvous.Member) -> model.Link | None:
        if self.store is None or member.data_centre == self.store.data_centre:
            return None
        return self.fleet.link(member.data_centre, self.store.data_centre)
