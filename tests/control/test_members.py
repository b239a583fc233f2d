"""Operator commands that change members of real groups while commits run."""

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

RETRY_TIMEOUT_S = 8.0
COMMAND_TIMEOUT_S = 8.0
PARTITION_TIMEOUT_S = 1.0
AFTER_LOSS_S = 2.0
DONE, REFUSED = 0, 5


async def _run_member_command(
    cluster: control_cluster.Cluster,
    action: str,
    name: str,
    timeout_s: float = COMMAND_TIMEOUT_S,
) -> int:
    arguments = ["member", action, name, "--timeout_s", str(timeout_s)]
    arguments += ["--settings", str(cluster.folder / "operator.ini")]
    return await anyio.to_thread.run_sync(application.run, arguments)


async def _change_first_group(
    cluster: control_cluster.Cluster, action: str, name: str
) -> None:
    """Changes the first group only, as a command interrupted between groups."""
    opened_session = operations.open_session(cluster.operator_settings())
    async with opened_session as session:
        message = member_messages.ChangeMember(settings.GROUPS[0], action, name)
        with anyio.fail_after(RETRY_TIMEOUT_S):
            while True:
                try:
                    await session.control.call(
                        message,
                        member_messages.MemberChanged,
                        COMMAND_TIMEOUT_S,
                    )
                except exceptions.CallRefusedError:
                    await anyio.sleep(control_cluster.START_POLL_S)
                    continue
                return


async def _retry_until_done(
    cluster: control_cluster.Cluster, action: str, name: str
) -> None:
    """Repeats a command until the replica answers and the change is done."""
    with anyio.fail_after(RETRY_TIMEOUT_S):
        while await _run_member_command(cluster, action, name) != DONE:
            await anyio.sleep(control_cluster.START_POLL_S)


async def _find_leader(cluster: control_cluster.Cluster) -> str:
    async with cluster.open_client("finder") as control:
        await control.read_revision()
        return cluster.name_of(control.leader)


async def _replace(cluster: control_cluster.Cluster, name: str) -> None:
    """Removes, adds and promotes a replica; repeats each command."""
    await _change_first_group(cluster, "remove", name)
    assert await _run_member_command(cluster, "remove", name) == DONE
    assert await _run_member_command(cluster, "remove", name) == REFUSED
    cluster.start(name)
    await _change_first_group(cluster, "add", name)
    await _retry_until_done(cluster, "add", name)
    cluster.partitioned_names.add(name)
    assert (
        await _run_member_command(cluster, "promote", name, PARTITION_TIMEOUT_S)
        != DONE
    )
    cluster.partitioned_names.discard(name)
    await _retry_until_done(cluster, "promote", name)


async def test_member_commands_replace_a_lost_replica_while_commits_run(
    cluster: control_cluster.Cluster,
) -> None:
    """After a replacement the group must survive the loss of another disk.

    Commits run all the time, and each member command is repeated as an
    operator would after an interrupted command.
    """
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
