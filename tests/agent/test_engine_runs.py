from __future__ import annotations

import anyio
import pytest

from cactusstile import tokens
from cactusstile.agent import messages
from cactusstile.fakes import engine
from cactusstile.fakes import oracle
from cactusstile.fakes import site

pytestmark = pytest.mark.anyio

FAST = engine.EngineSettings(time_scale=0.05)
PROMPT = tuple(range(100, 180))


def _run(key: str = "k1", **changes: object) -> messages.Run:
    values: dict[str, object] = {
        "request_key": key,
        "attempt": 0,
        "workspace": "bank",
        "deployment": site.DEPLOYMENT,
        "version": "",
        "adapter": "",
        "tokens": PROMPT,
        "max_tokens": 12,
    }
    values.update(changes)
    return messages.Run(**values)  # type: ignore[arg-type]


async def _collect(
    opened: site.Site, message: object, target: str = "engine-1"
) -> tuple[list[int], object]:
    connection = await opened.peers.connect(opened.agents[target].bound)
    output: list[int] = []
    async with connection.open_stream(message) as stream:
        async for item in stream:
            assert isinstance(item, messages.RunTokens)
            assert item.first_index == len(output)
            output += item.tokens
        return output, await stream.result()


def _expected(version: str = "v1", workspace: str = "bank") -> list[int]:
    scope = tokens.Scope(workspace, site.DEPLOYMENT, version)
    return oracle.answer(scope, PROMPT, 12)


async def test_run_streams_whole_answer() -> None:
    async with site.open_site() as opened, site.open_engine_agent(opened):
        output, end = await _collect(opened, _run())
        assert output == _expected()
        assert isinstance(end, messages.RunEnd)
        assert (end.count, end.finish_reason, end.version) == (
            12,
            "length",
            "v1",
        )


async def test_second_run_finds_resident_blocks() -> None:
    async with site.open_site() as opened, site.open_engine_agent(opened):
        await _collect(opened, _run("first"))
        keys = tokens.block_keys(
            tokens.Scope("bank", site.DEPLOYMENT, "v1"), PROMPT
        )
        probe = messages.Probe(
            "bank", site.DEPLOYMENT, "", tuple(keys), len(PROMPT), 12
        )
        reply = await opened.call("engine-1", probe)
        assert isinstance(reply, messages.ProbeReply)
        assert reply.resident_blocks == len(keys) == 5
        output, end = await _collect(opened, _run("second"))
        assert output == _expected()
        assert isinstance(end, messages.RunEnd)
        assert end.resident_tokens == 80


async def test_second_run_of_a_live_key_joins_the_first() -> None:
    slow = engine.EngineSettings(output_token_s=0.02)
    async with (
        site.open_site() as opened,
        site.open_engine_agent(opened, settings=slow),
    ):
        results = []

        async def collect() -> None:
            results.append(await _collect(opened, _run()))

        async with anyio.create_task_group() as group:
            group.start_soon(collect)
            await anyio.sleep(0.05)
            group.start_soon(collect)
        assert [output for output, _ in results] == [_expected()] * 2
        assert len(opened.engines["engine-1"].streams) == 1
