"""What a replica counts for metrics."""

from __future__ import annotations

import attrs

SYNC_BUCKETS_S = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0)


@attrs.define
class Counters:
    """Counts since the replica was opened.

    Attributes:
      snapshots_taken: Snapshots of the own state that were saved.
      snapshots_installed: Snapshots that were received from a leader.
      syncs: Writes made durable.
      sync_s: Their time in all, in seconds.
      syncs_by_bucket: How many took up to each of `SYNC_BUCKETS_S`.
    """

    snapshots_taken: int = 0
    snapshots_installed: int = 0
    syncs: int = 0
    sync_s: float = 0.0
    syncs_by_bucket: list[int] = attrs.field(
        factory=lambda: [0] * len(SYNC_BUCKETS_S)
    )

    def add_sync(self, spent_s: float) -> None:
        """Counts one durable write that took `spent_s` seconds."""
        self.syncs += 1
        self.sync_s += spent_s
        for position, limit_s in enumerate(SYNC_BUCKETS_S):
            if spent_s <= limit_s:
                self.syncs_by_bucket[position] += 1
