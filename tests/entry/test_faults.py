"""Faults of agents, engines and callers, seen from the caller."""

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

LOST = messages.to_refused(
    verdict.Refusal(
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Reason.TARGET_LOST,
        "the engine died",
        0.5,
    )
)


def _play(
    agent: scripted_agent.ScriptedAgent,
    *batches: tuple[int, int],
    final: messages.Refused | None = None,
) -> None:
    """Makes an agent send these batches, then an end."""

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


def _pair() -> list[scripted_agent.ScriptedAgent]:
    """Returns two agents of which the first is always preferred."""
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
    _play(site.agents[0], *batches)
    events = await site.stream()
    assert support.text_of(events) == support.expected_text()
    assert events[-1] == "[DONE]"
    is_duplicate = batches[:2] == [(0, 4), (0, 4)]
    assert bool(site.agents[0].attaches) != is_duplicate


async def test_late_batches_of_another_run_reach_no_caller() -> None:
    """Two requests share a connection; each sees only its own output."""
    agent = scripted_agent.ScriptedAgent(batch_interval_s=0.002)
    async with support.open_site([agent]) as site:
        texts: dict[int, str] = {}

        async def ask(size: int) -> None:
            texts[size] = support.text_of(await site.stream(size))

        async with anyio.create_task_group() as group:
            for size in range(10, 40):
                group.start_soon(ask, size)
    for size, text in texts.items():
        assert text == support.expected_text(size)


async def test_repeatable_run_goes_on_elsewhere_after_engines_loss() -> None:
    agents = _pair()
    _play(agents[0], (0, 4), final=LOST)
    async with support.open_site(agents) as site:
        events = await site.stream()
    assert support.text_of(events) == support.expected_text()
    assert events[-1] == "[DONE]"
    continued = agents[1].runs[0]
    assert len(continued.generated) == 4
    assert (continued.version, continued.attempt) == ("v1", 1)
    assert continued.request_key == agents[0].runs[0].request_key


async def test_run_does_not_go_on_with_another_weight_version() -> None:
    agents = _pair()
    agents[1].version = "v2"
    _play(agents[0], (0, 4), final=LOST)
    async with support.open_site(agents) as site:
        events = await site.stream()
    assert agents[1].runs == []
    error = json.loads(events[-1])["error"]
    assert error["verdict"] == "may_have_run"


async def test_unrepeatable_run_ends_in_truthful_error() -> None:
    agents = _pair()
    _play(agents[0], (0, 4), final=LOST)
    async with support.open_site(agents) as site:
        events = await site.stream(Cactusstile_Repeatable="no")
        whole = await site.complete(Cactusstile_Repeatable="no")
    assert agents[1].runs == []
    error = json.loads(events[-1])["error"]
    assert (error["verdict"], error["code"]) == ("may_have_run", "target_lost")
    assert whole.status == 502
    assert support.header(whole, "cactusstile-verdict") == "may_have_run"
    assert support.header(whole, "x-should-retry") == "false"


async def test_unrepeatable_run_goes_elsewhere_when_surely_not_run() -> None:
    agents = _pair()
    _play(agents[0], final=scripted_agent.not_run())
    async with support.open_site(agents) as site:
        events = await site.stream(Cactusstile_Repeatable="no")
    assert support.text_of(events) == support.expected_text()
    assert len(agents[1].runs) == 1


async def test_not_run_is_never_told_after_an_attempt_that_may_have() -> None:
    agents = _pair()
    _play(agents[0], final=LOST)
    _play(agents[1], final=scripted_agent.not_run())
    async with support.open_site(agents) as site:
        response = await site.complete()
    assert [len(agent.runs) for agent in agents] == [1, 1]
    assert support.header(response, "cactusstile-verdict") == "may_have_run"


