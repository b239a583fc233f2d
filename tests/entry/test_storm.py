"""Overload by one workspace, with a real entry and agents, fake engines."""

from __future__ import annotations

import collections
import contextlib
import itertools

import anyio
import httpcore
import pytest
from tests.entry import support

from cactusstile.entry import daemon
from cactusstile.fakes import engine
from cactusstile.fakes import site as fake_site

pytestmark = pytest.mark.anyio

SPEED = engine.EngineSettings(prompt_token_s=0.001, output_token_s=0.0)
STORM_CALLERS = 24
LONG, SHORT = 800, 200
WINDOW_S = 0.5


def _count_prompts(
    site: fake_site.Site, workspace: str
) -> collections.Counter[str]:
    return collections.Counter(
        name
        for name, fake_engine in site.engines.items()
        for stream in fake_engine.streams.values()
        if stream.submission.workspace == workspace
    )


async def _wait_confined(site: fake_site.Site, entry: daemon.Entry) -> None:
    """Waits for a window in which the confined workspace uses one engine."""
    storming = {(fake_site.DEPLOYMENT, "bank")}
    while True:
        was_confined = entry.storm_confinement.confined == storming
        before = _count_prompts(site, "bank")
        await anyio.sleep(WINDOW_S)
        new = _count_prompts(site, "bank") - before
        if not was_confined or entry.storm_confinement.confined != storming:
            continue
        if len(new) == 1 and new.total() > 1:
            return


async def test_storm_is_confined_and_engines_stay_free_for_others() -> None:
    numbers = itertools.count()

    async def send_requests(
        caller: support.Caller, key: str, length: int
    ) -> None:
        while True:
            prompt = f"{next(numbers)} ".ljust(length, "x")
            body = {"model": "chat", "prompt": prompt, "max_tokens": 1}
            await caller.request("/v1/completions", body, key=key)
            await anyio.sleep(0.01)

    async with contextlib.AsyncExitStack() as stack:
        site = await stack.enter_async_context(fake_site.open_site())
        for number in range(3):
            await stack.enter_async_context(
                fake_site.open_engine_agent(site, f"engine-{number}", SPEED)
            )
        parts = daemon.Parts(site.fleet_holder, site.peers, support.KEYS.get)
        entry = await stack.enter_async_context(
            daemon.open_entry(support.settings(), parts)
        )
        http = await stack.enter_async_context(
            httpcore.AsyncConnectionPool(max_connections=50)
        )
        caller = support.Caller(f"http://{entry.callers_address()}", http)
        group = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(group.cancel_scope.cancel)
        group.start_soon(send_requests, caller, "key-of-clinic", SHORT)
        for _ in range(STORM_CALLERS):
            group.start_soon(send_requests, caller, "key-of-bank", LONG)
        with anyio.fail_after(15):
            await _wait_confined(site, entry)
