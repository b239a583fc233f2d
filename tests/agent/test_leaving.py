from __future__ import annotations

import collections.abc

import anyio
import pytest

from cactusstile.agent import messages
from cactusstile.fakes import engine
from cactusstile.fakes import platform
from cactusstile.fakes import serving
from cactusstile.fakes import site
from cactusstile.transport import exceptions
from cactusstile.transport import handshake
from cactusstile.transport import pool

pytestmark = pytest.mark.anyio

LEAVING_LIMIT_S = 3.0


def _run(key: str, max_tokens: int = 8) -> messages.Run:
    return messages.Run(
        request_key=key,
        attempt=0,
        workspace="bank",
        deployment=site.DEPLOYMENT,
        version="",
        adapter="",
        tokens=tuple(range(32)),
        max_tokens=max_tokens,
    )


@pytest.fixture
async def opened() -> collections.abc.AsyncIterator[site.Site]:
    async with site.open_site() as opened:
        yield opened


async def test_leaving_vm_gets_nothing_new_within_the_limit(
    opened: site.Site,
) -> None:
    fake_platform = platform.Platform(lag_s=1.0)
    fake_platform.set_state("vm-1", "live")
    async with (
        serving.open_app(platform.build_app(fake_platform)) as bound,
        site.open_engine_agent(
            opened, platform_url=f"http://{bound}", vm="vm-1"
        ),
    ):
        assert isinstance(
            await opened.call("engine-1", _run("before")), messages.RunEnd
        )
        fake_platform.set_state("vm-1", "leaving")
        left_at_s = anyio.current_time()
        last_accepted_s = left_at_s
        number = 0
        while anyio.current_time() - left_at_s < LEAVING_LIMIT_S + 0.5:
            number += 1
            answer = await opened.call("engine-1", _run(f"k{number}", 1))
            if isinstance(answer, messages.RunEnd):
                last_accepted_s = anyio.current_time()
                continue
            assert isinstance(answer, messages.Refused)
            assert (answer.verdict, answer.reason) == (
                "not_run",
                "target_leaving",
            )
            await anyio.sleep(0.05)
        assert last_accepted_s - left_at_s < LEAVING_LIMIT_S


async def test_drain_finishes_runs_and_refuses_new_ones(
    opened: site.Site,
) -> None:
    settings = engine.EngineSettings(output_token_s=0.02)
    answers: dict[str, object] = {}

    async def run_prompt(key: str) -> None:
        answers[key] = await opened.call("engine-1", _run(key, 30))

    async def run_late_prompt() -> None:
        await anyio.sleep(0.05)
        await run_prompt("late")

    async with (
        anyio.create_task_group() as group,
        site.open_engine_agent(opened, settings=settings) as running,
    ):
        group.start_soon(run_prompt, "early")
        await anyio.sleep(0.1)
        group.start_soon(run_late_prompt)
        assert await running.drain(10.0)
    refused = answers["late"]
    assert isinstance(refused, messages.Refused)
    assert (refused.verdict, refused.reason) == ("not_run", "shutting_down")
    end = answers["early"]
    assert isinstance(end, messages.RunEnd)
    assert end.count == 30


async def test_drain_by_operator_can_be_cancelled(opened: site.Site) -> None:
    operator = handshake.Identity("operator", "ada")
    async with (
        site.open_engine_agent(opened) as running,
        pool.open_pool(operator, site.SECRETS) as connections,
    ):
        drain = messages.Drain(leaving=True)
        reply = await connections.call(running.bound, drain, timeout_s=2)
        assert reply == messages.DrainReply(True, 0)
        refused = await opened.call("engine-1", _run("late"))
        assert isinstance(refused, messages.Refused)
        assert refused.reason == "target_leaving"
        cancel_drain = messages.Drain(leaving=False)
        await connections.call(running.bound, cancel_drain, timeout_s=2)
        end = await opened.call("engine-1", _run("later"))
        assert isinstance(end, messages.RunEnd)


async def test_drain_is_refused_to_other_roles(opened: site.Site) -> None:
    async with site.open_engine_agent(opened):
        with pytest.raises(exceptions.RemoteError, match="forbidden"):
            await opened.call("engine-1", messages.Drain())


async def test_stopping_agent_refuses_service_call_as_not_run(
    opened: site.Site,
) -> None:
    async with site.open_service_agent(opened) as running:
        running.node.stopping = True
        call = messages.ServiceCall(
            "k", 0, "bank", site.SERVICE, "POST", "/", (), b"", repeatable=False
        )
        answer = await opened.call("service-1", call)
        assert isinstance(answer, messages.Refused)
        assert answer.verdict == "not_run"
        assert opened.services["service-1"].ledger == []