async def test_restarted_agents_ignorance_does_not_mean_not_run() -> None:
    """An agent that lost its state refuses the attach as unknown."""
    agents = _pair()

    async def vanish(
        responder: incoming.Responder, run: messages.Run
    ) -> object:
        agents[0].runs.clear()
        await responder.send(scripted_agent.output_batch(run, 0, 2))
        return scripted_agent.run_end(run)

    agents[0].script = vanish
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
    agents = _pair()
    for agent in agents:
        _play(agent, final=scripted_agent.not_run())
    async with support.open_site(agents) as site:
        site.entry.dispatcher.budget.balance = 2
        for _ in range(10):
            response = await site.complete()
            assert response.status in (429, 503)
    attempts = sum(len(agent.runs) for agent in agents)
    assert attempts <= 10 + 2 + 1


async def test_caller_that_leaves_cancels_its_run(site: support.Site) -> None:
    agent = site.agents[0]
    agent.batch_interval_s = 0.02
    bound = site.entry.callers_address()
    async with await anyio.connect_tcp(bound.host, bound.port) as raw:
        await raw.send(_raw_request(4000))
        await raw.receive()
    with anyio.fail_after(2):
        await agent.was_cancelled.wait()
    assert site.entry.bounds.in_flight.total == 0


async def test_caller_that_reads_nothing_is_given_up(
    site: support.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(body, "STALL_LIMIT_S", 0.3)
    agent = site.agents[0]

    async def flood(responder: incoming.Responder, run: messages.Run) -> object:
        for first in range(0, run.max_tokens, 256):
            tokens = tuple(range(256))
            await responder.send(
                messages.RunTokens(first, tokens, "x" * 100_000)
            )
        return scripted_agent.run_end(run)

    agent.script = flood
    bound = site.entry.callers_address()
    async with await anyio.connect_tcp(bound.host, bound.port) as raw:
        await raw.send(_raw_request(32_768))
        with anyio.fail_after(3):
            await agent.was_cancelled.wait()


async def test_slow_caller_stops_the_agent_and_gets_all(
    site: support.Site,
) -> None:
    """The bounds on the way are the window and the sockets' buffers."""
    agent = site.agents[0]
    agent.batch_tokens = 256
    sent = 0

    async def flood(responder: incoming.Responder, run: messages.Run) -> object:
        nonlocal sent
        for first in range(0, run.max_tokens, 256):
            batch = messages.RunTokens(first, tuple(range(256)), "x" * 40_000)
            await responder.send(batch)
            sent += len(batch.text)
        return scripted_agent.run_end(run)

    agent.script = flood
    bound = site.entry.callers_address()
    received = b""
    with socket.socket() as near:
        near.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        near.connect((bound.host, bound.port))
        near.setblocking(False)
        near.send(_raw_request(32_768))
        await anyio.sleep(0.5)
        early = sent
        with anyio.fail_after(10):
            while b"[DONE]" not in received[-1000:]:
                await anyio.wait_readable(near)
                received += near.recv(65_536)
    window = stream.WINDOW_BYTES + 2 * http_listener.SEND_BUFFER_BYTES
    assert early <= window + 1_000_000
    assert sent == 128 * 40_000
    assert received.count(b"x") >= sent


async def test_burst_of_callers_is_served_or_refused_at_once(
    site: support.Site,
) -> None:
    """Without a gate all probes of a burst time out together."""
    agent = site.agents[0]
    probing = 0
    most = 0
    answer = agent.answer_probe

    async def count(
        responder: incoming.Responder, probe: messages.Probe
    ) -> object:
        nonlocal probing, most
        probing += 1
        most = max(most, probing)
        await anyio.sleep(0.1)
        probing -= 1
        return await answer(responder, probe)

    agent.answer_probe = count
    statuses: list[int] = []

    async def ask() -> None:
        statuses.append((await site.complete(1)).status)

    async with anyio.create_task_group() as group:
        for _ in range(60):
            group.start_soon(ask)
    assert most <= probes.MAX_PROBING
    assert statuses == [200] * 60
