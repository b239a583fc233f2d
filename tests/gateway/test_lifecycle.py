from __future__ import annotations

import contextlib
import socket
import typing

import anyio
import anyio.abc
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.gateway import lifecycle
from cactusstile.sites import model

pytestmark = pytest.mark.anyio


async def test_readiness_requires_configuration_and_targets() -> None:
    async with support.open_harness(None) as harness:
        state = lifecycle.Lifecycle(harness.site)
        assert not state.is_ready()
        harness.site.replace_configuration(support.configuration())
        assert state.is_ready()


async def test_drain_finishes_requests_and_refuses_new_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lifecycle, "NOTICE_S", 0.1)
    monkeypatch.setattr(lifecycle, "ACCEPT_S", 0.2)

    async def answer_late(stream: object, request: bytes) -> bool:
        await anyio.sleep(0.6)
        return await raw_target.answer()(stream, request)  # type: ignore[arg-type]

    config = support.configuration(support.route())
    async with (
        raw_target.open_target(answer_late) as target,
        support.open_harness(config, target) as harness,
        anyio.create_task_group() as group,
    ):
        state = lifecycle.Lifecycle(harness.site)
        stream = await harness.connect()
        idle = await harness.connect()
        await stream.send(support.request())
        while not target.requests:
            await anyio.sleep(0.01)
        group.start_soon(state.drain, harness.serving, 8.0)
        await anyio.sleep(0.4)
        assert not state.is_ready()
        assert await support.read_to_end(idle) == b""
        with pytest.raises(OSError, match="connect"):
            await harness.connect()
        assert support.status(await support.read_to_end(stream)) == 200
        await stream.aclose()
        await idle.aclose()


