from __future__ import annotations

import anyio
import pytest

from cactusstile import tokens
from cactusstile.agent import messages
from cactusstile.fakes import engine
from cactusstile.fakes import oracle
from cactusstile.fakes import site

pytestmark = pytest.mark.anyio

PROMPT = tuple(range(200, 264))
COUNT = 10


async def _run_prompt(opened: site.Site, key: str) -> tuple[list[int], object]:
    run = messages.Run(
        key, 0, "bank", site.DEPLOYMENT, "", "", PROMPT, max_tokens=COUNT
    )
    connection = await opened.peers.connect(opened.agents["engine-1"].bound)
    output: list[int] = []
    async with connection.open_stream(run) as stream:
        async for item in stream:
            assert isinstance(item, messages.RunTokens)
            output += item.tokens
        return output, await stream.result()


def _expected(version: str) -> list[int]:
    scope = tokens.Scope("bank", site.DEPLOYMENT, version)
    return oracle.answer(scope, PROMPT, COUNT)


async def test_runs_around_a_swap_use_one_version_each() -> None:
    quick = engine.EngineSettings(load_s=0.2, output_token_s=0.01, slots=4)
    ends: list[tuple[list[int], object]] = []
    async with (
        site.open_site() as opened,
        site.open_engine_agent(opened, settings=quick),
    ):

        async def run_prompt(key: str) -> None:
            ends.append(await _run_prompt(opened, key))

        async with anyio.create_task_group() as group:
            for number in range(60):
                if number == 20:
                    opened.set_version("v2")
                group.start_soon(run_prompt, f"k{number}")
                await anyio.sleep(0.01)
    versions = set()
    for output, end in ends:
        assert isinstance(end, messages.RunEnd)
        assert output == _expected(end.version)
        versions.add(end.version)
    assert versions == {"v1", "v2"}


async def test_new_version_finds_no_block_of_the_old_one() -> None:
    quick = engine.EngineSettings(load_s=0.05)
    async with (
        site.open_site() as opened,
        site.open_engine_agent(opened, settings=quick),
    ):
        await _run_prompt(opened, "before")
        opened.set_version("v2")
        with anyio.fail_after(5):
            while opened.engines["engine-1"].version != "v2":
                await anyio.sleep(0.01)
        output, end = await _run_prompt(opened, "after")
        assert isinstance(end, messages.RunEnd)
        assert (end.version, end.resident_tokens) == ("v2", 0)
        assert output == _expected("v2")


async def test_swap_by_a_foreign_process_gives_no_wrong_answer() -> None:
    async with (
        site.open_site() as opened,
        site.open_engine_agent(opened),
    ):
        await _run_prompt(opened, "before")
        opened.engines["engine-1"].version = "v2"
        output, end = await _run_prompt(opened, "during")
        assert output == []
        assert isinstance(end, messages.Refused)
        assert end.reason == "version_changed"
