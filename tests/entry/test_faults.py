"""Faults of agents, engines and callers, observed at the caller."""

from __future__ import annotations

import json
import socket

import anyio
import attrs
import pytest
from tests.entry import support

from cactusstile import verdict
from cactusstile.agent import messages
from cactusstile.entry import probes
from cactusstile.fakes import scripted_agent
from cactusstile.filters import body
from cactusstile.observability import http_listener
from cactusstile.transport import incoming
from cactusstile.transport import stream

pytestmark = pytest.mark.anyio

TARGET_LOST_REFUSAL = messages.to_refused(
    verdict.Refusal(
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Reason.TARGET_LOST,
        "the engine died",
        0.5,
    )
)


def _script_batches(
    agent: scripted_agent.ScriptedAgent,
    *batches: tuple[int, int],
    final: messages.Refused | None = None,
) -> None:
    """Makes an agent send batches of token ranges, then a final message."""

    async def script(
        responder: incoming.Responder, run: messages.Run
    ) -> object:
        for first, end in batches:
            await responder.send(scripted_agent.output_batch(run, first, end))
        return final or scripted_agent.run_end(run)

    agent.script = script


def _raw_request(max_tokens: int) -> bytes:
    content = {
        "model": "chat",
        "prompt": "x",
        "max_tokens": max_tokens,
        "stream": True,
    }
    data = json.dumps(content).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
        f"key-of-bank\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    return head.encode() + data


def _build_preferred_and_backup() -> list[scripted_agent.ScriptedAgent]:
    """Returns two agents; probes always favour the first."""
    first = scripted_agent.ScriptedAgent("engine-1")
    return [first, scripted_agent.ScriptedAgent("engine-2", wait_ms=50)]


@pytest.mark.parametrize(
    "batches",
    [
        [(0, 4), (0, 4), (4, 8)],
        [(0, 2), (4, 6), (6, 8)],
        [(4, 8), (0, 4)],
        [(0, 4), (2, 8)],
        [(0, 4)],
        [],
    ],
    ids=["duplicate", "gap", "out-of-order", "overlap", "cut", "only-end"],
)
async def test_stream_is_whole_whatever_arrives(
    site: support.Site, batches: list[tuple[int, int]]
) -> None:
    _script_batches(site.agents[0], *batches)
    events = await site.stream()
    assert support.text_of(events) == support.expected_text()
    assert events[-1] == "[DONE]"
    is_duplicate = batches[:2] == [(0, 4), (0, 4)]
    assert bool(site.agents[0].attaches) != is_duplicate


async def test_late_batches_of_another_run_reach_no_caller() -> None:
    """Guards against a mix-up of streams that share an agent connection."""
    agent = scripted_agent.ScriptedAgent(batch_interval_s=0.002)
    async with support.open_site([agent]) as site:
        texts: dict[int, str] = {}

        async def send_request(size: int) -> None:
            texts[size] = support.text_of(await site.stream(size))

        async with anyio.create_task_group() as group:
            for size in range(10, 40):
                group.start_soon(send_request, size)
    for size, text in texts.items():
        assert text == support.expected_text(size)


async def test_prompt_is_refused_because_the_first_to_reply_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    agents = [
        scripted_agent.ScriptedAgent("engine-1", leaving=True),
        scripted_agent.ScriptedAgent("engine-2"),
    ]
    reply = scripted_agent.ScriptedAgent._probe

    async def reply_late(
        agent: scripted_agent.ScriptedAgent,
        responder: incoming.Responder,
        probe: messages.Probe,
    ) -> object:
        if not agent.leaving:
            await anyio.sleep(2 * probes.STRAGGLER_GRACE_S)
        return await reply(agent, responder, probe)

    monkeypatch.setattr(scripted_agent.ScriptedAgent, "_probe", reply_late)
    async with support.open_site(agents) as site:
        response = await site.complete()
    assert response.status == 200
    assert len(agents[1].runs) == 1


