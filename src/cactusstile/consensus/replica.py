"""Driver of one replica: joins core, storage, clock and transport."""

from __future__ import annotations

import contextlib
import pathlib
import time
import typing

import attrs

from cactusstile.consensus import membership
from cactusstile.consensus import messages

if typing.TYPE_CHECKING:
    import collections.abc

Send = typing.Callable[[str, messages.Message], None]
Clock = typing.Callable[[], float]


class StateMachine(typing.Protocol):
    """The replicated state; called from the loop, never at the same time."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command and returns its result.

        Must depend on nothing but the state and the arguments.
        """

    def snapshot(self) -> bytes:
        """Returns the whole state."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot; empty data resets it."""


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


@attrs.frozen
class MemberStatus:
    """What a replica knows of a member.

    Attributes:
      member: The member.
      synced_index: Last index that it has synced, as the leader knows; 0 on
        other replicas.
      active: Whether the leader heard from it within an election timeout.
    """

    member: membership.Member
    synced_index: int
    active: bool


@attrs.frozen
class ReplicaStatus:
    """State of a replica for dumps and operators.

    Attributes:
      member_id: Identity of this replica.
      group: Identity of the group; empty before it joined one.
      role: "leader", "candidate", "follower" or "joining".
      term: Present term.
      leader_address: Address of the leader; empty while none is known.
      commit_index: Last index that is known to be committed.
      applied_index: Last index that the state machine has applied.
      last_index: Last index of the log.
      snapshot_index: Last index that the snapshot covers.
      members: All members as of the last configuration in the log.
      joining: Replicas that made themselves known but are not members.
    """

    member_id: str
    group: str
    role: str
    term: int
    leader_address: str
    commit_index: int
    applied_index: int
    last_index: int
    snapshot_index: int
    members: tuple[MemberStatus, ...]
    joining: tuple[messages.Hello, ...]


class Replica:
    """One replica of a group; made by `open_replica`."""

    @property
    def leader(self) -> str:
        """Address of the leader; empty while none is known."""
        raise NotImplementedError

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and its lease holds."""
        raise NotImplementedError

    async def propose(self, command: bytes) -> bytes:
        """Commits `command` and returns the result of applying it.

        Raises:
          NotLeaderError: Not proposed; names the leader if known.
          OverloadedError: Not proposed; the queue is full.
          TooLargeError: Not proposed; the command exceeds its bound.
          UncertainError: May be committed later.
        """
        raise NotImplementedError

    async def read_barrier(self) -> int:
        """Waits until the state holds all that was committed before the call.

        Returns:
          The applied index; the state may be read until the next `await`.

        Raises:
          NotLeaderError: This replica does not lead, or lost its lease.
          OverloadedError: Too many reads wait.
        """
        raise NotImplementedError

    async def change_membership(self, change: membership.Change) -> int:
        """Commits one membership change and returns its log index.

        Raises:
          MembershipError: Refused; another change is under way, or the
            learner does not hold all committed entries yet.
          NotLeaderError: Not proposed.
          UncertainError: May be committed later.
        """
        raise NotImplementedError

    async def repair_member(self, name: str) -> int:
        """Replaces the lost incarnation of `name` by the one that joins.

        Returns:
          The log index of the promotion, once the new incarnation is a voter
          and has synced everything that is committed.

        Raises:
          MembershipError: No such replica has made itself known.
          NotLeaderError: Not proposed, or leadership moved meanwhile; call it
            again on the new leader to go on.
          UncertainError: As for `NotLeaderError`.
        """
        raise NotImplementedError

    async def transfer_leadership(self) -> bool:
        """Hands leadership to the most advanced voter.

        Returns:
          Whether another replica took over in time.
        """
        raise NotImplementedError

    def receive(self, sender: str, message: messages.Message) -> None:
        """Handles a message that arrived from the address `sender`."""
        raise NotImplementedError

    def status(self) -> ReplicaStatus:
        """Returns the present state."""
        raise NotImplementedError


def boot_clock() -> float:
    """Returns seconds since boot, counting suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@contextlib.asynccontextmanager
async def open_replica(
    settings: ReplicaSettings,
    machine: StateMachine,
    send: Send,
    *,
    clock: Clock = boot_clock,
) -> collections.abc.AsyncIterator[Replica]:
    """Runs a replica until the context ends.

    Args:
      settings: Settings of the replica.
      machine: State that the committed commands are applied to.
      send: Sends a message to an address; must not block and may drop.
      clock: Returns monotonic seconds.

    Raises:
      CorruptStorageError: The data folder is damaged.
      FolderLockedError: Another process uses the data folder.
      StorageError: Durable state could not be written; also raised through
        the context while the replica runs.
    """
    raise NotImplementedError(settings, machine, send, clock)
    yield Replica()
