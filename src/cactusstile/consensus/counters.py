"""Counters of a replica, exported as metrics."""

from __future__ import annotations

import attrs

SYNC_BUCKETS_S = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0)


@attrs.define
class Counters:
    """Counts since the replica was opened.

    Attributes:
      snapshots_taken: Snapshots of this replica's own state that were saved.
      snapshots_installed: Snapshots received from a leader.
      syncs: Batches of writes that were made durable.
      sync_s: Total duration of these syncs, in seconds.
      syncs_by_bucket: Cumulative number of syncs that took at most each of
        `SYNC_BUCKETS_S`.
    """

    snapshots_taken: int = 0
    snapshots_installed: int = 0
    syncs: int = 0
    sync_s: float = 0.0
    syncs_by_bucket: list[int] = attrs.field(
        factory=lambda: [0] * len(SYNC_BUCKETS_S)
    )

    def record_sync(self, duration_s: float) -> None:
        """Counts one sync that took `duration_s` seconds."""
        self.syncs += 1
        self.sync_s += duration_s
        for position, bound_s in enumerate(SYNC_BUCKETS_S):
            if duration_s <= bound_s:
                self.syncs_by_bucket[position] += 1
