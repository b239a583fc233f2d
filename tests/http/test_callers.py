"""What the connections of one listener may take from the others."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import socket
import tracemalloc
import weakref

import anyio
import anyio.abc
import anyio.lowlevel
import attrs
import pytest

from cactusstile.http import callers
from cactusstile.http import messages
from cactusstile.http import request_limits
from cactusstile.http import request_reader
from cactusstile.http import responder as responders
from cactusstile.http import serving as servings
from cactusstile.http import sockets
from cactusstile.limits import connections
from cactusstile.transport import address

pytestmark = pytest.mark.anyio
HEAD = b"POST /a HTTP/1.1\r\nhost: h\r\n"
FIELDS = b"a:\r\n" * 3900
LARGE_BYTES = 1 << 20


@attrs.define
class Listener:
    """A listener whose handler answers with the size of the body.

    Attributes:
      requests: Handled requests that are still in memory.
    """

    serving: servings.Serving
    place: address.Address
    answer: bytes = b""
    ticks: int = 0
    requests: weakref.WeakSet[messages.Request] = attrs.field(
        factory=weakref.WeakSet
    )

    async def connect(self) -> anyio.abc.SocketStream:
        return await anyio.connect_tcp(self.place.host, self.place.port)

    async def ask(self, data: bytes) -> bytes:
        async with await self.connect() as stream:
            await stream.send(data)
            with contextlib.suppress(anyio.BrokenResourceError):
                return await stream.receive()
        return b""

    async def count_ticks(self) -> None:
        while True:
            self.ticks += 1
            await anyio.lowlevel.checkpoint()


@contextlib.asynccontextmanager
async def listen(
    body_memory: int = 1 << 22, answer: bytes = b"", **limits: float
) -> collections.abc.AsyncIterator[Listener]:
    requests: weakref.WeakSet[messages.Request] = weakref.WeakSet()
    bounds = request_limits.CallerLimits(**limits)  # type: ignore[arg-type]

    async def handle(
        request: messages.Request, responder: responders.Responder
    ) -> None:
        requests.add(request)
        text = b"%d %d" % (len(request.headers), len(request.body))
        await responder.respond(200, (), answer or text)

    serving = servings.Serving(
        handle, lambda: bounds, request_limits.MemoryLimit(body_memory)
    )
    raw = sockets.listen(address.Address("127.0.0.1", 0))
    place = address.Address(*raw.getsockname())
    with anyio.fail_after(60):
        async with anyio.create_task_group() as group:
            group.start_soon(callers.serve_listener, raw, serving, group)
            yield Listener(serving, place, requests=requests)
            group.cancel_scope.cancel()
    raw.close()


# Guards against a body of small parts that holds up all other connections.
async def test_body_in_parts_of_one_byte_holds_up_others() -> None:
    parts = 50 * request_reader.PARTS_PER_TURN
    body = b"1\r\nx\r\n" * parts + b"0\r\n\r\n"
    async with listen() as listener, anyio.create_task_group() as group:
        async with await listener.connect() as stream:
            head = HEAD + b"transfer-encoding: chunked\r\n\r\n"
            await stream.send(head + body)
            group.start_soon(listener.count_ticks)
            answer = await stream.receive()
        group.cancel_scope.cancel()
    assert answer.endswith(b"2 %d" % parts)
    assert listener.ticks > 50


# Guards against heads of many fields that are parsed all at once.
async def test_long_heads_hold_up_others_at_once() -> None:
    async with listen() as listener, anyio.create_task_group() as group:
        shared = listener.serving.turns
        async with shared.lock:
            for _ in range(9):
                group.start_soon(listener.ask, HEAD + FIELDS + b"\r\n")
            while shared.lock.statistics().tasks_waiting < 9:
                await anyio.sleep(0.01)
            assert listener.serving.open_requests == 0
            answer = await listener.ask(HEAD + b"\r\n")
    assert answer.endswith(b"1 0")


# Guards against callers that hold memory by a body that never comes.
async def test_slow_bodies_keep_others_from_the_memory() -> None:
    async with (
        listen(100_000) as listener,
        contextlib.AsyncExitStack() as stack,
    ):
        streams = []
        for _ in range(4):
            stream = await stack.enter_async_context(await listener.connect())
            streams.append(stream)
            await stream.send(HEAD + b"content-length: 90000\r\n\r\n")
            await stream.send(b"x" * 24_000)
        while listener.serving.memory.used_bytes < 96_000:
            await anyio.sleep(0.01)
        await anyio.sleep(connections.MIN_WAIT_S)
        body = b"content-length: 50000\r\n\r\n" + b"x" * 50_000
        assert (await listener.ask(HEAD + body)).endswith(b"2 50000")
        assert listener.serving.open_connections.ended == 2
        refused = await streams[0].receive()
        assert refused.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 1\r\n" in refused


# Guards against answers that fill the memory since nobody reads them.
async def test_answers_that_nobody_takes_fill_the_memory() -> None:
    async with (
        listen(answer=bytes(LARGE_BYTES)) as listener,
        contextlib.AsyncExitStack() as stack,
    ):
        unsent = listener.serving.unsent
        unsent.limit_bytes = 4 * LARGE_BYTES
        for _ in range(9):
            stream = await stack.enter_async_context(await listener.connect())
            await stream.send(HEAD + b"\r\n")
        while listener.serving.open_connections.ended < 6:
            await anyio.sleep(0.01)
        assert unsent.used_bytes <= unsent.limit_bytes
        await stack.aclose()
        async with await listener.connect() as stream:
            await stream.send(HEAD + b"\r\n")
            size = 0
            while size < LARGE_BYTES:
                size += len(await stream.receive())


async def test_answer_that_is_never_taken_ends_its_connection() -> None:
    async with (
        listen(answer=bytes(LARGE_BYTES), idle_timeout_s=0.2) as listener,
        await listener.connect() as stream,
    ):
        await stream.send(HEAD + b"\r\n")
        while not listener.serving.open_requests:
            await anyio.sleep(0.01)
        while listener.serving.open_connections.places:
            await anyio.sleep(0.01)
    assert listener.serving.unsent.used_bytes == 0


async def test_request_at_all_limits_is_served() -> None:
    async with listen(max_body_bytes=6000) as listener:
        head = HEAD + FIELDS + b"transfer-encoding: chunked\r\n\r\n"
        body = b"1\r\nx\r\n" * 6000 + b"0\r\n\r\n"
        assert (await listener.ask(head + body)).endswith(b"3902 6000")
    assert listener.serving.heads.used_bytes == 0
    assert listener.serving.memory.used_bytes == 0


async def test_full_listener_refuses_with_a_promise() -> None:
    async with listen() as listener:
        listener.serving.open_connections.max_connections = 1
        listener.serving.open_connections.places[
            connections.Place(connections.Phase.BUSY)
        ] = None
        async with await listener.connect() as stream:
            answer = await stream.receive()
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"retry-after: 1\r\n" in answer


# Guards against idle connections that hold the body of their last request.
async def test_answered_body_stays_in_memory_while_idle() -> None:
    body = b"content-length: 9\r\n\r\n" + b"x" * 9
    async with listen() as listener, await listener.connect() as stream:
        await stream.send(HEAD + body)
        assert (await stream.receive()).endswith(b"2 9")
        while not listener.serving.idle:
            await anyio.sleep(0.01)
        assert not listener.requests


# Guards against bodies that fill the room of heads.
async def test_body_that_comes_with_its_head_counts_as_head() -> None:
    body = b"content-length: 9000\r\n\r\n" + b"x" * 9000
    async with (
        listen(answer=bytes(8 * LARGE_BYTES)) as listener,
        await listener.connect() as stream,
    ):
        await stream.send(HEAD + body)
        while not listener.serving.unsent.used_bytes:
            await anyio.sleep(0.01)
        assert listener.serving.memory.used_bytes == 9000
        assert listener.serving.heads.used_bytes < 1000


# Guards against an answer that is ended since it alone exceeds the limit.
async def test_single_answer_above_the_limit_is_cut_off() -> None:
    async with listen(answer=bytes(8 * LARGE_BYTES)) as listener:
        listener.serving.unsent.limit_bytes = LARGE_BYTES
        async with await listener.connect() as stream:
            await stream.send(HEAD + b"\r\n")
            while not listener.serving.unsent.used_bytes:
                await anyio.sleep(0.01)
            size = 0
            while size < 8 * LARGE_BYTES:
                size += len(await stream.receive())


# Guards against a connection that counts as gone and stays.
async def test_connection_that_was_told_to_end_goes_after_its_answer() -> None:
    async with (
        listen(idle_timeout_s=3600) as listener,
        await listener.connect() as stream,
    ):
        while not listener.serving.idle:
            await anyio.sleep(0.01)
        (place,) = listener.serving.idle
        place.gave_way = True
        await stream.send(HEAD + b"\r\n")
        assert (await stream.receive()).startswith(b"HTTP/1.1 200")
        with pytest.raises(anyio.EndOfStream):
            await stream.receive()


# Guards against an answer that is held twice while its caller takes nothing.
async def test_answer_that_waits_is_held_as_made_and_as_encoded() -> None:
    async with (
        listen(answer=bytes(8 * LARGE_BYTES)) as listener,
        await listener.connect() as stream,
    ):
        tracemalloc.start()
        await stream.send(HEAD + b"\r\n")
        while not listener.serving.unsent.used_bytes:
            await anyio.sleep(0.01)
        held_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    assert held_bytes < LARGE_BYTES


# Guards against an answer that is cut as its caller stands still for a while.
@pytest.mark.parametrize("size", [LARGE_BYTES // 6, 4 * LARGE_BYTES])
async def test_answer_to_a_caller_that_stood_still_is_cut(size: int) -> None:
    async with listen(answer=bytes(size)) as listener:
        place = (listener.place.host, listener.place.port)
        with socket.socket() as caller:
            buffer_bytes = 8 << 10
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
            caller.connect(place)
            caller.setblocking(False)
            caller.send(HEAD + b"\r\n")
            await anyio.sleep(3 * sockets.UNACKNOWLEDGED_TIMEOUT_MS / 1000)
            received = 0
            while received < size:
                await anyio.wait_readable(caller)
                data = caller.recv(buffer_bytes)
                assert data
                received += len(data)


# Guards against an answer that is discarded as its connection is reset.
async def test_request_that_crosses_the_end_of_a_stop_resets() -> None:
    async with listen() as listener:
        listener.serving.stopping = True
        with socket.socket() as caller:
            caller.connect((listener.place.host, listener.place.port))
            caller.setblocking(False)
            received = b""
            for _ in range(3):
                caller.send(HEAD + b"\r\n")
                await anyio.sleep(0.1)
            while True:
                await anyio.wait_readable(caller)
                data = caller.recv(4096)
                if not data:
                    break
                received += data
            assert received.startswith(b"HTTP/1.1 200")


# Guards against an answer that is lost as its caller is still sending ahead.
async def test_caller_that_sends_ahead_for_long_at_a_stop_is_reset() -> None:
    async with listen() as listener:
        listener.serving.stopping = True
        # Discards what it has received and not read when it is reset.
        reader, writer = await asyncio.open_connection(
            listener.place.host, listener.place.port
        )
        with contextlib.closing(writer):
            for _ in range(5):
                writer.write(HEAD + b"\r\n")
                await anyio.sleep(0.5 * sockets.LINGER_TIMEOUT_S)
            answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.count(b"HTTP/1.1 ") == 1


# Guards against a stop that waits for callers who do not close.
async def test_silent_caller_holds_up_a_stop() -> None:
    async with listen() as listener:
        listener.serving.stopping = True
        async with await listener.connect() as stream:
            await stream.send(HEAD + b"\r\n")
            with contextlib.suppress(anyio.EndOfStream):
                while await stream.receive():
                    continue
            await anyio.sleep(1.5 * sockets.LINGER_TIMEOUT_S)
            assert not listener.serving.open_connections.places
