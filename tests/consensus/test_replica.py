from __future__ import annotations

import asyncio
import errno
import shutil
import time

import anyio
import attrs
import pytest
from tests.consensus import conftest

from cactusstile.consensus import bootstrap
from cactusstile.consensus import driver
from cactusstile.consensus import effects
from cactusstile.consensus import exceptions
from cactusstile.consensus import membership
from cactusstile.consensus import messages
from cactusstile.consensus import replica
from cactusstile.consensus.storage import files as file_access

pytestmark = pytest.mark.anyio


async def _propose(group: conftest.Group, command: bytes) -> bytes:
    leader = await group.leader()
    with anyio.fail_after(5):
        return await leader.propose(command)


async def test_propose_is_applied_on_all_replicas(
    group: conftest.Group,
) -> None:
    assert await _propose(group, b"one") == b"1"
    assert await _propose(group, b"two") == b"2"
    leader = await group.leader()
    assert await leader.read_barrier() >= 3
    await group.clock.sleep(0.2)
    for machine in group.machines.values():
        assert machine.commands == [b"one", b"two"]


async def test_propose_on_follower_reports_the_leader(
    group: conftest.Group,
) -> None:
    """Callers need the leader's address to retry there."""
    leader = await group.leader()
    await _propose(group, b"one")
    for follower in group.replicas.values():
        if follower is leader:
            continue
        with pytest.raises(exceptions.NotLeaderError) as caught:
            await follower.propose(b"two")
        assert caught.value.leader_address == leader.leader


