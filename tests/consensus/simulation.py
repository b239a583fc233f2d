"""Simulates replica cores with a lossy network, disks and drifting clocks."""

from __future__ import annotations

import random

import attrs
from tests.consensus import simulated_disk

from cactusstile.consensus import core
from cactusstile.consensus import effects
from cactusstile.consensus import exceptions
from cactusstile.consensus import leadership
from cactusstile.consensus import membership
from cactusstile.consensus import messages
from cactusstile.consensus import repair
from cactusstile.consensus import state as states

STEP_S = 0.01
CHUNK_BYTES = 64
SETTINGS = states.CoreSettings(
    heartbeat_interval_s=0.05,
    election_timeout_s=0.3,
    max_clock_drift=0.02,
    max_append_bytes=200,
    max_inflight_appends=3,
)


@attrs.define
class Node:
    """One replica: its disk, its in-memory core state and its clock rate."""

    name: str
    disk: simulated_disk.Disk
    clock_rate: float
    state: states.State | None = None
    pending: list[effects.Write | effects.Send] = attrs.field(factory=list)
    applied_index: int = 0
    frozen: bool = False
    inbox: list[tuple[str, messages.GroupMessage]] = attrs.field(factory=list)

    @property
    def id(self) -> str:
        return membership.member_id(self.name, self.disk.incarnation)


