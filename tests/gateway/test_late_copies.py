"""Copies of an answer that arrive where the next answer is due."""

from __future__ import annotations

import typing

import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.sites import model

if typing.TYPE_CHECKING:
    import anyio.abc

pytestmark = pytest.mark.anyio
EVENTS = b"id: 1\ndata: %b\n\n"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Cactusstile-Attempt-Id: %b\r\n"
    + raw_target.SEAL
    + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
PLAIN_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Cactusstile-Attempt-Id: %b\r\n"
    + raw_target.SEAL
    + b"Content-Length: %d\r\n\r\n"
)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def stream_of(request_id: bytes) -> bytes:
    events = chunk(EVENTS % request_id)
    return STREAM_HEAD % request_id + events + b"0\r\n\r\n"


def answer_of(request_id: bytes) -> bytes:
    body = b"for %b" % request_id
    return PLAIN_HEAD % (request_id, len(body)) + body


COPIES = {
    "whole-stream": stream_of(b"one"),
    "cut-stream": stream_of(b"one")[:-8],
    "whole-answer": answer_of(b"one"),
    "cut-answer": answer_of(b"one")[:-2],
    "copy-of-a-copy": answer_of(b"one") * 2 + stream_of(b"one"),
}


@pytest.mark.parametrize("copy", COPIES)
@pytest.mark.parametrize("kind", [model.Kind.IDEMPOTENT, model.Kind.STREAM])
async def test_caller_gets_the_late_copy_of_anothers_answer(
    copy: str, kind: model.Kind
) -> None:
    is_stream = kind is model.Kind.STREAM
    whole = stream_of if is_stream else answer_of

    async def run(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        request_id = raw_target.request_id(request)
        if request_id == b"two":
            await stream.send(COPIES[copy])
        await stream.send(whole(request_id))
        return True

    route = support.route(kind, resumable=is_stream)
    async with raw_target.open_target(run, run, run) as target:
        config = support.configuration(route)
        async with support.open_harness(config, target) as harness:
            first = await harness.ask(support.request(b"POST"))
            second = await harness.ask(
                support.request(b"POST").replace(b"Id: one", b"Id: two")
            )
    assert support.status(first) == 200
    assert b"Attempt-Id: one" not in second
    assert b"for one" not in second
    assert b"data: one" not in second
    if not copy.startswith("cut"):
        assert target.connections == 1
        assert support.status(second) == 200
