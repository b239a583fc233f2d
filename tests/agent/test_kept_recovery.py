from __future__ import annotations

import anyio
import attrs
import pytest

from cactusstile import tokens
from cactusstile.agent import messages
from cactusstile.fakes import engine
from cactusstile.fakes import oracle
from cactusstile.fakes import site
from cactusstile.store import client
from cactusstile.transport import address

pytestmark = pytest.mark.anyio

SCOPE = tokens.Scope("bank", site.DEPLOYMENT, "v1")
SETTINGS = engine.EngineSettings(prompt_token_s=0.0002, output_token_s=0.001)
PROMPTS = [tuple(range(first, first + 320)) for first in (1000, 2000, 3000)]


async def _run_prompt(opened: site.Site, number: int, key: str) -> None:
    run = messages.Run(
        request_key=key,
        attempt=0,
        workspace="bank",
        deployment=site.DEPLOYMENT,
        version="",
        adapter="",
        tokens=PROMPTS[number],
        max_tokens=4,
        prefix_key=b"conversation-%d" % number,
    )
    connection = await opened.peers.connect(opened.agents["engine-1"].bound)
    output: list[int] = []
    async with connection.open_stream(run) as stream:
        async for item in stream:
            assert isinstance(item, messages.RunTokens)
            output += item.tokens
    assert output == oracle.answer(SCOPE, PROMPTS[number], 4)


def _count_stored(opened: site.Site, store: str) -> int:
    records = opened.stores[store].stored.records
    keys = [
        key for prompt in PROMPTS for key in tokens.block_keys(SCOPE, prompt)
    ]
    return sum(key in records for key in keys)


def _make_unreachable(opened: site.Site, store: str) -> None:
    """Keeps a store in the fleet, at an address without a listener."""
    targets = dict(opened.fleet_holder.fleet.targets)
    dead = address.Address("127.0.0.1", 9)
    targets[store] = attrs.evolve(targets[store], agent=dead)
    opened.apply(targets=targets)


async def test_lost_store_is_refilled_from_engines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Prompts that have not returned since the loss are exported as well."""
    monkeypatch.setattr(client, "AVOID_FAILED_S", 0.02)
    total = sum(len(prompt) // tokens.BLOCK_TOKENS for prompt in PROMPTS)
    async with (
        site.open_site() as opened,
        site.open_store(opened, "store-1"),
        site.open_engine_agent(opened, "engine-1", SETTINGS),
    ):
        with anyio.fail_after(10):
            for number in range(len(PROMPTS)):
                await _run_prompt(opened, number, f"first-{number}")
            while _count_stored(opened, "store-1") < total:
                await anyio.sleep(0.01)
            async with site.open_store(opened, "store-2"):
                _make_unreachable(opened, "store-1")
                repeat_count = 0
                while _count_stored(opened, "store-2") < total:
                    repeat_count += 1
                    await _run_prompt(opened, 0, f"again-{repeat_count}")
                    await anyio.sleep(0.03)
