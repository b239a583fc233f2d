"""Public interface of one replica: proposals, reads and membership."""

from __future__ import annotations

import contextlib
import typing

import anyio
import attrs

from cactusstile import clocks
from cactusstile.consensus import counters
from cactusstile.consensus import driver as drivers
from cactusstile.consensus import exceptions
from cactusstile.consensus import interfaces
from cactusstile.consensus import leadership
from cactusstile.consensus import membership
from cactusstile.consensus import messages
from cactusstile.consensus import repair
from cactusstile.consensus import replica_settings
from cactusstile.consensus import waiters
from cactusstile.consensus.storage import files as file_access
from cactusstile.consensus.storage import store as stores

if typing.TYPE_CHECKING:
    import collections.abc

POLL_INTERVAL_S = 0.02
RETRY_AFTER_S = 0.2


@attrs.frozen
class MemberStatus:
    """Status of a member, as seen by one replica.

    Attributes:
      member: The member.
      synced_index: Last log index that the member has synced, as reported to
        the leader; 0 on other replicas, except for their own entry.
      active: Whether the member answered the leader within the last election
        timeout.
    """

    member: membership.Member
    synced_index: int
    active: bool


@attrs.frozen
class ReplicaStatus:
    """Status of a replica, for dumps and operators.

    Attributes:
      member_id: Identity of this replica.
      group: Identity of the group; empty before it joined one.
      role: "leader", "candidate", "follower" or "joining".
      term: Current term.
      leader_address: Address of the leader; empty if unknown.
      commit_index: Last log index known to be committed.
      applied_index: Last log index that the state machine has applied.
      last_index: Last index of the log.
      snapshot_index: Last log index that the snapshot covers.
      members: All members as of the last configuration in the log.
      joining: Replicas that announced themselves but are not members.
      campaigns: Number of elections that this replica has started.
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
    campaigns: int = 0


class Replica:
    """One replica of a group; created by `open_replica`."""

    def __init__(
        self, settings: replica_settings.ReplicaSettings, driver: drivers.Driver
    ) -> None:
        """Wraps a driver that has been started."""
        self.settings = settings
        self.driver = driver

    @property
    def leader(self) -> str:
        """Address of the leader; empty if unknown."""
        state = self.driver.state
        if state.leader == state.member_id:
            return self.settings.address
        return state.address_of(state.leader)

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader and serves at present."""
        return self.driver.serves()

    async def propose(self, command: bytes) -> bytes:
        """Commits `command` and returns the result of applying it.

        Raises:
          NotLeaderError: Not proposed; carries the leader's address if known.
          OverloadedError: Not proposed; the queue is full.
          TooLargeError: Not proposed; the command exceeds its size limit.
          UncertainError: May be committed or not.
        """
        if len(command) > self.settings.max_command_bytes:
            raise exceptions.TooLargeError(
                f"a command of {len(command)} bytes exceeds the limit of"
                f" {self.settings.max_command_bytes}; split it"
            )
        self._check_serving()
        waiting = self.driver.waiters
        if waiting.count() >= self.settings.max_queued_proposals:
            raise exceptions.OverloadedError(
                "too many proposals wait; retry later", RETRY_AFTER_S
            )
        waiter = waiters.Waiter(command)
        self.driver.enqueue(waiter)
        await waiter.wait()
        return waiter.result

    async def read_barrier(self) -> int:
        """Waits until all entries committed before the call are applied.

        Returns:
          The applied index; the state may be read until the next `await`.

        Raises:
          NotLeaderError: This replica is not the leader or lost its lease.
          OverloadedError: Too many reads are pending.
        """
        self._check_serving()
        waiter = self.driver.start_read()
        await waiter.wait()
        return waiter.index

    async def change_membership(self, change: membership.Change) -> int:
        """Commits one membership change and returns its log index.

        Raises:
          MembershipError: Refused; for example, another change is in progress
            or the learner does not hold all committed entries yet.
          NotLeaderError: Not proposed.
          UncertainError: May be committed or not.
        """
        self._check_serving()
        waiter = self.driver.start_change(change)
        await waiter.wait()
        return waiter.index

    async def repair_member(self, name: str) -> int:
        """Replaces the lost incarnation of `name` by the one that is joining.

        Returns:
          The log index of the promotion, once the new incarnation is a voter
          and has synced all committed entries.

        Raises:
          MembershipError: No replica of this name has announced itself, or
            the first change was refused.
          NotLeaderError: Not proposed, or leadership moved meanwhile; retry on
            the new leader to continue.
          UncertainError: As for `NotLeaderError`.
        """
        return await self._bring_to_voter(name, is_repair=True)

    async def promote_member(self, name: str) -> int:
        """Makes the learner `name` a voter once it holds all committed entries.

        Returns:
          The log index of the promotion, once the replica is a voter and has
          synced all committed entries; immediate if that is the case already.

        Raises:
          MembershipError: There is no such member, or it does not answer.
          NotLeaderError: As for `repair_member`.
          UncertainError: As for `NotLeaderError`.
        """
        return await self._bring_to_voter(name, is_repair=False)

    async def _bring_to_voter(self, name: str, *, is_repair: bool) -> int:
        """Makes membership changes until `name` is a voter and caught up.

        `MembershipError` means that nothing was changed, so it is not raised
        after the first change; later steps are retried, and the caller's
        timeout bounds the wait.
        """
        has_changed = False
        while True:
            self._check_serving()
            driver = self.driver
            joining = driver.joining() if is_repair else ()
            try:
                step = repair.next_step(driver.state, name, joining)
                if isinstance(step, repair.Done):
                    return step.index
                if not isinstance(step, repair.Wait):
                    await self.change_membership(step)
                    has_changed = True
                    continue
            except exceptions.MembershipError:
                if not has_changed:
                    raise
            await anyio.sleep(POLL_INTERVAL_S)

    async def transfer_leadership(self) -> bool:
        """Transfers leadership to the most up-to-date voter.

        Returns:
          Whether another replica became leader within two election timeouts.

        Raises:
          NotLeaderError: This replica is not the leader.
          MembershipError: No other voter answers.
        """
        self._check_serving()
        self.driver.start_transfer()
        state = self.driver.state
        polls = 2 * self.settings.core.election_timeout_s / POLL_INTERVAL_S
        for _ in range(round(polls)):
            if state.leader not in ("", state.member_id):
                return True
            await anyio.sleep(POLL_INTERVAL_S)
        return False

    def announce_to(self, addresses: collections.abc.Iterable[str]) -> None:
        """Announces a replica without a group to the founders and these."""
        known = dict.fromkeys(self.settings.founder_addresses())
        known.update(dict.fromkeys(addresses))
        known.pop(self.settings.address, None)
        self.driver.hello_addresses = list(known)

    def receive(self, sender: str, message: messages.Message) -> None:
        """Handles a message that arrived from the address `sender`."""
        try:
            self.driver.receive(sender, message)
        except Exception as error:
            # Whoever serves the connection contains faults.
            self.driver.writer.fail(error)
            raise

    def status(self) -> ReplicaStatus:
        """Returns the current status."""
        state = self.driver.state
        members = []
        for member in state.configuration.members:
            progress = None
            if state.leading is not None:
                progress = state.leading.progress.get(member.id)
            synced_index = progress.match_index if progress else 0
            if member.id == state.member_id:
                synced_index = state.synced_index
            active = leadership.is_active(state, member.id)
            members.append(MemberStatus(member, synced_index, active))
        return ReplicaStatus(
            member_id=state.member_id,
            group=state.group,
            role=state.role.value if state.group else "joining",
            term=state.term,
            leader_address=self.leader,
            commit_index=state.commit_index,
            applied_index=self.driver.applied_index,
            last_index=state.log.last_index,
            snapshot_index=state.snapshot_index,
            members=tuple(members),
            joining=tuple(self.driver.joining()),
            campaigns=state.campaigns,
        )

    def is_member(self, member_id: str) -> bool:
        """Returns whether a replica is a member or may be one.

        A change that is not committed may be undone by the next leader.
        """
        state = self.driver.state
        committed = state.configuration_at(state.commit_index)
        for configuration in (state.configuration, committed):
            if configuration.find(member_id) is not None:
                return True
        return False

    def counters(self) -> counters.Counters:
        """Returns the counters since the replica was opened."""
        return self.driver.writer.counters

    def _check_serving(self) -> None:
        """Raises `NotLeaderError` unless this replica serves as leader."""
        if not self.driver.serves():
            leader = leadership.leader_hint(self.driver.state)
            raise exceptions.NotLeaderError(leader)


