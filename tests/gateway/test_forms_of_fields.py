"""Header fields and streams in forms that callers and targets seldom use."""

from __future__ import annotations

import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.sites import model

pytestmark = pytest.mark.anyio
MARK = b"\xef\xbb\xbf"


# Guards against a key of the configuration that is unknown in a request, since
# one is read as UTF-8 and the other as Latin-1.
async def test_key_with_other_than_ascii_letters_is_unknown() -> None:
    workspace = model.Workspace("w", ("schlüssel-1",))
    config = support.configuration(support.route(), workspaces=(workspace,))
    field = "X-Cactusstile-Key: schlüssel-1\r\n".encode()
    async with (
        raw_target.open_target(raw_target.answer()) as target,
        support.open_harness(config, target) as harness,
    ):
        data = await harness.ask(support.request(rest=field))
    assert support.status(data) == 200


# Guards against a stream that is held until its end and then counts as failed,
# since its media type is written in other letters or with parameters.
@pytest.mark.parametrize(
    "kind", [b"Text/Event-Stream", b"text/event-stream ;charset=utf-8"]
)
async def test_stream_is_not_known_by_its_media_type(kind: bytes) -> None:
    event = b"id: 1\ndata: x\n\n"
    fields = b"Content-Type: %b\r\nTransfer-Encoding: chunked\r\n\r\n" % kind
    cut = fields + b"%x\r\n%b\r\n" % (len(event), event)
    config = support.configuration(
        support.route(model.Kind.STREAM, resumable=True)
    )
    async with (
        raw_target.open_target(
            raw_target.send_raw(cut, with_head=True), id="a"
        ) as first,
        raw_target.open_target(raw_target.stream_events([2]), id="b") as other,
        support.open_harness(config, first, other) as harness,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        data = await harness.ask(support.request(b"POST"))
    assert raw_target.find_header(other.requests[0], b"last-event-id") == b"1"
    assert [data.count(b"id: %d\n" % number) for number in (1, 2)] == [1, 1]


# Guards against an answer that is split into events though it is no stream.
async def test_type_that_begins_like_that_of_streams_passes_for_one() -> None:
    fields = raw_target.SEAL + b"Content-Type: text/event-streams\r\n"
    config = support.configuration(support.route(model.Kind.STREAM))
    async with (
        raw_target.open_target(raw_target.answer(b"id: 1", rest=fields)) as one,
        support.open_harness(config, one) as harness,
    ):
        data = await harness.ask(support.request(b"POST"))
    assert data.endswith(b"\r\n\r\nid: 1")


# Guards against an event that callers cannot read, as the mark before a stream
# that goes on stands in the middle of theirs.
@pytest.mark.parametrize("end", [b"\n", b"\r\n", b"\r"])
async def test_mark_of_a_stream_that_goes_on_is_passed_on(end: bytes) -> None:
    def streamed(number: int, last: bytes) -> raw_target.Script:
        event = MARK + b"id: %d%bdata: x%b%b" % (number, end, end, end)
        fields = b"Content-Type: text/event-stream\r\n"
        fields += b"Transfer-Encoding: chunked\r\n\r\n"
        chunk = b"%x\r\n%b\r\n" % (len(event), event)
        return raw_target.send_raw(fields + chunk + last, with_head=True)

    config = support.configuration(
        support.route(model.Kind.STREAM, resumable=True)
    )
    async with (
        raw_target.open_target(streamed(1, b""), id="a") as first,
        raw_target.open_target(streamed(2, b"0\r\n\r\n"), id="b") as other,
        support.open_harness(config, first, other) as harness,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        data = await harness.ask(support.request(b"POST"))
    assert raw_target.find_header(other.requests[0], b"last-event-id") == b"1"
    assert b"id: 2" + end in data
    assert MARK + b"id: 2" not in data
    assert data.count(MARK + b"id: 1") == 1


# Guards against a body that is not the target's, byte for byte.
@pytest.mark.parametrize(
    "body", [MARK + b"id: 1\n\n", MARK + b"id: 1\r\r", MARK + b"\n", MARK]
)
async def test_whole_stream_is_passed_on_without_its_mark(body: bytes) -> None:
    fields = raw_target.SEAL + b"Content-Type: text/event-stream\r\n"
    config = support.configuration(support.route(model.Kind.STREAM))
    async with (
        raw_target.open_target(raw_target.answer(body, rest=fields)) as one,
        support.open_harness(config, one) as harness,
    ):
        data = await harness.ask(support.request(b"POST"))
    parts = data.split(b"\r\n\r\n", 1)[1].split(b"\r\n")[1::2]
    assert b"".join(parts) == body
