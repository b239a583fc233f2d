from __future__ import annotations

import shutil

import anyio
import pytest
from tests.consensus import conftest

from cactusstile.consensus import exceptions
from cactusstile.consensus import replica

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
    await anyio.sleep(0.2)
    for machine in group.machines.values():
        assert machine.commands == [b"one", b"two"]


async def test_propose_on_follower_names_the_leader(
    group: conftest.Group,
) -> None:
    leader = await group.leader()
    await _propose(group, b"one")
    for one in group.replicas.values():
        if one is leader:
            continue
        with pytest.raises(exceptions.NotLeaderError) as caught:
            await one.propose(b"two")
        assert caught.value.leader_address == leader.leader


async def test_lost_disk_returns_as_learner_until_repaired(
    group: conftest.Group,
) -> None:
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
    # A second loss right after: the repaired replica is needed for a quorum.
    second = next(
        name for name in conftest.NAMES if name not in (lost, leader.leader)
    )
    await group.stop(second)
    assert await _propose(group, b"after") == b"61"
    assert group.replicas[lost].status().role == "follower"


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
    await anyio.sleep(0.3)
    assert len(group.machines[name].commands) == 41


async def test_transfer_moves_leadership_at_once(
    group: conftest.Group,
) -> None:
    await _propose(group, b"one")
    leader = await group.leader()
    assert await leader.transfer_leadership()
    assert await group.leader() is not leader
    assert await _propose(group, b"two") == b"2"


async def test_cut_leader_answers_neither_reads_nor_proposals(
    group: conftest.Group,
) -> None:
    await _propose(group, b"one")
    leader = await group.leader()
    group.cut.add(leader.leader)
    with anyio.fail_after(2 * conftest.TIMES.election_timeout_s):
        with pytest.raises(exceptions.UncertainError):
            await leader.propose(b"lost")
        with pytest.raises(exceptions.NotLeaderError):
            await leader.read_barrier()
        with pytest.raises(exceptions.NotLeaderError):
            await leader.propose(b"refused")
    assert await _propose(group, b"two") == b"2"


async def test_second_process_on_one_folder_is_refused(
    group: conftest.Group,
) -> None:
    settings = group.settings("a")
    machine = conftest.ListMachine()
    with pytest.raises(exceptions.FolderLockedError):
        async with replica.open_replica(settings, machine, lambda *_: None):
            raise AssertionError
