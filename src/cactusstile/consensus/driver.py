"""Executes the effects of the consensus core."""

from __future__ import annotations

import collections
import logging
import secrets
import typing

import anyio

from cactusstile.consensus import bootstrap
from cactusstile.consensus import core
from cactusstile.consensus import effects
from cactusstile.consensus import exceptions
from cactusstile.consensus import leadership
from cactusstile.consensus import membership
from cactusstile.consensus import messages
from cactusstile.consensus import state as states
from cactusstile.consensus import waiters
from cactusstile.consensus import writer as writers

if typing.TYPE_CHECKING:
    from cactusstile.consensus import interfaces
    from cactusstile.consensus import replica_settings
    from cactusstile.consensus.storage import store as stores

    OpenedStore = tuple[stores.Store, core.RecoveredState, bytes]

logger = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.02
CHUNK_BYTES = 256 << 10
MAX_BATCH_PROPOSALS = 512
MAX_BATCH_BYTES = 1 << 20
SEED_BITS = 64


class Driver:
    """Connects one core to its store, state machine and transport.

    Attributes:
      state: State of the core.
      waiters: Callers that wait for a result.
      applied_index: Last log index that the state machine has applied.
      hello_addresses: Where this replica announces itself.
    """

    def __init__(
        self,
        settings: replica_settings.ReplicaSettings,
        state_machine: interfaces.StateMachine,
        send: interfaces.Send,
        clock: interfaces.Clock,
        store: stores.Store,
    ) -> None:
        """Creates a driver; `start` must be called before use."""
        self.settings = settings
        self.state_machine = state_machine
        self.send = send
        self.clock = clock
        self.store = store
        self.writer = writers.Writer(
            store, settings.sync_in_thread, settings.group_commit
        )
        self.waiters = waiters.Waiters()
        self.discovered_replicas = bootstrap.DiscoveredReplicas()
        self.stopped = False
        self.applied_index = 0
        self.hello_addresses = settings.founder_addresses()
        self.bytes_since_snapshot = 0
        self.effects: collections.deque[effects.Effect] = collections.deque()
        self.dispatching = False
        self.state: states.State

    def start(self, recovered: core.RecoveredState, data: bytes) -> None:
        """Initializes the core and the state machine from durable state."""
        metadata = self.store.metadata
        self.state = core.start(
            membership.member_id(metadata.name, metadata.incarnation),
            recovered,
            self.clock(),
            settings=self.settings.core,
            seed=secrets.randbits(SEED_BITS),
        )
        self.applied_index = recovered.snapshot_index
        self.state_machine.restore(data)

    def serves(self) -> bool:
        """Returns whether proposals and reads are accepted at present."""
        if self.stopped or self.writer.failure:
            return False
        self._dispatch(core.tick(self.state, self.clock()))
        return leadership.serves(self.state)

    def enqueue(self, waiter: waiters.Waiter) -> None:
        """Queues a proposal for the next batch."""
        self.waiters.queued.append(waiter)
        self.writer.work_available.set()

    def start_read(self) -> waiters.Waiter:
        """Starts a read; raises as `core.read`."""
        read_id, waiter = self.waiters.add_read()
        try:
            new_effects = core.read(self.state, read_id, self.clock())
        except exceptions.ConsensusError:
            del self.waiters.reads[read_id]
            raise
        self._dispatch(new_effects)
        return waiter

    def start_change(self, change: membership.Change) -> waiters.Waiter:
        """Proposes a membership change; raises as `core.change_membership`."""
        index, new_effects = core.change_membership(
            self.state, change, self.clock()
        )
        waiter = waiters.Waiter()
        if index:
            self.waiters.proposed[index] = waiter
        else:
            leader = leadership.leader_hint(self.state)
            waiter.fail(exceptions.NotLeaderError(leader))
        self._dispatch(new_effects)
        return waiter

    def start_transfer(self) -> None:
        """Starts a leadership transfer; raises as `core.transfer`."""
        self._dispatch(core.transfer(self.state, self.clock()))

    def joining(self) -> list[messages.Hello]:
        """Returns recently announced replicas that are not members."""
        return self.discovered_replicas.current(
            self.state.configuration, self.clock()
        )

    def receive(self, sender: str, message: messages.Message) -> None:
        """Handles a message received from the address `sender`."""
        if self.stopped or self.writer.failure:
            return
        if isinstance(message, messages.Hello):
            self._receive_hello(message)
            return
        self._dispatch(core.receive(self.state, sender, message, self.clock()))

    def stop(self) -> None:
        """Fails all waiters; nothing is acknowledged or sent afterwards."""
        if self.stopped:
            return
        self.stopped = True
        self.waiters.handle_leadership_loss("")

    async def run_ticks(self) -> None:
        """Passes the time to the core at a fixed interval."""
        while not self.stopped:
            self._dispatch(core.tick(self.state, self.clock()))
            await anyio.sleep(TICK_INTERVAL_S)

    async def run_hellos(self) -> None:
        """Announces this replica until it joins a group."""
        while not self.state.group:
            for address in self.hello_addresses:
                self.send(address, self._hello())
            await anyio.sleep(bootstrap.HELLO_INTERVAL_S)

    async def run_writes(self) -> None:
        """Makes writes durable, then sends the messages that waited for them.

        Raises:
          StorageError: A write failed; the replica has stopped.
        """
        try:
            while True:
                await self._write_pending()
                await self.writer.wait()
        except exceptions.StorageError:
            logger.exception("replica stopped")
            raise
        finally:
            self.stop()

    async def _write_pending(self) -> None:
        """Processes proposals and batches until none is left."""
        while True:
            await self._bootstrap_group()
            self._propose_queued()
            batch = await self.writer.write_next()
            if batch is None:
                return
            for send in batch.sends:
                self.send(send.address, send.message)
            self._report_synced(batch)
            await self._save_snapshot()

    def _propose_queued(self) -> None:
        """Appends queued proposals to the log as one batch."""
        queued = self.waiters.queued
        if not queued:
            return
        batch: list[waiters.Waiter] = []
        size = 0
        max_count = MAX_BATCH_PROPOSALS if self.writer.group_commit else 1
        while queued and len(batch) < max_count and size < MAX_BATCH_BYTES:
            batch.append(queued.popleft())
            size += len(batch[-1].command)
        commands = [waiter.command for waiter in batch]
        first, new_effects = core.propose(self.state, commands, self.clock())
        leader = leadership.leader_hint(self.state)
        for offset, waiter in enumerate(batch):
            if first:
                self.waiters.proposed[first + offset] = waiter
                continue
            waiter.fail(exceptions.NotLeaderError(leader))
        self._dispatch(new_effects)

    def _report_synced(self, batch: writers.Batch) -> None:
        """Reports to the core which writes are durable."""
        if not batch.writes:
            return
        index, term = batch.last_entry() or (0, 0)
        new_effects = core.synced(
            self.state,
            index=index,
            index_term=term,
            metadata=batch.last_metadata(),
            now=self.clock(),
        )
        self._dispatch(new_effects)

    async def _save_snapshot(self) -> None:
        """Takes a snapshot if enough data was applied since the last one."""
        limit_bytes = self.settings.snapshot_after_bytes
        if self.bytes_since_snapshot < limit_bytes:
            return
        self.bytes_since_snapshot = 0
        index = self.applied_index
        term = self.state.log.term_at(index)
        if term is None or index <= self.store.snapshot.index:
            return
        configuration = self.state.configuration_at(index)
        data = self.state_machine.snapshot()
        snapshot = effects.InstallSnapshot(
            index, term, membership.encode(configuration), data
        )
        await self.writer.run(self.store.save_snapshot, snapshot)
        self.writer.counters.snapshots_taken += 1
        if index > self.state.snapshot_index:
            core.compacted(self.state, index, max_retained_bytes=limit_bytes)
        # The base index of the core's log may already belong to a received
        # snapshot that is not saved yet; segments that it covers must stay.
        safe_index = min(self.state.log.base_index, self.store.snapshot.index)
        await self.writer.run(self.store.compact, safe_index)

    async def _bootstrap_group(self) -> None:
        """Creates the group, as its first founder, once all have announced."""
        founders = [founder.name for founder in self.settings.founders]
        if self.state.group or not founders:
            return
        if founders[0] != self.settings.name:
            return
        if self.discovered_replicas.group_exists:
            return
        own_hello = self._hello()
        writes = bootstrap.bootstrap_group(own_hello, founders, self.joining())
        if not writes:
            return
        await self.writer.run(self.store.write, writes)
        recovered = core.RecoveredState(
            group=self.store.metadata.group,
            term=self.store.metadata.term,
            snapshot_index=self.store.snapshot.index,
            snapshot_term=self.store.snapshot.term,
            configuration=membership.decode(self.store.snapshot.configuration),
        )
        self.start(recovered, b"")
        logger.info("bootstrapped group %s", self.state.group)

    def _hello(self) -> messages.Hello:
        """Returns the announcement of this replica."""
        return messages.Hello(
            group=self.state.group,
            name=self.settings.name,
            incarnation=self.store.metadata.incarnation,
            address=self.settings.address,
        )

    def _receive_hello(self, hello: messages.Hello) -> None:
        """Records an announcement; a member replies and informs the leader."""
        self.discovered_replicas.add(hello, self.clock())
        if not self.state.group:
            self.writer.work_available.set()
            return
        if hello.group:
            return
        self.send(hello.address, self._hello())
        leader = leadership.leader_hint(self.state)
        if leader and leader != hello.address:
            self.send(leader, hello)

    def _dispatch(self, new_effects: list[effects.Effect]) -> None:
        """Executes effects in order.

        An in-process transport may deliver a reply before `send` returns; the
        effects of that reply are queued until the earlier ones are executed.
        """
        self.effects.extend(new_effects)
        if self.dispatching or self.writer.failure:
            return
        self.dispatching = True
        try:
            while self.effects and not self.stopped:
                self._execute(self.effects.popleft())
        except Exception as error:
            self.writer.fail(error)
            raise
        finally:
            self.dispatching = False

    def _execute(self, effect: effects.Effect) -> None:
        """Executes one effect."""
        if isinstance(effect, effects.Send):
            self._send(effect)
        elif isinstance(effect, effects.Apply):
            self._apply(effect)
        elif isinstance(effect, effects.ReadConfirmed):
            self.waiters.confirm_read(
                effect.read_id, effect.index, self.applied_index
            )
        elif isinstance(effect, effects.LeadershipLost):
            leader = leadership.leader_hint(self.state)
            self.waiters.handle_leadership_loss(leader)
        elif isinstance(effect, effects.SendSnapshotChunk):
            self._send_chunk(effect)
        else:
            self._write(effect)

    def _send(self, send: effects.Send) -> None:
        """Sends a message, after the pending writes if required."""
        if send.after_sync and self.writer.add_send(send):
            return
        self.send(send.address, send.message)

    def _write(self, write: effects.Write) -> None:
        """Queues a write; a received snapshot is also restored at once."""
        self.writer.add_write(write)
        if not isinstance(write, effects.InstallSnapshot):
            return
        self.writer.counters.snapshots_installed += 1
        self.state_machine.restore(write.data)
        self.applied_index = write.index
        self.bytes_since_snapshot = 0

    def _apply(self, effect: effects.Apply) -> None:
        """Applies committed entries and passes the results to the callers."""
        for entry in effect.entries:
            result = b""
            if entry.kind == messages.EntryKind.COMMAND:
                result = self.state_machine.apply(entry.index, entry.data)
            self.applied_index = entry.index
            self.bytes_since_snapshot += len(entry.data)
            self.waiters.finish_proposal(entry, result)
        self.waiters.finish_reads(self.applied_index)

    def _send_chunk(self, effect: effects.SendSnapshotChunk) -> None:
        """Sends a chunk of the latest snapshot."""
        snapshot = self.store.snapshot
        if snapshot.index != self.state.snapshot_index:
            # The snapshot is being replaced; the core retries later.
            return
        try:
            data = self.store.read_chunk(effect.offset, CHUNK_BYTES)
        except OSError:
            # The file was removed meanwhile; the core resends the chunk.
            return
        chunk = messages.SnapshotChunk(
            group=self.state.group,
            source=self.state.member_id,
            target=effect.member_id,
            term=effect.term,
            index=snapshot.index,
            index_term=snapshot.term,
            configuration=snapshot.configuration,
            offset=effect.offset,
            total=snapshot.size,
            data=data,
        )
        self.send(effect.address, chunk)


def make_driver(
    settings: replica_settings.ReplicaSettings,
    state_machine: interfaces.StateMachine,
    send: interfaces.Send,
    clock: interfaces.Clock,
    opened: OpenedStore,
) -> Driver:
    """Returns a driver started from an opened store."""
    store, recovered, data = opened
    driver = Driver(settings, state_machine, send, clock, store)
    driver.start(bootstrap.forget_interrupted(recovered), data)
    return driver