@contextlib.asynccontextmanager
async def open_replica(
    settings: replica_settings.ReplicaSettings,
    state_machine: interfaces.StateMachine,
    send: interfaces.Send,
    *,
    clock: interfaces.Clock = clocks.boot_s,
    files: file_access.Files | None = None,
) -> collections.abc.AsyncIterator[Replica]:
    """Runs a replica until the context ends.

    Args:
      settings: Settings of the replica.
      state_machine: State that committed commands are applied to.
      send: Sends a message to an address; must not block, may drop messages.
      clock: Returns monotonic seconds.
      files: Access to the data folder; `LocalFiles` if None.

    Raises:
      CorruptStorageError: The data folder is damaged.
      FolderLockedError: Another process is using the data folder.
      StorageUnavailableError: Durable state could not be read or written; also
        raised from the context, in an exception group, while the replica runs.
      StorageError: The data folder belongs to another replica.
    """
    with contextlib.ExitStack() as stack:
        opened = _open_store(settings, stack, files)
        driver = drivers.make_driver(
            settings, state_machine, send, clock, opened
        )
        stack.callback(driver.stop)
        async with anyio.create_task_group() as group:
            group.start_soon(driver.run_ticks)
            group.start_soon(driver.run_writes)
            group.start_soon(driver.run_hellos)
            yield Replica(settings, driver)
            group.cancel_scope.cancel()


def check_storage(settings: replica_settings.ReplicaSettings) -> None:
    """Opens the data folder and closes it again; blocks for its disk.

    Raises:
      StorageError: As `open_replica`.
    """
    with contextlib.ExitStack() as stack:
        _open_store(settings, stack, None)


def _open_store(
    settings: replica_settings.ReplicaSettings,
    stack: contextlib.ExitStack,
    files: file_access.Files | None,
) -> drivers.OpenedStore:
    """Locks and opens the data folder until `stack` closes."""
    file_access.lock_folder(settings.data_folder, stack)
    if files is None:
        files = file_access.open_folder(settings.data_folder, stack)
    opened = stores.open_store(files, settings.name)
    stack.callback(opened[0].close)
    return opened
