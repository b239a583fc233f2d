"""Driver of one replica: joins core, storage, clock and transport."""

from __future__ import annotations

import contextlib
import time
import typing

import anyio
import attrs

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
      campaigns: Elections that this replica has stood for.
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
    """One replica of a group; made by `open_replica`."""

    def __init__(
        self, settings: replica_settings.ReplicaSettings, driver: drivers.Driver
    ) -> None:
        """Takes over a driver that is about to run."""
        self.settings = settings
        self.driver = driver

    @property
    def leader(self) -> str:
        """Address of the leader; empty while none is known."""
        state = self.driver.state
        if state.leader == state.member_id:
            return self.settings.address
        return state.address_of(state.leader)

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and serves at this moment."""
        return self.driver.serves()

    async def propose(self, command: bytes) -> bytes:
        """Commits `command` and returns the result of applying it.

        Raises:
          NotLeaderError: Not proposed; names the leader if known.
          OverloadedError: Not proposed; the queue is full.
          TooLargeError: Not proposed; the command exceeds its bound.
          UncertainError: May be committed later.
        """
        if len(command) > self.settings.max_command_bytes:
            raise exceptions.TooLargeError(
                f"a command of {len(command)} bytes exceeds the bound of"
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
        """Waits until the state holds all that was committed before the call.

        Returns:
          The applied index; the state may be read until the next `await`.

        Raises:
          NotLeaderError: This replica does not lead, or lost its lease.
          OverloadedError: Too many reads wait.
        """
        self._check_serving()
        waiter = self.driver.start_read()
        await waiter.wait()
        return waiter.index

    async def change_membership(self, change: membership.Change) -> int:
        """Commits one membership change and returns its log index.

        Raises:
          MembershipError: Refused; another change is under way, or the
            learner does not hold all committed entries yet.
          NotLeaderError: Not proposed.
          UncertainError: May be committed later.
        """
        self._check_serving()
        waiter = self.driver.start_change(change)
        await waiter.wait()
        return waiter.index

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
        return await self._bring_in(name, is_repair=True)

    async def promote_member(self, name: str) -> int:
        """Makes the learner `name` a voter once it holds everything.

        Returns:
          The log index of the promotion, once the replica votes and has
          synced everything that is committed; at once if it does already.

        Raises:
          MembershipError: No such member, or it does not answer.
          NotLeaderError: As for `repair_member`.
          UncertainError: As for `NotLeaderError`.
        """
        return await self._bring_in(name, is_repair=False)

    async def _bring_in(self, name: str, *, is_repair: bool) -> int:
        """Takes step after step until `name` votes and holds everything.

        A refusal says that nothing was changed, so none is given after the
        first step; the caller's time limit bounds the wait.
        """
        changed = False
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
                    changed = True
                    continue
            except exceptions.MembershipError:
                if not changed:
                    raise
            await anyio.sleep(POLL_INTERVAL_S)

    async def transfer_leadership(self) -> bool:
        """Hands leadership to the most advanced voter.

        Returns:
          Whether another replica took over in time.

        Raises:
          NotLeaderError: This replica does not lead.
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

    def receive(self, sender: str, message: messages.Message) -> None:
        """Handles a message that arrived from the address `sender`."""
        self.driver.receive(sender, message)

    def status(self) -> ReplicaStatus:
        """Returns the present state."""
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

    def counters(self) -> counters.Counters:
        """Returns what was counted since the replica was opened."""
        return self.driver.writer.counters

    def _check_serving(self) -> None:
        """Refuses work unless this replica leads."""
        if not self.driver.serves():
            leader = leadership.leader_hint(self.driver.state)
            raise exceptions.NotLeaderError(leader)


def boot_clock() -> float:
    """Returns seconds since boot, counting suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@contextlib.asynccontextmanager
async def open_replica(
    settings: replica_settings.ReplicaSettings,
    machine: interfaces.StateMachine,
    send: interfaces.Send,
    *,
    clock: interfaces.Clock = boot_clock,
    files: file_access.Files | None = None,
) -> collections.abc.AsyncIterator[Replica]:
    """Runs a replica until the context ends.

    Args:
      settings: Settings of the replica.
      machine: State that the committed commands are applied to.
      send: Sends a message to an address; must not block and may drop.
      clock: Returns monotonic seconds.
      files: Access to the data folder; that of the operating system if None.

    Raises:
      CorruptStorageError: The data folder is damaged.
      FolderLockedError: Another process uses the data folder.
      StorageError: Durable state could not be written; also raised through
        the context, in a group, while the replica runs.
    """
    with contextlib.ExitStack() as stack:
        file_access.lock_folder(settings.data_folder, stack)
        if files is None:
            files = file_access.LocalFiles(settings.data_folder)
        opened = stores.open_store(files, settings.name)
        stack.callback(opened[0].close)
        driver = drivers.make_driver(settings, machine, send, clock, opened)
        stack.callback(driver.stop)
        async with anyio.create_task_group() as group:
            group.start_soon(driver.run_ticks)
            group.start_soon(driver.run_writes)
            group.start_soon(driver.run_hellos)
            yield Replica(settings, driver)
            group.cancel_scope.cancel()