async def test_lost_disk_returns_as_learner_until_repaired(
    group: conftest.Group, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A replica with an empty disk must not vote before it has caught up."""
    monkeypatch.setattr(driver, "CHUNK_BYTES", 20)
    for number in range(60):
        await _propose(group, b"%0100d" % number)
    leader = await group.leader()
    lost = next(name for name in conftest.NAMES if name != leader.leader)
    await group.stop(lost)
    shutil.rmtree(group.folder / lost)
    await group.start(lost)
    with anyio.fail_after(5):
        index = await leader.repair_member(lost)
    status = leader.status()
    repaired = group.replicas[lost].status()
    assert len(status.members) == 3
    for member in status.members:
        assert member.member.voter
        if member.member.name != lost:
            continue
        assert member.member.id == repaired.member_id
        assert member.synced_index >= index
    # After a second loss, the quorum needs the repaired replica.
    second = next(
        name for name in conftest.NAMES if name not in (lost, leader.leader)
    )
    await group.stop(second)
    assert await _propose(group, b"after") == b"61"
    assert repaired.snapshot_index > 1
    await anyio.sleep(2 * conftest.CORE_SETTINGS.heartbeat_interval_s)
    machines = group.machines
    assert machines[lost].commands == machines[leader.leader].commands


async def _readd_as_learner(
    group: conftest.Group, name: str
) -> replica.Replica:
    """Removes a replica, deletes its data folder and adds it as a learner.

    Returns the leader once the learner has synced the change.
    """
    await _propose(group, b"one")
    leader = await group.leader()
    ids = {item.member.name: item.member.id for item in leader.status().members}
    await group.stop(name)
    await leader.change_membership(membership.Remove(ids[name]))
    shutil.rmtree(group.folder / name)
    await group.start(name)
    number = group.replicas[name].driver.store.metadata.incarnation
    with anyio.fail_after(5):
        while number not in {
            item.incarnation for item in leader.driver.joining()
        }:
            await anyio.sleep(0.01)
        change = membership.AddLearner(name, number, name)
        index = await leader.change_membership(change)
        while True:
            added = leader.status().members[-1]
            if added.active and added.synced_index >= index:
                return leader
            await anyio.sleep(0.01)


async def test_promotion_is_done_only_once_the_new_voter_has_synced_it(
    group: conftest.Group,
) -> None:
    """Callers rely on the new voter in the quorum after the promotion."""
    leader = await group.leader()
    name = next(name for name in conftest.NAMES if name != leader.leader)
    leader = await _readd_as_learner(group, name)
    group.partitioned.add(name)
    done = anyio.Event()

    async def promote() -> None:
        index = await leader.promote_member(name)
        assert group.replicas[name].status().last_index >= index
        done.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(promote)
        await anyio.sleep(2 * conftest.CORE_SETTINGS.election_timeout_s)
        assert leader.status().members[-1].member.voter
        assert not done.is_set()
        group.partitioned.clear()
        with anyio.fail_after(5):
            await done.wait()


async def test_chunk_of_snapshot_not_tracked_by_the_core_is_not_sent(
    group: conftest.Group,
) -> None:
    """Such a chunk would make the core restart the transfer repeatedly."""
    leader = await group.leader()
    sent: list[messages.Message] = []
    leader.driver.send = lambda _, message: sent.append(message)
    chunk_effect = effects.SendSnapshotChunk("x", "x.1", 1, 0)
    state = leader.driver.state
    state.snapshot_index += 1
    leader.driver._dispatch([chunk_effect])
    assert not sent
    state.snapshot_index -= 1
    leader.driver._dispatch([chunk_effect])
    assert [type(chunk) for chunk in sent] == [messages.SnapshotChunk]


async def test_founder_with_lost_disk_joins_instead_of_bootstrapping(
    group: conftest.Group,
) -> None:
    """A founder with an empty disk must not create a second group."""
    await _propose(group, b"one")
    founder = conftest.NAMES[0]
    await group.stop(founder)
    shutil.rmtree(group.folder / founder)
    await group.start(founder)
    await anyio.sleep(4 * bootstrap.HELLO_INTERVAL_S)
    status = group.replicas[founder].status()
    assert (status.role, status.group) == ("joining", "")
    leader = await group.leader()
    with anyio.fail_after(5):
        await leader.repair_member(founder)
    assert group.replicas[founder].status().group == leader.status().group
    assert await _propose(group, b"two") == b"2"


async def test_leader_loss_keeps_committed_commands(
    group: conftest.Group,
) -> None:
    for number in range(40):
        await _propose(group, b"%0100d" % number)
    leader = await group.leader()
    name = leader.leader
    await group.stop(name)
    assert await _propose(group, b"after") == b"41"
    await group.start(name)
    with anyio.move_on_after(5):
        while len(group.machines[name].commands) < 41:
            await anyio.sleep(0.02)
    # A command that is applied twice would follow at once.
    await anyio.sleep(0.1)
    assert len(group.machines[name].commands) == 41


async def test_transfer_moves_leadership_at_once(
    group: conftest.Group,
) -> None:
    await _propose(group, b"one")
    leader = await group.leader()
    assert await leader.transfer_leadership()
    assert await group.leader() is not leader
    assert await _propose(group, b"two") == b"2"


async def test_partitioned_leader_answers_neither_reads_nor_proposals(
    group: conftest.Group,
) -> None:
    """A partitioned leader must not return stale state or lose commands."""
    await _propose(group, b"one")
    leader = await group.leader()
    group.partitioned.add(leader.leader)
    begun_s = group.clock()
    with anyio.fail_after(5):
        with pytest.raises(exceptions.UncertainError):
            await leader.propose(b"lost")
        with pytest.raises(exceptions.NotLeaderError):
            await leader.read_barrier()
        with pytest.raises(exceptions.NotLeaderError):
            await leader.propose(b"refused")
    limit_s = 2 * conftest.CORE_SETTINGS.election_timeout_s
    assert group.clock() - begun_s < limit_s
    assert await _propose(group, b"two") == b"2"


class FailingFile:
    """A file whose sync fails while the disk is broken."""

    def __init__(self, file: file_access.File, disk: FailingFiles) -> None:
        self.file = file
        self.disk = disk
        self.write = file.write
        self.close = file.close

    def sync(self) -> None:
        if self.disk.is_broken:
            raise OSError(errno.EIO, "input/output error")
        self.file.sync()


class FailingFiles(file_access.LocalFiles):
    """A folder on a disk that can fail."""

    is_broken = False

    def open_append(self, name: str) -> file_access.File:
        return FailingFile(super().open_append(name), self)


async def test_failed_sync_stops_the_replica_and_acknowledges_nothing(
    group: conftest.Group,
) -> None:
    """A replica must not acknowledge entries that its disk may have lost."""
    leader = await group.leader()
    name = next(
        candidate for candidate in conftest.NAMES if candidate != leader.leader
    )
    await group.stop(name)
    disk = FailingFiles(group.folder / name)
    group.files[name] = disk
    await group.start(name)
    assert await _propose(group, b"one") == b"1"
    third = next(
        candidate
        for candidate in conftest.NAMES
        if candidate not in (name, leader.leader)
    )
    await group.stop(third)
    disk.is_broken = True
    # The quorum needs the replica with the broken disk.
    with anyio.fail_after(2), pytest.raises(exceptions.UncertainError):
        await leader.propose(b"two")
    assert name not in group.replicas
    assert "input/output error" in str(group.errors[name])
    assert "has stopped" in str(group.errors[name])


# Guards against tests whose group loses its leader to a pause of the machine.
async def test_group_keeps_its_leader_while_its_process_stands_still(
    group: conftest.Group,
) -> None:
    leader = await group.leader()
    for number in range(1, 4):
        loop = asyncio.get_running_loop()
        loop.call_soon(
            time.sleep, 2 * conftest.CORE_SETTINGS.election_timeout_s
        )
        assert await leader.propose(b"one") == b"%d" % number
    assert await group.leader() is leader


async def test_full_queue_and_oversized_command_are_refused(
    group: conftest.Group,
) -> None:
    leader = await group.leader()
    large = bytes(leader.settings.max_command_bytes + 1)
    with pytest.raises(exceptions.TooLargeError):
        await leader.propose(large)
    leader.settings = attrs.evolve(leader.settings, max_queued_proposals=0)
    with pytest.raises(exceptions.OverloadedError) as caught:
        await leader.propose(b"one")
    assert caught.value.retry_after_s > 0


async def test_restart_of_all_replicas_keeps_commands_and_identity(
    group: conftest.Group,
) -> None:
    for number in range(50):
        await _propose(group, b"%0100d" % number)
    before = {name: member.status() for name, member in group.replicas.items()}
    for name in conftest.NAMES:
        await group.stop(name)
    for name in conftest.NAMES:
        await group.start(name)
    assert await _propose(group, b"after") == b"51"
    for name, member in group.replicas.items():
        assert member.status().member_id == before[name].member_id
        assert member.status().snapshot_index > 1


async def test_second_process_on_the_same_folder_is_refused(
    group: conftest.Group,
) -> None:
    """Two writers would corrupt the data folder."""
    settings = group.settings("a")
    machine = conftest.ListMachine()
    with pytest.raises(exceptions.FolderLockedError):
        async with replica.open_replica(settings, machine, lambda *_: None):
            raise AssertionError