async def test_repeatable_run_resumes_elsewhere_after_engine_loss() -> None:
    agents = _build_preferred_and_backup()
    _script_batches(agents[0], (0, 4), final=TARGET_LOST_REFUSAL)
    async with support.open_site(agents) as site:
        events = await site.stream()
    assert support.text_of(events) == support.expected_text()
    assert events[-1] == "[DONE]"
    continued = agents[1].runs[0]
    assert len(continued.generated) == 4
    assert (continued.version, continued.attempt) == ("v1", 1)
    assert continued.request_key == agents[0].runs[0].request_key


async def test_run_does_not_resume_with_another_weight_version() -> None:
    agents = _build_preferred_and_backup()
    agents[1].version = "v2"
    _script_batches(agents[0], (0, 4), final=TARGET_LOST_REFUSAL)
    async with support.open_site(agents) as site:
        events = await site.stream()
    assert agents[1].runs == []
    error = json.loads(events[-1])["error"]
    assert error["verdict"] == "may_have_run"


async def test_non_repeatable_run_on_lost_target_reports_may_have_run() -> None:
    agents = _build_preferred_and_backup()
    _script_batches(agents[0], (0, 4), final=TARGET_LOST_REFUSAL)
    async with support.open_site(agents) as site:
        events = await site.stream(Cactusstile_Repeatable="no")
        response = await site.complete(Cactusstile_Repeatable="no")
    assert agents[1].runs == []
    error = json.loads(events[-1])["error"]
    assert (error["verdict"], error["code"]) == ("may_have_run", "target_lost")
    assert response.status == 502
    assert support.header(response, "cactusstile-verdict") == "may_have_run"
    assert support.header(response, "x-should-retry") == "false"


async def test_non_repeatable_run_is_retried_if_it_was_not_run() -> None:
    agents = _build_preferred_and_backup()
    _script_batches(agents[0], final=scripted_agent.not_run())
    async with support.open_site(agents) as site:
        events = await site.stream(Cactusstile_Repeatable="no")
    assert support.text_of(events) == support.expected_text()
    assert len(agents[1].runs) == 1


async def test_not_run_is_never_told_after_an_attempt_that_may_have() -> None:
    agents = _build_preferred_and_backup()
    _script_batches(agents[0], final=TARGET_LOST_REFUSAL)
    _script_batches(agents[1], final=scripted_agent.not_run())
    async with support.open_site(agents) as site:
        response = await site.complete()
    assert [len(agent.runs) for agent in agents] == [1, 1]
    assert support.header(response, "cactusstile-verdict") == "may_have_run"


async def test_attach_refused_by_restarted_agent_is_not_trusted() -> None:
    """Guards against trusting an agent that lost its record of the run.

    It refuses the attach as "not run" although the run was started.
    """
    agents = _build_preferred_and_backup()

    async def lose_state(
        responder: incoming.Responder, run: messages.Run
    ) -> object:
        agents[0].runs.clear()
        await responder.send(scripted_agent.output_batch(run, 0, 2))
        return scripted_agent.run_end(run)

    agents[0].script = lose_state
    async with support.open_site(agents) as site:
        response = await site.complete(Cactusstile_Repeatable="no")
    assert len(agents[0].attaches) == 1
    assert agents[1].runs == []
    assert support.header(response, "cactusstile-verdict") == "may_have_run"


async def test_end_with_wrong_count_never_looks_whole(
    site: support.Site,
) -> None:
    async def overcount(
        responder: incoming.Responder, run: messages.Run
    ) -> object:
        await responder.send(scripted_agent.output_batch(run, 0, 8))
        return attrs.evolve(scripted_agent.run_end(run), count=5)

    site.agents[0].script = overcount
    events = await site.stream()
    assert "[DONE]" not in events
    assert json.loads(events[-1])["error"]["verdict"] == "may_have_run"


