from __future__ import annotations

import collections.abc
import typing

import anyio
import anyio.abc
import attrs
import pytest

from cactusstile import tokens
from cactusstile import verdict
from cactusstile.agent import engine_runs
from cactusstile.agent import messages
from cactusstile.agent import runs
from cactusstile.fakes import engine
from cactusstile.fakes import engine_app
from cactusstile.fakes import oracle
from cactusstile.fakes import serving
from cactusstile.fakes import site
from cactusstile.transport import address

pytestmark = pytest.mark.anyio

PROMPT = tuple(range(100, 180))
COUNT = 12
NOT_RUN = verdict.Verdict.NOT_RUN.value


def _run(key: str = "k1", **changes: object) -> messages.Run:
    run = messages.Run(
        request_key=key,
        attempt=0,
        workspace="bank",
        deployment=site.DEPLOYMENT,
        version="",
        adapter="",
        tokens=PROMPT,
        max_tokens=COUNT,
    )
    return attrs.evolve(run, **changes)  # type: ignore[arg-type]


async def _collect_output(
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
    return oracle.answer(scope, PROMPT, COUNT)


@pytest.fixture
async def opened() -> collections.abc.AsyncIterator[site.Site]:
    slow = engine.EngineSettings(output_token_s=0.02, slots=2)
    async with (
        site.open_site() as opened,
        site.open_engine_agent(opened, settings=slow),
    ):
        yield opened


async def test_run_streams_complete_answer(opened: site.Site) -> None:
    output, end = await _collect_output(opened, _run())
    assert output == _expected()
    assert end == messages.RunEnd(COUNT, "length", "v1", len(PROMPT), 0, 0)


async def test_caller_priority_is_not_sent_to_the_engine(
    opened: site.Site,
) -> None:
    """The engine's queue has no notion of workspaces; it orders by arrival."""
    await _collect_output(opened, _run(priority=100))
    submitted = [
        stream.submission.priority
        for stream in opened.engines["engine-1"].streams.values()
    ]
    assert submitted == [0]


async def test_end_is_sent_without_coalescing_delay(
    opened: site.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(runs, "COALESCE_INTERVAL_S", 5.0)
    with anyio.fail_after(2):
        output, _ = await _collect_output(opened, _run())
    assert output == _expected()


async def test_second_run_finds_resident_blocks(opened: site.Site) -> None:
    await _collect_output(opened, _run("first"))
    scope = tokens.Scope("bank", site.DEPLOYMENT, "v1")
    keys = tuple(tokens.block_keys(scope, PROMPT))
    probe = messages.Probe("bank", site.DEPLOYMENT, "", keys, 80, COUNT)
    reply = await opened.call("engine-1", probe)
    assert isinstance(reply, messages.ProbeReply)
    assert reply.resident_blocks == len(keys) == 5
    output, end = await _collect_output(opened, _run("second"))
    assert output == _expected()
    assert isinstance(end, messages.RunEnd)
    assert end.resident_tokens == 80


async def test_workspaces_do_not_share_blocks(opened: site.Site) -> None:
    await _collect_output(opened, _run("first"))
    output, end = await _collect_output(
        opened, _run("second", workspace="clinic")
    )
    assert output == _expected(workspace="clinic")
    assert isinstance(end, messages.RunEnd)
    assert end.resident_tokens == 0


async def test_second_run_of_a_live_key_joins_the_first(
    opened: site.Site,
) -> None:
    results = []

    async def collect() -> None:
        results.append(await _collect_output(opened, _run()))

    async with anyio.create_task_group() as group:
        group.start_soon(collect)
        await anyio.sleep(0.05)
        group.start_soon(collect)
    assert [output for output, _ in results] == [_expected()] * 2
    assert len(opened.engines["engine-1"].streams) == 1


async def test_same_key_in_another_workspace_is_another_run(
    opened: site.Site,
) -> None:
    await _collect_output(opened, _run())
    output, _ = await _collect_output(opened, _run(workspace="clinic"))
    assert output == _expected(workspace="clinic")


async def test_attach_resumes_at_an_index(opened: site.Site) -> None:
    connection = await opened.peers.connect(opened.agents["engine-1"].bound)
    output: list[int] = []
    async with connection.open_stream(_run()) as stream:
        async for item in stream:
            assert isinstance(item, messages.RunTokens)
            output += item.tokens
            if len(output) >= 3:
                break
    attach = messages.Attach("k1", "bank", len(output))
    async with connection.open_stream(attach) as stream:
        async for item in stream:
            assert isinstance(item, messages.RunTokens)
            output[item.first_index :] = item.tokens
        end = await stream.result()
    assert output == _expected()
    assert isinstance(end, messages.RunEnd)


@pytest.mark.parametrize("how", ["breaks", "truncations"])
async def test_broken_engine_stream_is_resumed(
    opened: site.Site, how: str
) -> None:
    setattr(opened.engines["engine-1"], how, [0, 3, 1, 2])
    output, end = await _collect_output(opened, _run())
    assert output == _expected()
    assert isinstance(end, messages.RunEnd)
    assert len(opened.engines["engine-1"].streams) == 1


async def test_lost_engine_stream_never_looks_whole(opened: site.Site) -> None:
    fake_engine = opened.engines["engine-1"]
    fake_engine.breaks = [4]

    async def clear_streams() -> None:
        while not fake_engine.streams:
            await anyio.sleep(0.01)
        fake_engine.streams.clear()

    async with anyio.create_task_group() as group:
        group.start_soon(clear_streams)
        output, end = await _collect_output(opened, _run())
    assert output == _expected()[: len(output)]
    assert isinstance(end, messages.Refused)
    assert end.verdict == verdict.Verdict.MAY_HAVE_RUN.value


async def test_abandoned_run_is_cancelled_and_frees_its_slot(
    opened: site.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(engine_runs, "ATTACH_GRACE_S", 0.05)
    with anyio.move_on_after(0.1):
        await _collect_output(opened, _run(max_tokens=10_000))
    await anyio.sleep(0.2)
    (stream,) = opened.engines["engine-1"].streams.values()
    assert stream.state == "cancelled"
    assert opened.agents["engine-1"].node.busy == 0


async def test_claimed_run_completes_without_caller_and_stores_answer(
    opened: site.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(engine_runs, "ATTACH_GRACE_S", 0.02)
    async with site.open_engine_agent(opened, "engine-2"):
        with anyio.move_on_after(0.1):
            await _collect_output(opened, _run(repeatable=False))
        await anyio.sleep(0.4)
        retry = _run(attempt=1, repeatable=False)
        output, end = await _collect_output(opened, retry, "engine-2")
        assert output == _expected()
        assert isinstance(end, messages.RunEnd)
        assert not opened.engines["engine-2"].streams


async def test_continued_run_returns_remaining_output(
    opened: site.Site,
) -> None:
    generated = tuple(_expected()[:5])
    connection = await opened.peers.connect(opened.agents["engine-1"].bound)
    output = list(generated)
    async with connection.open_stream(_run(generated=generated)) as stream:
        async for item in stream:
            assert isinstance(item, messages.RunTokens)
            assert item.first_index == len(output)
            output += item.tokens
        end = await stream.result()
    assert output == _expected()
    assert isinstance(end, messages.RunEnd)
    assert end.count == COUNT


async def test_queued_run_is_refused_at_its_deadline(
    opened: site.Site,
) -> None:
    async def fill(key: str) -> None:
        await _collect_output(opened, _run(key, max_tokens=60))

    async with anyio.create_task_group() as group:
        group.start_soon(fill, "a")
        group.start_soon(fill, "b")
        await anyio.sleep(0.1)
        started_s = anyio.current_time()
        _, end = await _collect_output(opened, _run("late", time_left_ms=100))
        assert anyio.current_time() - started_s < 0.5
        group.cancel_scope.cancel()
    assert isinstance(end, messages.Refused)
    assert (end.verdict, end.reason) == (NOT_RUN, "deadline_exceeded")
    assert end.retry_after_ms > 0
    streams = opened.engines["engine-1"].streams
    assert len(streams) == 2


async def test_full_queue_refuses_at_once(opened: site.Site) -> None:
    queue = opened.agents["engine-1"].node.admission.queue
    queue.bounds = attrs.evolve(queue.bounds, entries=2)

    async def fill(key: str) -> None:
        await _collect_output(opened, _run(key, max_tokens=60))

    async with anyio.create_task_group() as group:
        for key in "abcd":
            group.start_soon(fill, key)
        await anyio.sleep(0.2)
        with anyio.fail_after(0.5):
            _, end = await _collect_output(opened, _run("late"))
        group.cancel_scope.cancel()
    assert isinstance(end, messages.Refused)
    assert (end.verdict, end.reason) == (NOT_RUN, "overloaded")
    assert end.retry_after_ms > 0


async def test_run_is_refused_at_once_if_engine_is_unreachable() -> None:
    fake_engine = engine.Engine()
    stop = anyio.Event()

    async def serve(
        *, task_status: anyio.abc.TaskStatus[address.Address]
    ) -> None:
        app = engine_app.build_app(fake_engine)
        async with serving.open_app(app) as bound:
            task_status.started(bound)
            await stop.wait()

    async with (
        site.open_site() as lone_site,
        fake_engine.run(),
        anyio.create_task_group() as group,
    ):
        url = f"http://{await group.start(serve)}"
        async with site.open_agent(
            lone_site, "engine-1", "engine", url
        ) as running:
            stop.set()
            with anyio.fail_after(3):
                while running.ready():
                    await anyio.sleep(0.05)
            with anyio.fail_after(1):
                _, end = await _collect_output(lone_site, _run())
    assert isinstance(end, messages.Refused)
    assert (end.verdict, end.reason) == (NOT_RUN, "target_lost")


async def test_reservation_counts_against_the_next_probe(
    opened: site.Site,
) -> None:
    probe = messages.Probe(
        "bank", site.DEPLOYMENT, "", (), 5000, COUNT, reserve=True
    )
    replies = [await opened.call("engine-1", probe) for _ in range(3)]
    waits = []
    for reply in replies:
        assert isinstance(reply, messages.ProbeReply)
        waits.append((reply.queued_tokens, reply.wait_ms))
    assert waits == [(0, 0), (5000, 1000), (10_000, 2000)]
    await anyio.sleep(0.3)
    reply = await opened.call("engine-1", probe)
    assert isinstance(reply, messages.ProbeReply)
    assert reply.queued_tokens == 0


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"workspace": "stranger"}, "unauthenticated"),
        ({"workspace": "stranger", "revision": 99}, "stale_configuration"),
        ({"deployment": "other"}, "no_target"),
        ({"version": "v9"}, "version_changed"),
        ({"adapter": "none@1"}, "no_target"),
        ({"max_tokens": 1_000_000}, "too_large"),
        ({"tokens": ()}, "bad_request"),
    ],
)
async def test_refused_run_does_not_reach_the_engine(
    opened: site.Site, changes: dict[str, typing.Any], reason: str
) -> None:
    _, end = await _collect_output(opened, _run(**changes))
    assert isinstance(end, messages.Refused)
    assert (end.verdict, end.reason) == (NOT_RUN, reason)
    assert not opened.engines["engine-1"].streams
