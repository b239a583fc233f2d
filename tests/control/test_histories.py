from __future__ import annotations

import os
import random
import typing

import anyio
import anyio.to_thread
import pytest
from tests.support import control_cluster
from tests.support import control_histories

if typing.TYPE_CHECKING:
    import collections.abc

    Fault = collections.abc.Callable[
        [control_cluster.Cluster, list[str]], collections.abc.Awaitable[None]
    ]

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

SEEDS = range(int(os.environ.get("CACTUSSTILE_HISTORY_SEEDS", "1")))
BEFORE_FAULT_DELAY_S = 0.5
FAULT_DURATION_S = 1.1
AFTER_RECOVERY_S = 0.5
RECOVERY_S = 2.0


async def _kill(cluster: control_cluster.Cluster, names: list[str]) -> None:
    cluster.kill(names[0])
    await anyio.sleep(FAULT_DURATION_S)
    cluster.start(names[0])


async def _freeze(cluster: control_cluster.Cluster, names: list[str]) -> None:
    cluster.freeze(names[0])
    await anyio.sleep(FAULT_DURATION_S)
    cluster.resume(names[0])


async def _partition(
    cluster: control_cluster.Cluster, names: list[str]
) -> None:
    cluster.partitioned_names.add(names[0])
    await anyio.sleep(FAULT_DURATION_S)
    cluster.partitioned_names.discard(names[0])


async def _kill_all(cluster: control_cluster.Cluster, _: list[str]) -> None:
    for name in control_cluster.NAMES:
        cluster.kill(name)
    for name in control_cluster.NAMES:
        cluster.start(name)
    await anyio.sleep(FAULT_DURATION_S)


async def _freeze_and_partition(
    cluster: control_cluster.Cluster, names: list[str]
) -> None:
    """Removes the quorum; the old leader resumes before the others."""
    cluster.freeze(names[0])
    cluster.partitioned_names.add(names[1])
    await anyio.sleep(FAULT_DURATION_S)
    cluster.resume(names[0])
    cluster.partitioned_names.discard(names[1])


async def _kill_and_freeze(
    cluster: control_cluster.Cluster, names: list[str]
) -> None:
    """Removes the quorum until the frozen replica resumes."""
    cluster.kill(names[0])
    cluster.freeze(names[1])
    await anyio.sleep(FAULT_DURATION_S)
    cluster.resume(names[1])
    await anyio.sleep(FAULT_DURATION_S)
    cluster.start(names[0])


async def _fill_disk(
    cluster: control_cluster.Cluster, names: list[str]
) -> None:
    """Fails a write of the leader halfway, and frees space later."""
    cluster.fill_disk(names[0])
    await cluster.wait_for_log(names[0], "the data folder cannot be used")
    await anyio.sleep(FAULT_DURATION_S)
    assert cluster.processes[names[0]].poll() is None
    cluster.free_disk(names[0])
    await cluster.wait_for_log(names[0], "the data folder can be used again")
    await cluster.wait_synced(names[0])


async def _lose_disk_and_kill_another(
    cluster: control_cluster.Cluster, names: list[str]
) -> None:
    """Kills a second replica right after a completed repair of the first."""
    cluster.lose_disk(names[0])
    cluster.start(names[0])
    await cluster.repair(names[0])
    cluster.kill(names[1])


SCENARIOS: dict[str, list[Fault]] = {
    "singly": [_kill, _freeze, _partition],
    "two at once": [_freeze_and_partition, _kill_and_freeze],
    "lost disk": [_kill_all, _fill_disk, _lose_disk_and_kill_another],
}


async def _find_leader(cluster: control_cluster.Cluster) -> str:
    async with cluster.open_client("finder") as control:
        await control.read_revision()
        return cluster.name_of(control.leader)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("scenario", SCENARIOS)
async def test_histories_stay_linearizable(
    cluster: control_cluster.Cluster, scenario: str, seed: int
) -> None:
    """Faults of control VMs must not lose, repeat or reorder operations.

    Each fault hits the present leader, and other replicas in random order.
    """
    rng = random.Random(f"{scenario}/{seed}")
    recorder = control_histories.Recorder(cluster, rng)
    faults = list(SCENARIOS[scenario])
    if seed and scenario != "lost disk":
        rng.shuffle(faults)
    async with anyio.create_task_group() as group:
        group.start_soon(recorder.run)
        for fault in faults:
            await anyio.sleep(BEFORE_FAULT_DELAY_S)
            leader = await _find_leader(cluster)
            others = [n for n in control_cluster.NAMES if n != leader]
            rng.shuffle(others)
            await fault(cluster, [leader, *others])
        await anyio.sleep(RECOVERY_S)
        healed_s = anyio.current_time()
        await anyio.sleep(AFTER_RECOVERY_S)
        recorder.stopping = True
    histories = recorder.histories
    started, unanswered = histories.count()
    print(f"{scenario}/{seed}: {started} operations, {unanswered} unanswered")
    assert histories.count_answered_after(healed_s) > 0, "nothing goes on"
    await recorder.read_all()
    histories.check()
