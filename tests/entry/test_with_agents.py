"""An entry in front of real agents with fake targets beside them."""

from __future__ import annotations

import collections.abc
import contextlib
import json

import anyio
import httpcore
import pytest
from tests.entry import support

from cactusstile import tokens
from cactusstile.entry import daemon
from cactusstile.fakes import engine
from cactusstile.fakes import oracle
from cactusstile.fakes import site as fake_site

pytestmark = pytest.mark.anyio

SLOW = engine.EngineSettings(time_scale=0.5)
PROMPT = "What is behind tag 7? " * 8


@contextlib.asynccontextmanager
async def _open_entry(
    opened: fake_site.Site,
) -> collections.abc.AsyncIterator[support.Caller]:
    parts = daemon.Parts(opened.fleet_holder, opened.peers, support.KEYS.get)
    async with (
        daemon.open_entry(support.settings(), parts) as entry,
        httpcore.AsyncConnectionPool(max_connections=50) as http,
    ):
        yield support.Caller(f"http://{entry.callers_address()}", http)


def _expected(count: int, workspace: str = "bank") -> str:
    scope = tokens.Scope(workspace, fake_site.DEPLOYMENT, "v1")
    prompt = tokens.byte_tokenizer(PROMPT)
    return oracle.detokenize(oracle.answer(scope, prompt, count))


async def _ask(
    caller: support.Caller, count: int, key: str = "key-of-bank"
) -> list[str]:
    body = {
        "model": "chat",
        "prompt": PROMPT,
        "max_tokens": count,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    response = await caller.request("/v1/completions", body, key=key)
    assert response.status == 200, response.content
    events = response.content.decode().split("\n\n")[:-1]
    return [event.removeprefix("data: ") for event in events]


async def test_returning_prompt_is_right_and_not_recomputed() -> None:
    async with (
        fake_site.open_site() as opened,
        fake_site.open_engine_agent(opened, "engine-1"),
        fake_site.open_engine_agent(opened, "engine-2"),
        _open_entry(opened) as caller,
    ):
        first = await _ask(caller, 12)
        again = await _ask(caller, 12)
        other = await _ask(caller, 12, "key-of-clinic")
    assert support.text_of(first) == _expected(12)
    assert support.text_of(again) == _expected(12)
    assert support.text_of(other) == _expected(12, "clinic")
    cached = [
        json.loads(events[-2])["usage"]["prompt_tokens_details"][
            "cached_tokens"
        ]
        for events in (first, again, other)
    ]
    assert cached == [0, len(PROMPT) // 4 // 16 * 16, 0]


async def test_streams_go_on_elsewhere_when_their_agent_dies() -> None:
    """One of two agents ends at once while many streams are under way."""
    texts: list[str] = []
    started, die = anyio.Event(), anyio.Event()

    async def live_and_die(opened: fake_site.Site) -> None:
        async with fake_site.open_engine_agent(opened, "engine-1", SLOW):
            started.set()
            await die.wait()

    async def ask(caller: support.Caller) -> None:
        events = await _ask(caller, 60)
        assert events[-1] == "[DONE]", events[-1]
        texts.append(support.text_of(events))

    async with (
        fake_site.open_site() as opened,
        fake_site.open_engine_agent(opened, "engine-2", SLOW),
        _open_entry(opened) as caller,
        anyio.create_task_group() as group,
    ):
        group.start_soon(live_and_die, opened)
        await started.wait()
        for _ in range(12):
            group.start_soon(ask, caller)
        await anyio.sleep(0.35)
        assert opened.agents["engine-1"].node.busy
        die.set()
    assert texts == [_expected(60)] * 12


async def test_service_call_lands_once_though_its_answer_is_lost() -> None:
    async with (
        fake_site.open_site() as opened,
        fake_site.open_service_agent(opened, "service-1"),
        fake_site.open_service_agent(opened, "service-2"),
        _open_entry(opened) as caller,
    ):
        for service in opened.services.values():
            service.answers_to_drop = 1
        for _ in range(4):
            response = await caller.request(
                "/services/inventory/stock",
                b"+1",
                headers={"Idempotency-Key": "scan-7"},
            )
            found = support.header(response, "cactusstile-verdict")
            assert found in ("may_have_run", "has_run")
        landed = [len(service.ledger) for service in opened.services.values()]
    assert sum(landed) == 1
