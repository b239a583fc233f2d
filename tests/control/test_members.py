"""Operators' commands on members of real processes while commits run."""

from __future__ import annotations

import random

import anyio
import anyio.to_thread
import pytest
from tests.support import control_cluster
from tests.support import control_histories

from cactusstile.console import application
from cactusstile.control import exceptions
from cactusstile.control import member_messages
from cactusstile.control import operations
from cactusstile.control import settings

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

KNOWN_TIMEOUT_S = 8.0
GROUP_TIMEOUT_S = 8.0
CUT_TIMEOUT_S = 1.0
AFTER_LOSS_S = 2.0
DONE, REFUSED = 0, 5


async def _member(
    cluster: control_cluster.Cluster,
    action: str,
    name: str,
    timeout_s: float = GROUP_TIMEOUT_S,
) -> int:
    arguments = ["member", action, name, "--timeout_s", str(timeout_s)]
    arguments += ["--settings", str(cluster.folder / "operator.ini")]
    return await anyio.to_thread.run_sync(application.run, arguments)


async def _change_first_group(
    cluster: control_cluster.Cluster, action: str, name: str
) -> None:
    """Does what a command did that stopped between the groups."""
    opening = operations.open_operator(cluster.operator_settings())
    async with opening as opened:
        message = member_messages.ChangeMember(settings.GROUPS[0], action, name)
        with anyio.fail_after(KNOWN_TIMEOUT_S):
            while True:
                try:
                    await opened.control.call(
                        message, member_messages.MemberChanged, GROUP_TIMEOUT_S
                    )
                except exceptions.CallRefusedError:
                    await anyio.sleep(control_cluster.START_POLL_S)
                    continue
                return


async def _repeat(
    cluster: control_cluster.Cluster, action: str, name: str
) -> None:
    """Gives a command until the replica answers and it is done."""
    with anyio.fail_after(KNOWN_TIMEOUT_S):
        while await _member(cluster, action, name) != DONE:
            await anyio.sleep(control_cluster.START_POLL_S)


async def _find_leader(cluster: control_cluster.Cluster) -> str:
    async with cluster.open_client("finder") as control:
        await control.read_revision()
        return cluster.name_of(control.leader)


async def _replace(cluster: control_cluster.Cluster, name: str) -> None:
    """Removes, adds and promotes; each command is given a second time."""
    await _change_first_group(cluster, "remove", name)
    assert await _member(cluster, "remove", name) == DONE
    assert await _member(cluster, "remove", name) == REFUSED
    cluster.start(name)
    await _change_first_group(cluster, "add", name)
    await _repeat(cluster, "add", name)
    cluster.partitioned_names.add(name)
    assert await _member(cluster, "promote", name, CUT_TIMEOUT_S) != DONE
    cluster.partitioned_names.discard(name)
    await _repeat(cluster, "promote", name)


async def test_member_commands_replace_a_lost_replica_while_commits_run(
    cluster: control_cluster.Cluster,
) -> None:
    recorder = control_histories.Recorder(cluster, random.Random(1))
    async with anyio.create_task_group() as group:
        group.start_soon(recorder.run)
        leader = await _find_leader(cluster)
        lost, other = (n for n in control_cluster.NAMES if n != leader)
        cluster.lose_disk(lost)
        await _replace(cluster, lost)
        cluster.lose_disk(other)
        lost_s = anyio.current_time()
        await anyio.sleep(AFTER_LOSS_S)
        recorder.stopping = True
    histories = recorder.histories
    assert histories.count_answered_after(lost_s) > 0, "nothing goes on"
    await recorder.read_all()
    histories.check()
