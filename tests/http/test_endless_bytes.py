from __future__ import annotations

import collections.abc
import time
import tracemalloc

import anyio
import anyio.lowlevel
import attrs
import pytest

from cactusstile.http import events
from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.http import sockets
from cactusstile.http import targets
from cactusstile.transport import address

pytestmark = pytest.mark.anyio
# Calls after which an endless loop of a failing test ends.
CALL_LIMIT = 20_000
BYTE_LIMIT = 4 << 20
PROCESSOR_LIMIT_S = 4.0
BODY_LIMIT_BYTES = 256 << 10
TARGET = address.Address("127.0.0.1", 1)
REQUEST = messages.Request(b"GET", b"/", ((b"host", b"h"),), b"", 0.0)
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = b"x" * 1024


class ReadyRaw:
    """A raw socket that always has input and always takes output."""

    def recv(self, size: int) -> bytes:
        return b"x" * min(size, 16)

    def send(self, data: memoryview) -> int:
        return min(len(data), 16)


async def _count_turns(work: collections.abc.Awaitable[object]) -> int:
    """Returns how often another task ran during `work`."""
    turns = 0

    async def take_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await anyio.lowlevel.checkpoint()

    async with anyio.create_task_group() as group:
        group.start_soon(take_turns)
        await work
        group.cancel_scope.cancel()
    return turns


async def _receive_all(opened: sockets.Socket) -> None:
    for _ in range(CALL_LIMIT):
        await opened.receive()


async def _send_all(opened: sockets.Socket) -> None:
    for _ in range(CALL_LIMIT):
        await opened.send(b"x")


async def _send_one(opened: sockets.Socket) -> None:
    await opened.send(b"x" * 16 * CALL_LIMIT)


@pytest.mark.parametrize("use", [_receive_all, _send_all, _send_one])
async def test_socket_that_is_always_ready_starves_no_other_task(
    use: collections.abc.Callable[
        [sockets.Socket], collections.abc.Awaitable[None]
    ],
) -> None:
    opened = sockets.Socket(ReadyRaw())  # type: ignore[arg-type]
    assert await _count_turns(use(opened)) > CALL_LIMIT // 100


async def test_cancelling_ends_reading_of_endless_bytes() -> None:
    with anyio.CancelScope() as scope:
        scope.cancel()
        await _receive_all(sockets.Socket(ReadyRaw()))  # type: ignore[arg-type]
    assert scope.cancelled_caught