@attrs.define
class Simulation:
    """All replicas; checks the safety properties after every event."""

    random: random.Random
    loss_rate: float = 0.0
    max_delay_s: float = 0.02
    sync_probability: float = 0.5
    now: float = 0.0
    nodes: dict[str, Node] = attrs.field(factory=dict)
    in_flight: list[tuple[float, str, str, messages.GroupMessage]] = (
        attrs.field(factory=list)
    )
    blocked_links: set[tuple[str, str]] = attrs.field(factory=set)
    incarnation_count: int = 0
    leader_by_term: dict[int, str] = attrs.field(factory=dict)
    committed: dict[int, messages.Entry] = attrs.field(factory=dict)
    min_read_index: dict[int, int] = attrs.field(factory=dict)
    reads_confirmed: int = 0
    snapshots_installed: int = 0
    proposal_count: int = 0

    def bootstrap(self, names: list[str], drift: float = 0.02) -> None:
        members = []
        for position, name in enumerate(names):
            rate = 1 + drift * (position % 3 - 1)
            self.nodes[name] = Node(name, self._new_disk(), rate)
            incarnation = self.nodes[name].disk.incarnation
            members.append(membership.Member(name, incarnation, name))
        data = membership.encode(membership.Configuration(tuple(members)))
        snapshot = effects.InstallSnapshot(1, 1, data, b"")
        for node in self.nodes.values():
            node.disk.write(effects.SaveMetadata("g", 1, ""))
            node.disk.write(snapshot)
            self.start(node)

    def _new_disk(self) -> simulated_disk.Disk:
        self.incarnation_count += 1
        return simulated_disk.Disk(self.incarnation_count)

    def clock(self, node: Node) -> float:
        return 100.0 + self.now * node.clock_rate

    def start(self, node: Node) -> None:
        node.pending.clear()
        node.inbox.clear()
        node.frozen = False
        node.state = core.start(
            node.id,
            node.disk.recover(),
            self.clock(node),
            settings=SETTINGS,
            seed=self.random.getrandbits(32),
        )
        node.applied_index = node.state.snapshot_index

    def crash(self, node: Node) -> None:
        # Any prefix of the unsynced writes may have reached the disk.
        for item in node.pending[: self.random.randint(0, len(node.pending))]:
            if not isinstance(item, effects.Send):
                node.disk.write(item)
        node.state = None

    def lose_disk(self, node: Node) -> None:
        node.disk = self._new_disk()
        self.start(node)

    def sync(self, node: Node) -> None:
        """Syncs pending writes in order and sends the messages behind them."""
        pending = node.pending
        node.pending = []
        last_entry = (0, 0)
        metadata = None
        for item in pending:
            if isinstance(item, effects.Send):
                self._transmit(node, item)
                continue
            node.disk.write(item)
            if isinstance(item, effects.SaveMetadata):
                metadata = item
            elif isinstance(item, effects.AppendEntries):
                last_entry = (item.entries[-1].index, item.entries[-1].term)
            else:
                last_entry = (item.index, item.term)
        if node.state is None or not pending:
            return
        new_effects = core.synced(
            node.state,
            index=last_entry[0],
            index_term=last_entry[1],
            metadata=metadata,
            now=self.clock(node),
        )
        self.dispatch(node, new_effects)

    def advance(self, duration_s: float) -> None:
        for _ in range(round(duration_s / STEP_S)):
            self.now += STEP_S
            self._deliver()
            for node in self.nodes.values():
                if node.state is None or node.frozen:
                    continue
                for sender, message in node.inbox:
                    self._receive(node, sender, message)
                node.inbox.clear()
                self.dispatch(node, core.tick(node.state, self.clock(node)))
                if self.random.random() < self.sync_probability:
                    self.sync(node)

    def _deliver(self) -> None:
        due = [item for item in self.in_flight if item[0] <= self.now]
        self.in_flight = [item for item in self.in_flight if item[0] > self.now]
        for _, sender, target, message in due:
            node = self.nodes[target]
            if node.state is None or (sender, target) in self.blocked_links:
                continue
            node.inbox.append((sender, message))

    def _receive(
        self, node: Node, sender: str, message: messages.GroupMessage
    ) -> None:
        assert node.state is not None
        new_effects = core.receive(
            node.state, sender, message, self.clock(node)
        )
        self.dispatch(node, new_effects)

    def _transmit(self, node: Node, send: effects.Send) -> None:
        copies = 1
        if self.random.random() < self.loss_rate:
            copies = self.random.choice((0, 2))
        for _ in range(copies):
            at = self.now + self.random.random() * self.max_delay_s
            self.in_flight.append((at, node.name, send.address, send.message))

    def dispatch(self, node: Node, new_effects: list[effects.Effect]) -> None:
        for effect in new_effects:
            if isinstance(effect, effects.Send):
                if effect.after_sync:
                    node.pending.append(effect)
                else:
                    self._transmit(node, effect)
            elif isinstance(effect, effects.Apply):
                self._apply(node, effect)
            elif isinstance(effect, effects.ReadConfirmed):
                self.reads_confirmed += 1
                assert effect.index >= self.min_read_index[effect.read_id], (
                    "stale read"
                )
            elif isinstance(effect, effects.SendSnapshotChunk):
                self._send_chunk(node, effect)
            elif not isinstance(effect, effects.LeadershipLost):
                node.pending.append(effect)
                if isinstance(effect, effects.InstallSnapshot):
                    self.snapshots_installed += 1
                    assert effect.data == self.snapshot_data(effect.index)
                    node.applied_index = effect.index
        self._check_leader(node)

    def _apply(self, node: Node, effect: effects.Apply) -> None:
        for entry in effect.entries:
            assert entry.index == node.applied_index + 1
            node.applied_index = entry.index
            committed_entry = self.committed.setdefault(entry.index, entry)
            assert committed_entry == entry, "state machine safety"

    def snapshot_data(self, index: int) -> bytes:
        parts = []
        for position in range(2, index + 1):
            parts.append(b"%d:%s;" % (position, self.committed[position].data))
        return b"".join(parts)

    def _send_chunk(
        self, node: Node, effect: effects.SendSnapshotChunk
    ) -> None:
        snapshot = node.disk.snapshot
        if snapshot is None or node.state is None:
            return
        chunk = messages.SnapshotChunk(
            group="g",
            source=node.id,
            target=effect.member_id,
            term=effect.term,
            index=snapshot.index,
            index_term=snapshot.term,
            configuration=snapshot.configuration,
            offset=effect.offset,
            total=len(snapshot.data),
            data=snapshot.data[effect.offset : effect.offset + CHUNK_BYTES],
        )
        self._transmit(
            node, effects.Send(effect.address, chunk, after_sync=False)
        )

    def compact(self, node: Node) -> None:
        """Takes a snapshot of the state that a replica has applied."""
        state = node.state
        if state is None or node.frozen:
            return
        self.sync(node)
        term = state.log.term_at(node.applied_index)
        previous = node.disk.snapshot
        if term is None or (previous and node.applied_index <= previous.index):
            return
        configuration = state.configuration_at(node.applied_index)
        node.disk.snapshot = effects.InstallSnapshot(
            node.applied_index,
            term,
            membership.encode(configuration),
            self.snapshot_data(node.applied_index),
        )
        core.compacted(state, node.applied_index, max_retained_bytes=100)

    def propose(self, node: Node) -> None:
        if node.state is None or node.frozen:
            return
        self.proposal_count += 1
        command = b"%d" % self.proposal_count
        _, new_effects = core.propose(node.state, [command], self.clock(node))
        self.dispatch(node, new_effects)

    def read(self, node: Node) -> None:
        if node.state is None or node.frozen:
            return
        read_id = len(self.min_read_index)
        self.min_read_index[read_id] = max(self.committed, default=0)
        try:
            new_effects = core.read(node.state, read_id, self.clock(node))
        except exceptions.ConsensusError:
            return
        self.dispatch(node, new_effects)

    def transfer(self, node: Node) -> None:
        if node.state is None or node.frozen:
            return
        try:
            new_effects = core.transfer(node.state, self.clock(node))
        except exceptions.ConsensusError:
            return
        self.dispatch(node, new_effects)

    def change(self, node: Node, change: membership.Change) -> None:
        if node.state is None or node.frozen:
            return
        try:
            _, new_effects = core.change_membership(
                node.state, change, self.clock(node)
            )
        except exceptions.MembershipError:
            return
        self.dispatch(node, new_effects)

    def repair(self, name: str) -> None:
        """Runs the next repair step for `name` on every serving leader."""
        target = self.nodes[name]
        hello = messages.Hello("", name, target.disk.incarnation, name)
        for node in self.nodes.values():
            state = node.state
            if state is None or not leadership.serves(state):
                continue
            joining = []
            if state.configuration.find(target.id) is None:
                joining.append(hello)
            try:
                step = repair.next_step(state, name, joining)
            except exceptions.MembershipError:
                continue
            if not isinstance(step, repair.Done | repair.Wait):
                self.change(node, step)

    def run_with_faults(self, duration_s: float) -> None:
        """Proposes and reads while replicas and links fail at a high rate."""
        names = list(self.nodes)
        for _ in range(round(duration_s / 0.02)):
            self.advance(0.02)
            for node in self.nodes.values():
                self.propose(node)
                self.read(node)
            node = self.nodes[self.random.choice(names)]
            peer = self.random.choice(names)
            draw = self.random.random()
            if draw < 0.06:
                self.crash(node)
                self.start(node)
            elif draw < 0.1:
                node.frozen = not node.frozen
            elif draw < 0.15:
                self.blocked_links |= {(node.name, peer), (peer, node.name)}
            elif draw < 0.2:
                self.blocked_links.clear()
            elif draw < 0.23:
                self.transfer(node)
            elif draw < 0.25:
                self.compact(node)

    def leader(self) -> Node | None:
        """Returns the serving leader; None unless there is exactly one."""
        serving = []
        for node in self.nodes.values():
            if node.state is not None and leadership.serves(node.state):
                serving.append(node)
        return serving[0] if len(serving) == 1 else None

    def heal(self) -> None:
        self.blocked_links.clear()
        self.loss_rate = 0.0
        for node in self.nodes.values():
            node.frozen = False
            if node.state is None:
                self.start(node)

    def _check_leader(self, node: Node) -> None:
        state = node.state
        if state is None or state.leading is None:
            return
        leader_id = self.leader_by_term.setdefault(state.term, node.id)
        assert leader_id == node.id, "election safety"
        if state.log.last_index != state.leading.first_index:
            return
        for index, entry in self.committed.items():
            if index > state.log.base_index and entry.term < state.term:
                assert state.log.term_at(index) == entry.term, (
                    "leader completeness"
                )

    def check_logs(self) -> None:
        """Checks that entries of equal index and term are equal."""
        seen: dict[tuple[int, int], tuple[int | None, messages.Entry]] = {}
        for node in self.nodes.values():
            if node.state is None:
                continue
            for entry in node.state.log.entries:
                previous_term = node.state.log.term_at(entry.index - 1)
                first_seen = seen.setdefault(
                    (entry.index, entry.term), (previous_term, entry)
                )
                assert first_seen == (previous_term, entry), "log matching"

    def can_elect_leader(self) -> bool:
        """Returns whether the configuration of every replica has a quorum."""
        live_ids = {node.id for node in self.nodes.values()}
        has_configuration = False
        for node in self.nodes.values():
            assert node.state is not None
            configuration = node.state.configuration
            count = len(live_ids.intersection(configuration.voter_ids))
            if not configuration.voter_ids:
                continue
            has_configuration = True
            if count < configuration.quorum():
                return False
        return has_configuration
