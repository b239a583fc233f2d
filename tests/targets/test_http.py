from __future__ import annotations

import collections.abc
import contextlib

import anyio
import anyio.abc
import pytest

from cactusstile import verdict
from cactusstile.targets import engine
from cactusstile.targets import exceptions
from cactusstile.targets import http
from cactusstile.targets import openai_dialect
from cactusstile.targets import platform
from cactusstile.targets import weight_store

pytestmark = pytest.mark.anyio

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
ENDLESS = b"HTTP/1.1 200 OK\r\n\r\n"


@contextlib.asynccontextmanager
async def _open(
    *parts: bytes, pause_s: float = 0.0
) -> collections.abc.AsyncIterator[http.HttpTarget]:
    """Opens a target whose server sends `parts` and closes the connection."""

    async def serve(stream: anyio.abc.ByteStream) -> None:
        async with stream:
            with contextlib.suppress(
                anyio.BrokenResourceError, anyio.EndOfStream
            ):
                await stream.receive()
                for part in parts:
                    await stream.send(part)
                    await anyio.sleep(pause_s)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        async with http.open_target(f"http://127.0.0.1:{port}") as target:
            yield target
        group.cancel_scope.cancel()


REQUEST = http.Request("GET", "/status")


async def test_unreachable_target_is_reported_as_not_run() -> None:
    async with http.open_target("http://127.0.0.1:9") as target:
        with pytest.raises(exceptions.TargetError) as caught:
            await target.call(REQUEST, timeout_s=1)
    assert caught.value.verdict is verdict.Verdict.NOT_RUN


@pytest.mark.parametrize("parts", [(), (HEAD,), (HEAD, b"half")])
async def test_broken_response_is_reported_as_may_have_run(
    parts: tuple[bytes, ...],
) -> None:
    async with _open(*parts) as target:
        with pytest.raises(exceptions.TargetError) as caught:
            await target.call(REQUEST, timeout_s=1)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN


async def test_slow_response_is_bounded_in_time() -> None:
    async with _open(HEAD, *[b"x"] * 100, pause_s=0.05) as target:
        with anyio.fail_after(1), pytest.raises(exceptions.TargetError):
            await target.call(REQUEST, timeout_s=0.3)


async def test_long_response_and_long_event_are_rejected() -> None:
    chunk = b"x" * 100_000
    async with _open(ENDLESS, *[chunk] * 30) as target:
        with pytest.raises(exceptions.TargetError, match="longer than"):
            await target.call(REQUEST, timeout_s=5, max_bytes=1_000_000)
        async with target.open_events(REQUEST, timeout_s=5) as events:
            with pytest.raises(exceptions.TargetError, match="too long"):
                await anext(events)


ENDLESS_SLOTS = b'{"model": "m", "version": "v", "adapters": [], "role": "r",'
ENDLESS_SLOTS += b' "slots": 1e999, "block_bytes": 1, "loading": 0}'


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b'{"model": 1}',
        b"\xff\xfe",
        b"[" * 100_000,
        ENDLESS_SLOTS,
    ],
)
async def test_malformed_status_raises_target_error(body: bytes) -> None:
    async with _open(ENDLESS, body) as target:
        client = engine.EngineClient(target, openai_dialect.DIALECT)
        with pytest.raises(exceptions.TargetError, match="malformed"):
            await client.status()


# Guards against an agent that ends, as an answer nests too deeply to be read or
# names an endless number.
@pytest.mark.parametrize(
    "body",
    [
        b"[" * 5_000,
        b"[" * 100_000,
        b'{"max_transfers": 1e999, "active": 0}',
        b'{"max_transfers": 1, "active": Infinity}',
    ],
)
async def test_answer_that_cannot_be_read_ends_the_agent(body: bytes) -> None:
    for read in (platform.list_vms, weight_store.read_limits):
        async with _open(ENDLESS, body) as target:
            with pytest.raises(exceptions.TargetError, match="malformed"):
                await read(target)


# Guards against a run that never seems to start, as the lines of its events
# end with CR, or one event has several lines of data.
@pytest.mark.parametrize("end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("step", [1, 3, 1000])
async def test_events_of_an_engine_are_not_read(end: bytes, step: int) -> None:
    lines = (
        b"\xef\xbb\xbf: hello",
        b'data: {"system_fingerprint": "v1", "choices": [],',
        b'data: "usage": {"cached_tokens": 3}}',
        b"",
        b'data:{"choices": [{"first_token_index": 0, "token_ids": [7],'
        b' "text": "a", "finish_reason": "stop"}]}',
        b"",
        b"data: [DONE]",
        b"",
    )
    data = end.join(lines) + end
    parts = [data[at : at + step] for at in range(0, len(data), step)]
    async with _open(ENDLESS, *parts) as target:
        client = engine.EngineClient(target, openai_dialect.DIALECT)
        async with client.open_resumed("r", 0) as events:
            found = [event async for event in events]
    assert found == [
        engine.Started("v1", 3),
        engine.Output(0, (7,), "a"),
        engine.Finished(1, "stop"),
    ]


async def _send(request: http.Request) -> list[bytes]:
    """Returns the lines of the head that a target receives."""
    received = bytearray()

    async def serve(stream: anyio.abc.ByteStream) -> None:
        async with stream:
            while b"\r\n\r\n" not in received:
                received.extend(await stream.receive())
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        async with http.open_target(f"http://127.0.0.1:{port}") as target:
            await target.call_ok(request, timeout_s=2)
        group.cancel_scope.cancel()
    return bytes(received).split(b"\r\n")


# Guards against a call that reaches the target changed, as its path is read
# again as a URL, with parameters and a fragment.
@pytest.mark.parametrize(
    "path", ["/stock;v=1/a;b", "/a;b?q=1;c", "/a?", "/a#b", "//a/b", "/a%2Fb"]
)
async def test_call_reaches_the_target_with_another_path(path: str) -> None:
    head = await _send(http.Request("GET", path))
    assert head[0] == b"GET %b HTTP/1.1" % path.encode()


# Guards against a call that ends in an error of the program, as its fields are
# read as Latin-1 and sent as ASCII.
async def test_call_with_other_than_ascii_letters_is_not_sent() -> None:
    head = await _send(
        http.Request("GET", "/a", headers=(("X-Note", "caf\xe9"),))
    )
    assert b"X-Note: caf\xe9" in head
