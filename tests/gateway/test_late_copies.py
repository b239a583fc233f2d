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


SUCCESS = (
    b"HTTP/1.1 200 OK\r\n" + raw_target.SEAL + b"Server: x\r\nVia: 1.1 other"
)
CUT_HEADS = {
    "in-a-value": SUCCESS,
    "before-a-value": SUCCESS.removesuffix(b" 1.1 other"),
    "in-its-seal": SUCCESS.removesuffix(b"\r\nServer: x\r\nVia: 1.1 other"),
    "in-its-reason": b"HTTP/1.1 200 O",
}
FAILURES = {
    "failed": raw_target.answer(b"", b"500 Failed"),
    "failed-unsealed": raw_target.answer(b"", b"500 Failed", b""),
}


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("cut", CUT_HEADS)
async def test_failure_behind_a_cut_copy_of_a_success_is_passed_on_as_one(
    cut: str, failure: str
) -> None:
    async def run(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        await stream.send(CUT_HEADS[cut])
        return await FAILURES[failure](stream, request)

    route = support.route(model.Kind.ONCE, max_attempts=1)
    async with raw_target.open_target(raw_target.answer(), run) as target:
        config = support.configuration(route)
        async with support.open_harness(config, target) as harness:
            await harness.ask(support.request(b"POST"))
            data = await harness.ask(
                support.request(b"POST").replace(b"Id: one", b"Id: two")
            )
    assert len(target.requests) == 2
    assert support.status(data) == 502


async def test_answers_that_quote_a_status_line_are_not_passed_on() -> None:
    """Guards against a quoted line that is taken for the begin of a head."""
    fields = raw_target.SEAL + b"X-Origin: HTTP/1.1 304 Not Modified\r\n"
    quoting = raw_target.answer(rest=fields)
    route = support.route(model.Kind.ONCE, max_attempts=1)
    async with raw_target.open_target(quoting, quoting, quoting) as target:
        config = support.configuration(route)
        async with support.open_harness(config, target) as harness:
            for request_id in (b"one", b"two", b"three"):
                data = await harness.ask(
                    support.request(b"POST").replace(b"one", request_id)
                )
                assert support.status(data) == 200
