"""Settings of one replica."""

from __future__ import annotations

import pathlib

import attrs

from cactusstile.consensus import state as states


@attrs.frozen
class Founder:
    """An initial member of the group.

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
      address: Address that other replicas send messages to.
      data_folder: Folder of the durable state; used by one process at a time.
      founders: Initial members of the group, the same list on all of them;
        replicas that join later announce themselves to these addresses.
      max_command_bytes: Maximum size of one command.
      max_queued_proposals: Maximum number of proposals that wait for their
        result.
      snapshot_after_bytes: Size of applied log data after which a snapshot is
        taken.
      sync_in_thread: Whether fsync runs in a worker thread.
      group_commit: Whether one fsync covers many proposals.
      core: Times and limits of the consensus core.
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

    def founder_addresses(self) -> list[str]:
        """Returns the addresses of the other founders."""
        addresses = []
        for founder in self.founders:
            if founder.name != self.name:
                addresses.append(founder.address)
        return addresses
