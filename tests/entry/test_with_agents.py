"""An entry with real agents and fake targets."""

from __future__ import annotations

import json

import anyio
import pytest
from tests.entry import support

from cactusstile import tokens
from cactusstile.fakes import engine
from cactusstile.fakes import oracle
from cactusstile.fakes import site as fake_site

pytestmark = pytest.mark.anyio

SLOW = engine.EngineSettings(time_scale=0.5)
# One token a second: no stream of the tests ends there by itself.
STALLING = engine.EngineSettings(output_token_s=1.0)
START_TIMEOUT_S = 10.0
PROMPT = "What is behind tag 7? " * 8


def _expected_text(count: int, workspace: str = "bank") -> str:
    scope = tokens.Scope(workspace, fake_site.DEPLOYMENT, "v1")
    prompt = tokens.byte_tokenizer(PROMPT)
    return oracle.detokenize(oracle.answer(scope, prompt, count))


async def _stream_events(
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


async def _wait_until_streaming(served: engine.Engine) -> None:
    """Waits until an engine has produced a token of a stream."""
    with anyio.fail_after(START_TIMEOUT_S):
        while not any(stream.output for stream in served.streams.values()):
            await anyio.sleep(0.01)


async def test_repeated_prompt_reuses_blocks_within_its_workspace() -> None:
    async with (
        fake_site.open_site() as site,
        fake_site.open_engine_agent(site, "engine-1"),
        fake_site.open_engine_agent(site, "engine-2"),
        support.open_entry(site) as caller,
    ):
        first = await _stream_events(caller, 12)
        repeated = await _stream_events(caller, 12)
        other = await _stream_events(caller, 12, "key-of-clinic")
    assert support.text_of(first) == _expected_text(12)
    assert support.text_of(repeated) == _expected_text(12)
    assert support.text_of(other) == _expected_text(12, "clinic")
    cached = [
        json.loads(events[-2])["usage"]["prompt_tokens_details"][
            "cached_tokens"
        ]
        for events in (first, repeated, other)
    ]
    assert cached == [0, len(PROMPT) // 4 // 16 * 16, 0]


async def test_streams_go_on_elsewhere_when_their_agent_dies() -> None:
    """Guards against streams that end incomplete when their agent stops.

    One of two agents stops without draining while many streams are running.
    """
    texts: list[str] = []
    started, stop_agent = anyio.Event(), anyio.Event()

    async def run_agent_until_stopped(site: fake_site.Site) -> None:
        async with fake_site.open_engine_agent(site, "engine-1", STALLING):
            started.set()
            await stop_agent.wait()

    async def stream_completion(caller: support.Caller) -> None:
        events = await _stream_events(caller, 60)
        assert events[-1] == "[DONE]", events[-1]
        texts.append(support.text_of(events))

    async with (
        fake_site.open_site() as site,
        fake_site.open_engine_agent(site, "engine-2", SLOW),
        support.open_entry(site) as caller,
        anyio.create_task_group() as group,
    ):
        group.start_soon(run_agent_until_stopped, site)
        await started.wait()
        for _ in range(12):
            group.start_soon(stream_completion, caller)
        await _wait_until_streaming(site.engines["engine-1"])
        assert site.agents["engine-1"].node.busy
        stop_agent.set()
    assert texts == [_expected_text(60)] * 12


async def test_keyed_service_call_with_lost_answers_runs_once() -> None:
    async with (
        fake_site.open_site() as site,
        fake_site.open_service_agent(site, "service-1"),
        fake_site.open_service_agent(site, "service-2"),
        support.open_entry(site) as caller,
    ):
        for service in site.services.values():
            service.answers_to_drop = 1
        for _ in range(4):
            response = await caller.request(
                "/services/inventory/stock",
                b"+1",
                headers={"Idempotency-Key": "scan-7"},
            )
            call_verdict = support.header(response, "cactusstile-verdict")
            assert call_verdict in ("may_have_run", "has_run")
        call_counts = [
            len(service.ledger) for service in site.services.values()
        ]
    assert sum(call_counts) == 1