async def test_retries_stay_within_the_budget() -> None:
    agents = _build_preferred_and_backup()
    for agent in agents:
        _script_batches(agent, final=scripted_agent.not_run())
    async with support.open_site(agents) as site:
        site.entry.dispatcher.budget.balance = 2
        for _ in range(10):
            response = await site.complete()
            assert response.status in (429, 503)
    attempts = sum(len(agent.runs) for agent in agents)
    assert attempts <= 10 + 2 + 1


async def test_run_of_disconnected_caller_is_cancelled(
    site: support.Site,
) -> None:
    agent = site.agents[0]
    agent.batch_interval_s = 0.02
    bound = site.entry.callers_address()
    async with await anyio.connect_tcp(bound.host, bound.port) as client:
        await client.send(_raw_request(4000))
        await client.receive()
    with anyio.fail_after(2):
        await agent.was_cancelled.wait()
    assert site.entry.bounds.in_flight.total == 0


async def test_run_of_caller_that_stops_reading_is_cancelled(
    site: support.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(body, "STALL_LIMIT_S", 0.3)
    agent = site.agents[0]

    async def send_large_batches(
        responder: incoming.Responder, run: messages.Run
    ) -> object:
        for first in range(0, run.max_tokens, 256):
            tokens = tuple(range(256))
            await responder.send(
                messages.RunTokens(first, tokens, "x" * 100_000)
            )
        return scripted_agent.run_end(run)

    agent.script = send_large_batches
    bound = site.entry.callers_address()
    async with await anyio.connect_tcp(bound.host, bound.port) as client:
        await client.send(_raw_request(32_768))
        with anyio.fail_after(3):
            await agent.was_cancelled.wait()


async def test_slow_caller_gets_complete_stream_with_bounded_buffering(
    site: support.Site,
) -> None:
    """Guards against buffering beyond stream window and socket buffers."""
    agent = site.agents[0]
    agent.batch_tokens = 256
    sent = 0

    async def send_large_batches(
        responder: incoming.Responder, run: messages.Run
    ) -> object:
        nonlocal sent
        for first in range(0, run.max_tokens, 256):
            batch = messages.RunTokens(first, tuple(range(256)), "x" * 40_000)
            await responder.send(batch)
            sent += len(batch.text)
        return scripted_agent.run_end(run)

    agent.script = send_large_batches
    bound = site.entry.callers_address()
    received = b""
    with socket.socket() as reader:
        reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        reader.connect((bound.host, bound.port))
        reader.setblocking(False)
        reader.send(_raw_request(32_768))
        await anyio.sleep(0.5)
        sent_before_reading = sent
        with anyio.fail_after(10):
            while b"[DONE]" not in received[-1000:]:
                await anyio.wait_readable(reader)
                received += reader.recv(65_536)
    max_buffered_bytes = (
        stream.WINDOW_BYTES + 2 * http_listener.SEND_BUFFER_BYTES
    )
    assert sent_before_reading <= max_buffered_bytes + 1_000_000
    assert sent == 128 * 40_000
    assert received.count(b"x") >= sent


async def test_burst_of_callers_is_served_or_refused_at_once(
    site: support.Site,
) -> None:
    """Guards against a burst in which all concurrent probes time out."""
    agent = site.agents[0]
    probing = 0
    max_probing = 0
    answer_probe = agent.answer_probe

    async def count_probes(
        responder: incoming.Responder, probe: messages.Probe
    ) -> object:
        nonlocal probing, max_probing
        probing += 1
        max_probing = max(max_probing, probing)
        await anyio.sleep(0.1)
        probing -= 1
        return await answer_probe(responder, probe)

    agent.answer_probe = count_probes
    statuses: list[int] = []

    async def send_request() -> None:
        statuses.append((await site.complete(1)).status)

    async with anyio.create_task_group() as group:
        for _ in range(60):
            group.start_soon(send_request)
    assert max_probing <= probes.MAX_PROBING_REQUESTS
    assert statuses == [200] * 60