# Guards against a stream that begins too late before a stop and is cut off.
async def test_request_after_an_answer_is_not_passed_on_once_none_is_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lifecycle, "NOTICE_S", 0.05)
    monkeypatch.setattr(lifecycle, "ACCEPT_S", 0.1)
    monkeypatch.setattr(lifecycle, "POLL_INTERVAL_S", 0.2)
    gate = anyio.Event()
    begin = raw_target.stream_events([1], whole=False)

    async def end_body(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        del request
        await stream.send(b"0\r\n\r\n")
        return True

    config = support.configuration(support.route(model.Kind.STREAM))
    async with (
        raw_target.open_target(
            raw_target.in_turn(begin, gate, end_body), raw_target.silent()
        ) as target,
        support.open_harness(config, target) as harness,
        anyio.create_task_group() as group,
    ):
        request = support.request().replace(b"Connection: close\r\n", b"")
        stream = await harness.connect()
        await stream.send(request)
        data = await stream.receive()
        while b"id: 1" not in data:
            data += await stream.receive()
        assert b"connection: close" not in data.lower()
        state = lifecycle.Lifecycle(harness.site)
        group.start_soon(state.drain, harness.serving, 1.0)
        await anyio.sleep(0.35)
        gate.set()
        while not data.endswith(b"0\r\n\r\n"):
            data += await stream.receive()
        with contextlib.suppress(anyio.BrokenResourceError):
            await stream.send(request)
        assert await support.read_to_end(stream) == b""
        assert len(target.requests) == 1
        await stream.aclose()


# Guards against a request that is passed on while the process already ends.
@pytest.mark.parametrize("stop_s", [8.0, 0.3])
async def test_nothing_is_accepted_once_a_drain_has_ended(
    monkeypatch: pytest.MonkeyPatch, stop_s: float
) -> None:
    monkeypatch.setattr(lifecycle, "NOTICE_S", 0.1)
    config = support.configuration(support.route())
    async with (
        raw_target.open_target(raw_target.answer()) as target,
        support.open_harness(config, target) as harness,
    ):
        state = lifecycle.Lifecycle(harness.site)
        await state.drain(harness.serving, stop_s)
        assert not harness.serving.takes_requests
        with contextlib.suppress(OSError, anyio.BrokenResourceError):
            async with await harness.connect() as stream:
                await stream.send(support.request())
                assert await support.read_to_end(stream) == b""
        assert not target.requests


# Guards against a stream that waits while a stop begins and is cut off.
async def test_stream_that_waited_and_outlasts_the_stop_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    config = support.configuration(support.route(model.Kind.STREAM))
    async with (
        raw_target.open_target(raw_target.stream_events([1])) as target,
        support.open_harness(config, target) as harness,
    ):
        queue = harness.forwarder.queue
        choose_target = queue.choose_target

        async def wait(*arguments: typing.Any) -> typing.Any:
            harness.forwarder.stop_at_s = anyio.current_time() + 0.5
            return await choose_target(*arguments)

        monkeypatch.setattr(queue, "choose_target", wait)
        tokens = b"X-Cactusstile-Token-Usage: 9,900\r\n"
        data = await harness.ask(support.request(b"POST", tokens))
        assert support.status(data) == 503
        assert not target.requests


# Guards against a stream that is cut off as only short ones have ended so far.
async def test_short_streams_that_end_first_pass_for_the_pace_of_all() -> None:
    gate = anyio.Event()
    begin = raw_target.stream_events([1], whole=False)
    end = raw_target.send_raw(b"0\r\n\r\n", keep=True)
    short = raw_target.stream_events([1])
    usage = b"X-Cactusstile-Token-Usage: 9,900\r\nX-Cactusstile-Length-Hint: "
    config = support.configuration(support.route(model.Kind.STREAM))
    async with (
        raw_target.open_target(
            raw_target.in_turn(begin, gate, end), short, short
        ) as target,
        support.open_harness(config, target) as harness,
    ):
        stream = await harness.connect()
        await stream.send(support.request(b"POST", usage + b"20\r\n"))
        while not target.requests:
            await anyio.sleep(0.01)
        await harness.ask(support.request(b"POST", usage + b"20\r\n"))
        await anyio.sleep(0.2)
        harness.forwarder.stop_at_s = anyio.current_time() + 3.0
        data = await harness.ask(support.request(b"POST", usage + b"20\r\n"))
        assert support.status(data) == 503
        gate.set()
        await stream.aclose()


async def test_drain_gives_the_longest_stream_all_but_a_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The longest streams need all of the time until the platform's kill."""
    monkeypatch.setattr(lifecycle, "NOTICE_S", 0.1)
    monkeypatch.setattr(lifecycle, "ACCEPT_S", 0.2)
    config = support.configuration(support.route())
    async with (
        raw_target.open_target(raw_target.silent()) as target,
        support.open_harness(config, target) as harness,
    ):
        state = lifecycle.Lifecycle(harness.site)
        stream = await harness.connect()
        await stream.send(support.request())
        while not target.requests:
            await anyio.sleep(0.01)
        began_s = anyio.current_time()
        await state.drain(harness.serving, 1.0)
        assert 0.8 <= anyio.current_time() - began_s < 1.0
        await stream.aclose()


# Guards against requests that were read ahead and end without an answer.
@pytest.mark.parametrize("accept_s", [0.1, 5.0])
async def test_requests_sent_ahead_are_dropped_at_a_stop(
    monkeypatch: pytest.MonkeyPatch, accept_s: float
) -> None:
    monkeypatch.setattr(lifecycle, "NOTICE_S", 0.05)
    monkeypatch.setattr(lifecycle, "ACCEPT_S", accept_s)
    gate = anyio.Event()

    async def answer(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        await gate.wait()
        return await raw_target.answer()(stream, request)

    config = support.configuration(support.route())
    async with (
        raw_target.open_target(*[answer] * 3) as target,
        support.open_harness(config, target) as harness,
        anyio.create_task_group() as group,
    ):
        request = support.request().replace(b"Connection: close\r\n", b"")
        async with await harness.connect() as stream:
            await stream.send(3 * request)
            while not target.requests:
                await anyio.sleep(0.01)
            state = lifecycle.Lifecycle(harness.site)
            group.start_soon(state.drain, harness.serving, 8.0)
            await anyio.sleep(0.3)
            gate.set()
            data = await support.read_to_end(stream)
        served = 3 if accept_s > 1 else 1
        assert data.count(b"HTTP/1.1 200") == served
        assert data.count(b"HTTP/1.1 ") == min(3, served + 1)
        assert data.lower().count(b"connection: close") == 1


# Guards against requests that came in a pause and are reset with the listener.
async def test_connections_that_wait_at_the_end_of_a_stop_are_reset() -> None:
    config = support.configuration(support.route())
    async with (
        raw_target.open_target(raw_target.answer()) as target,
        support.open_harness(config, target) as harness,
    ):
        place = harness.listen_address
        with (
            socket.create_connection((place.host, place.port)) as waiting,
            socket.create_connection((place.host, place.port)) as silent,
        ):
            waiting.sendall(support.request())
            harness.serving.take_no_more()
            for caller, expected in ((waiting, b"HTTP/1.1 503"), (silent, b"")):
                caller.setblocking(False)
                await anyio.wait_readable(caller)
                assert caller.recv(4096)[:12] == expected
        assert not target.requests
