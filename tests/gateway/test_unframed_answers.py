"""Answers with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

import collections.abc
import socket
import struct

import anyio
import anyio.abc
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.sites import model

pytestmark = pytest.mark.anyio
PLAIN = support.configuration(support.route(model.Kind.ONCE))
STREAM = support.configuration(support.route(model.Kind.STREAM, resumable=True))
EVENTS = b"Content-Type: text/event-stream\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CLOSE = raw_target.send_raw(b"")


def unframed(
    data: bytes, *, reset: bool = False, version: bytes = b"HTTP/1.1"
) -> raw_target.Script:
    """Returns a script that ends its answer with the connection.

    Args:
      data: What follows the first header fields.
      reset: Whether the connection is reset instead of closed.
      version: Version of the protocol in the status line.
    """
    send = raw_target.send_raw(data, with_head=True)

    async def run(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        if version != b"HTTP/1.1":
            identity = raw_target.request_id(request)
            head = b"X-Cactusstile-Attempt-Id: " + identity + b"\r\n"
            head = version + b" 200 OK\r\n" + head + raw_target.SEAL
            await stream.send(head + data)
            return False
        await send(stream, request)
        if reset:
            await anyio.sleep(0.05)
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        return False

    return run


async def ask(
    site: model.SiteConfiguration, *scripts: raw_target.Script
) -> tuple[bytes, list[raw_target.RawTarget]]:
    """Asks a gateway whose first target runs the first script."""
    async with (
        raw_target.open_target(*scripts[:1], id="a") as first,
        raw_target.open_target(*scripts[1:], id="b") as second,
        support.open_harness(site, first, second) as harness,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        data = await harness.ask(support.request(b"POST"))
        assert harness.pool.idle.get(first.target.address, []) == []
    return data, [first, second]


@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
async def test_plain_answer_without_a_length_is_broken_off(
    version: bytes,
) -> None:
    data, _ = await ask(PLAIN, unframed(b"\r\nall of it", version=version))
    assert support.status(data) == 200
    assert b"content-length: 9\r\n" in data.lower()
    assert data.endswith(b"\r\n\r\nall of it")


async def test_plain_answer_that_is_reset_looks_whole() -> None:
    data, targets = await ask(PLAIN, unframed(b"\r\nhalf of", reset=True))
    assert support.status(data) == 502
    assert targets[1].requests == []


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r", b"\n\r\n"])
async def test_stream_without_chunks_is_broken_off(end: bytes) -> None:
    events = b"id: 1\ndata: x" + end + b"id: 2\ndata: y" + end
    data, targets = await ask(STREAM, unframed(EVENTS + events))
    assert data.endswith(LAST_CHUNK)
    assert data.count(b"data: ") == 2
    assert targets[1].requests == []


def broken_events() -> collections.abc.Iterator[bytes]:
    yield b"id: 1\ndata: x\n\nid: 2\nda"
    # The last line is whole, but not the event.
    yield b"id: 1\ndata: x\n\nid: 2\ndata: y\n"
    yield b"id: 1\ndata: x\r\n\r\nid: 2\ndata: y\r\n"


@pytest.mark.parametrize("events", list(broken_events()))
async def test_stream_that_ends_inside_an_event_looks_whole(
    events: bytes,
) -> None:
    rest = raw_target.stream_events([2, 3])
    data, targets = await ask(STREAM, unframed(EVENTS + events), rest)
    assert data.count(b"id: 2\n") == 1
    assert data.endswith(LAST_CHUNK)
    again = raw_target.find_header(targets[1].requests[0], b"last-event-id")
    assert again == b"1"
    data, _ = await ask(STREAM, unframed(EVENTS + events), CLOSE)
    assert not data.endswith(LAST_CHUNK)


async def test_stream_that_ends_before_its_first_event_looks_whole() -> None:
    rest = raw_target.stream_events([1])
    data, targets = await ask(STREAM, unframed(EVENTS), rest)
    assert len(targets[1].requests) == 1
    assert b"id: 1\n" in data
    data, _ = await ask(STREAM, unframed(EVENTS), CLOSE)
    assert support.status(data) == 502


async def test_stream_that_is_reset_after_an_event_looks_whole() -> None:
    events = EVENTS + b"id: 1\ndata: x\n\n"
    data, _ = await ask(STREAM, unframed(events, reset=True), CLOSE)
    assert b"id: 1\n" in data
    assert not data.endswith(LAST_CHUNK)
