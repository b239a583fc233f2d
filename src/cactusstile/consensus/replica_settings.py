"""Settings of one replica."""

from __future__ import annotations

import pathlib

import attrs

from cactusstile.consensus import state as states


@attrs.frozen
class Founder:
    """A replica that takes part in founding the group.

    Attributes:
      name: Name of the replica.
      address: Address of the replica.
    """

    name: str
    address: str


@attrs.frozen
class ReplicaSettings:
    """Settings of one replica.

    Attributes:
      name: Name of this replica.
      address: Address that the others send to.
      data_folder: Folder of the durable state; one process at a time.
      founders: Replicas that found the group, the same on all of them; later
        replicas use these addresses to make themselves known.
      max_command_bytes: Bound of one command.
      max_queued_proposals: Bound of proposals that wait for their result.
      snapshot_after_bytes: Log bytes after which a snapshot is taken.
      sync_in_thread: Whether fsync runs in a worker thread.
      group_commit: Whether one fsync serves many proposals.
      core: Times and bounds of the consensus core.
    """

    name: str
    address: str
    data_folder: pathlib.Path
    founders: tuple[Founder, ...]
    max_command_bytes: int = 1 << 20
    max_queued_proposals: int = 4096
    snapshot_after_bytes: int = 16 << 20
    sync_in_thread: bool = True
    group_commit: bool = True
    core: states.CoreSettings = attrs.field(factory=states.CoreSettings)
