from __future__ import annotations

import random

import anyio
import anyio.lowlevel
import pytest

from cactusstile import verdict
from cactusstile.agent import admission
from cactusstile.limits import fair_queue

pytestmark = pytest.mark.anyio

# Exceeds the capacity of slots and queue, even on a slow machine.
BURST = 60


@pytest.mark.parametrize("seed", range(5))
async def test_cancellation_neither_loses_nor_exceeds_slots(seed: int) -> None:
    generator = random.Random(seed)
    bounds = fair_queue.Bounds(entries=12, workspace_entries=8)
    slots = admission.Admission(3, tokens_per_s=1000.0, bounds=bounds)
    inside = 0
    outcomes: list[str] = []
    refusals: list[verdict.Refusal] = []

    async def use(workspace: str) -> None:
        nonlocal inside
        deadline_s = anyio.current_time() + generator.uniform(-0.01, 0.1)
        work = admission.Work(workspace, 10, deadline_s=deadline_s)
        with anyio.move_on_after(generator.uniform(0, 0.08)):
            try:
                async with slots.enter(work):
                    inside += 1
                    assert inside <= 3
                    try:
                        await anyio.sleep(generator.uniform(0, 0.02))
                    finally:
                        inside -= 1
                outcomes.append("done")
            except verdict.RefusedError as error:
                outcomes.append(error.refusal.reason.value)
                refusals.append(error.refusal)

    async with anyio.create_task_group() as group:
        group.start_soon(slots.expire)
        async with anyio.create_task_group() as users:
            for number in range(150):
                users.start_soon(use, generator.choice("abc"))
                pause_s = 0.0 if number < BURST else 0.003
                await anyio.sleep(generator.choice((0.0, 0.0, pause_s)))
        group.cancel_scope.cancel()
    assert (slots.running, slots.queue.count, inside) == (0, 0, 0)
    assert {refusal.verdict for refusal in refusals} == {
        verdict.Verdict.NOT_RUN
    }
    assert min(refusal.retry_after_s for refusal in refusals) > 0
    assert {"done", "overloaded"} <= set(outcomes)


async def test_prompts_wait_in_fair_order_while_the_target_computes() -> None:
    """Guards against one workspace taking all free slots of an engine."""
    slots = admission.Admission(8, tokens_per_s=1000.0, prefill_window_s=0.1)
    order: list[str] = []

    async def run(workspace: str) -> None:
        async with slots.enter(admission.Work(workspace, 500)) as slot:
            order.append(workspace)
            await anyio.sleep(0.02)
            slot.end_prefill()
            await anyio.sleep(0.2)

    async with anyio.create_task_group() as group:
        for workspace in ("storm", "storm", "storm", "quiet"):
            group.start_soon(run, workspace)
            await anyio.lowlevel.checkpoint()
        await anyio.wait_all_tasks_blocked()
        assert order == ["storm"]
        assert 0.4 < slots.wait_s("other", 1.0) <= 1.5
    assert order[1] == "quiet"
    assert slots.prefills.tokens == 0
