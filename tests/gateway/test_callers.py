from __future__ import annotations

import anyio
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.http import callers
from cactusstile.sites import model

pytestmark = pytest.mark.anyio
HEAD = b"POST /a/x HTTP/1.1\r\nHost: h\r\n"


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (
            HEAD + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            400,
        ),
        (HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (HEAD + b"Content-Length: -1\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: gzip\r\n\r\n", 501),
        (b"POST /a/x HTTP/1.1\r\nHost : h\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (HEAD + b"X: " + b"a" * 3000 + b"\r\n\r\n", 431),
        (HEAD + b"Content-Length: 99999\r\n\r\n", 413),
    ],
)
async def test_bad_request_is_refused_and_not_forwarded(
    request_bytes: bytes, status: int
) -> None:
    limits = callers.CallerLimits(max_header_bytes=2000, max_body_bytes=5000)
    found = support.configuration(support.route(), limits=limits)
    async with (
        raw_target.open_target() as target,
        support.open_bench(found, target) as bench,
    ):
        data = await bench.ask(request_bytes)
    assert support.status(data) == status
    assert target.requests == []


async def test_chunked_body_above_the_bound_is_refused() -> None:
    limits = callers.CallerLimits(max_body_bytes=10)
    found = support.configuration(support.route(), limits=limits)
    chunks = b"8\r\n" + b"a" * 8 + b"\r\n"
    data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks * 2
    async with support.open_bench(found) as bench:
        assert support.status(await bench.ask(data)) == 413


async def test_slow_header_is_refused_in_time() -> None:
    limits = callers.CallerLimits(header_timeout_s=0.1)
    found = support.configuration(support.route(), limits=limits)
    async with support.open_bench(found) as bench:
        assert support.status(await bench.ask(b"GET /a/ HT")) == 408


async def test_idle_connection_is_closed() -> None:
    limits = callers.CallerLimits(idle_timeout_s=0.1)
    found = support.configuration(support.route(), limits=limits)
    async with support.open_bench(found) as bench:
        assert await bench.ask(b"") == b""


async def test_connection_serves_requests_one_after_the_other() -> None:
    scripts = [raw_target.answer(b"1"), raw_target.answer(b"2")]
    found = support.configuration(support.route(model.Kind.ONCE))
    ask = support.request(b"POST").replace(b"Connection: close\r\n", b"")
    async with (
        raw_target.open_target(*scripts) as target,
        support.open_bench(found, target) as bench,
        await bench.connect() as stream,
    ):
        await stream.send(ask + ask)
        data = b""
        with anyio.fail_after(2):
            while not data.endswith(b"\r\n\r\n2"):
                data += await stream.receive()
    assert data.count(b"HTTP/1.1 200") == 2


async def test_bodies_beyond_the_memory_are_refused_for_later() -> None:
    found = support.configuration(support.route())
    async with support.open_bench(found) as bench:
        bench.serving.memory.limit_bytes = 3
        data = await bench.ask(support.request(b"POST", body=b"body"))
        assert support.status(data) == 503
        assert b"retry-after" in data.lower()
        assert bench.serving.memory.used_bytes == 0


async def test_caller_that_leaves_within_a_body_frees_its_memory() -> None:
    found = support.configuration(support.route())
    async with support.open_bench(found) as bench:
        stream = await bench.connect()
        await stream.send(HEAD + b"Content-Length: 9\r\n\r\nbody")
        with anyio.fail_after(2):
            while bench.serving.memory.used_bytes != 4:
                await anyio.sleep(0.01)
            await stream.aclose()
            while bench.serving.memory.used_bytes:
                await anyio.sleep(0.01)


async def test_answers_close_connections_while_stopping() -> None:
    found = support.configuration(support.route(model.Kind.ONCE))
    async with (
        raw_target.open_target(raw_target.answer()) as target,
        support.open_bench(found, target) as bench,
        await bench.connect() as stream,
    ):
        bench.serving.stopping = True
        ask = support.request(b"POST").replace(b"Connection: close\r\n", b"")
        await stream.send(ask)
        data = await support.read_to_end(stream)
    assert support.status(data) == 200
    assert b"connection: close" in data.lower()


async def test_idle_connections_close_at_once_when_asked() -> None:
    found = support.configuration(support.route())
    async with (
        support.open_bench(found) as bench,
        await bench.connect() as stream,
    ):
        while not bench.serving.idle:
            await anyio.sleep(0.01)
        bench.serving.close_idle()
        with anyio.fail_after(1):
            assert await support.read_to_end(stream) == b""


async def test_early_answer_to_a_long_body_closes_the_connection() -> None:
    async def answer_early(stream: object, request: bytes) -> bool:
        await raw_target.answer(b"early", b"400 No")(stream, request)  # type: ignore[arg-type]
        await anyio.sleep(0.3)
        return False

    found = support.configuration(
        support.route(model.Kind.ONCE),
        limits=callers.CallerLimits(max_body_bytes=8 << 20),
    )
    async with (
        raw_target.open_target(answer_early) as target,
        support.open_bench(found, target) as bench,
    ):
        bench.serving.memory.limit_bytes = 16 << 20
        body = b"a" * (6 << 20)
        ask = support.request(b"POST", b"", body)
        target.read_bodies = False
        data = await bench.ask(ask)
        assert support.status(data) == 400
        assert bench.pool.idle.get(target.target.address, []) == []