@attrs.define
class EndlessSocket:
    """A socket whose peer sends `first` and then `unit` without end."""

    first: bytes
    unit: bytes
    received: int = 0
    bytes_sent: int = 0

    async def send(self, data: bytes) -> None:
        self.bytes_sent += len(data)

    async def receive(self) -> bytes:
        assert self.received < BYTE_LIMIT, "reads without end"
        data = self.unit * (sockets.RECEIVE_BYTES // len(self.unit))
        if not self.received:
            data = self.first + data
        self.received += len(data)
        return data


def _connect(endless: EndlessSocket) -> targets.TargetConnection:
    return targets.TargetConnection(TARGET, endless)  # type: ignore[arg-type]


async def _read_answer(endless: EndlessSocket) -> None:
    connection = _connect(endless)
    await connection.ask(REQUEST, lambda _: True)
    await connection.read_full_body(BODY_LIMIT_BYTES)


async def _peak_bytes(endless: EndlessSocket) -> int:
    """Returns the most memory that reading took until it was given up."""
    tracemalloc.start()
    try:
        with pytest.raises(exceptions.MalformedError):
            await _read_answer(endless)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize(
    ("first", "unit"),
    [(b"HTTP/1.1 200 ", b"x"), (OK + b"X-A: ", b"x"), (OK, b"X-A: 1\r\n")],
)
async def test_head_without_end_takes_bounded_memory(
    first: bytes, unit: bytes
) -> None:
    peak_bytes = await _peak_bytes(EndlessSocket(first, unit))
    assert peak_bytes < 8 * targets.MAX_HEAD_BYTES


@pytest.mark.parametrize(
    ("first", "unit"),
    [
        (OK + b"\r\n", BLOCK),
        (OK + CHUNKED, b"400\r\n" + BLOCK + b"\r\n"),
        (OK + CHUNKED + b"1;a=", b"x"),
        (OK + CHUNKED + b"0\r\n", b"X-A: 1\r\n"),
    ],
)
async def test_body_without_end_takes_bounded_memory(
    first: bytes, unit: bytes
) -> None:
    peak_bytes = await _peak_bytes(EndlessSocket(first, unit))
    assert peak_bytes < 4 * BODY_LIMIT_BYTES


async def test_interim_answers_without_end_are_given_up() -> None:
    endless = EndlessSocket(b"", b"HTTP/1.1 100 Continue\r\n\r\n")
    with pytest.raises(exceptions.MalformedError, match="interim"):
        await _read_answer(endless)
    assert endless.received <= 2 * sockets.RECEIVE_BYTES


LATE = OK + b"X-Late: 1\r\n"


@pytest.mark.parametrize(
    ("first", "unit"),
    [
        (LATE + CHUNKED, b"400\r\n" + BLOCK + b"\r\n"),
        (LATE + CHUNKED, b"1\r\nx\r\n"),
        (b"", LATE + b"Content-Length: 0\r\n\r\n"),
        (b"", LATE + CHUNKED + b"1\r\nx\r\n0\r\n\r\n"),
    ],
)
async def test_late_answers_without_end_are_given_up(
    first: bytes, unit: bytes
) -> None:
    connection = _connect(EndlessSocket(first, unit))
    with pytest.raises(exceptions.MalformedError, match="late"):
        await connection.ask(REQUEST, lambda head: not head.find(b"x-late"))


def _split(pieces: collections.abc.Iterable[bytes]) -> int:
    """Splits pieces within a limit on processor time; counts the events."""
    splitter = events.EventSplitter(1)
    end_s = time.process_time() + PROCESSOR_LIMIT_S
    count = 0
    for piece in pieces:
        for _ in splitter.feed(piece):
            count += 1
            assert time.process_time() < end_s
        assert time.process_time() < end_s
    return count


def test_event_in_small_pieces_takes_bounded_processor_time() -> None:
    with pytest.raises(exceptions.MalformedError):
        _split(b"x" for _ in range(events.MAX_EVENT_BYTES + 1))


def test_many_small_events_take_bounded_processor_time() -> None:
    size = events.MAX_EVENT_BYTES
    assert _split([b"\n\n" * (size // 2)]) == size // 2


@pytest.mark.parametrize("end", [b"\r\n\r\n", b"\n\n", b"\r\r"])
def test_event_whose_end_arrives_in_pieces_is_found(end: bytes) -> None:
    splitter = events.EventSplitter()
    data = 2 * (b"data: a" + end)
    found = [
        event
        for index in range(len(data))
        for event in splitter.feed(data[index : index + 1])
    ]
    assert found == [b"data: a" + end] * 2
    assert not splitter.remainder


async def test_body_of_tiny_chunks_takes_bounded_memory() -> None:
    endless = EndlessSocket(OK + CHUNKED, b"4\r\nxxxx\r\n")
    assert await _peak_bytes(endless) < 4 * BODY_LIMIT_BYTES


async def test_tiny_chunks_starve_no_other_task() -> None:
    connection = _connect(EndlessSocket(OK + CHUNKED, b"1\r\nx\r\n"))
    await connection.ask(REQUEST, lambda _: True)

    async def read_parts() -> None:
        for _ in range(CALL_LIMIT):
            assert await connection.read_body()

    assert await _count_turns(read_parts()) > CALL_LIMIT // 200
