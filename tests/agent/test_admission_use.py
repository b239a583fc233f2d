from __future__ import annotations

import anyio
import pytest

from cactusstile.agent import admission

pytestmark = pytest.mark.anyio


async def test_unqueued_work_counts_against_the_share() -> None:
    slots = admission.Admission(1, tokens_per_s=1000.0)
    for _ in range(5):
        async with slots.enter(admission.Work("storm", 1000)):
            pass
    order: list[str] = []

    async def enter(workspace: str) -> None:
        async with slots.enter(admission.Work(workspace, 10)):
            order.append(workspace)

    async with (
        anyio.create_task_group() as group,
        slots.enter(admission.Work("other", 10)),
    ):
        group.start_soon(enter, "storm")
        await anyio.wait_all_tasks_blocked()
        group.start_soon(enter, "quiet")
        await anyio.wait_all_tasks_blocked()
    assert order == ["quiet", "storm"]
