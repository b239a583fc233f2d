"""Answers of targets in trouble, which no caller may get as an answer."""

from __future__ import annotations

import pytest
from tests.gateway import support
from tests.support import broken_heads
from tests.support import raw_target
from tests.support import resetting_target

from cactusstile.http import request_limits
from cactusstile.sites import model

pytestmark = pytest.mark.anyio
LONG_UPLOAD = b"x" * resetting_target.LONG_REQUEST_BYTES
LIMITS = request_limits.CallerLimits(max_body_bytes=len(LONG_UPLOAD))
PLAIN = support.configuration(support.route(model.Kind.ONCE), limits=LIMITS)
STREAM = support.configuration(support.route(model.Kind.STREAM), limits=LIMITS)
IDENTITY = b"X-Cactusstile-Attempt-Id: %(id)s\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + IDENTITY + raw_target.SEAL
EVENTS = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


async def ask(
    site: model.SiteConfiguration, script: raw_target.Script
) -> bytes:
    """Returns what a caller gets of a target that runs the script."""
    async with (
        raw_target.open_target(script) as target,
        support.open_harness(site, target) as harness,
    ):
        return await harness.ask(support.request(b"POST"))


async def upload(
    site: model.SiteConfiguration, answer: bytes, *, ended: bool = False
) -> bytes:
    """Returns what a caller gets that uploads while the target resets."""
    async with (
        resetting_target.open_target(answer, ended=ended) as target,
        support.open_harness(site, target) as harness,
    ):
        harness.serving.memory.limit_bytes = 2 * len(LONG_UPLOAD)
        return await harness.ask(support.request(b"POST", body=LONG_UPLOAD))


# Guards against half an answer that passes for a whole one: the writer of the
# upload hears of the reset, and the reader then of a proper end.
async def test_answer_reset_during_an_upload_looks_whole() -> None:
    data = await upload(PLAIN, HEAD + b"\r\nhalf of")
    assert support.status(data) == 502
    assert b"half of" not in data


# Guards against the same in the version whose answers seldom have a length.
async def test_old_answer_reset_during_an_upload_looks_whole() -> None:
    head = HEAD.replace(b"HTTP/1.1", b"HTTP/1.0")
    data = await upload(PLAIN, head + b"\r\nhalf of")
    assert support.status(data) == 502
    assert b"half of" not in data


# Guards against the same for a stream that breaks off after a whole event.
async def test_stream_reset_during_an_upload_looks_whole() -> None:
    data = await upload(STREAM, EVENTS + b"id: 1\ndata: x\n\n")
    assert not data.endswith(LAST_CHUNK)


# Guards against a whole answer that is lost as its connection is reset later.
async def test_answer_that_ended_before_the_reset_is_lost() -> None:
    data = await upload(PLAIN, HEAD + b"\r\nall of it", ended=True)
    assert support.status(data) == 200
    assert data.endswith(b"\r\n\r\nall of it")


# Guards against the same for an answer whose length is known.
async def test_answer_with_a_length_is_lost_by_a_reset() -> None:
    data = await upload(PLAIN, HEAD + b"Content-Length: 4\r\n\r\ndone")
    assert support.status(data) == 200
    assert data.endswith(b"\r\n\r\ndone")


# Guards against an answer whose status means nothing to a caller.
@pytest.mark.parametrize("status", broken_heads.STATUSES)
@pytest.mark.parametrize("site", [PLAIN, STREAM])
async def test_answer_without_a_status_is_passed_on(
    site: model.SiteConfiguration, status: bytes
) -> None:
    script = raw_target.answer(status=status + b" Broken")
    data = await ask(site, script)
    assert support.status(data) == 502
    assert b"done" not in data


# Guards against a line that is no field, or a body of another length than the
# target's, in an answer.
@pytest.mark.parametrize("name", broken_heads.NAMES)
@pytest.mark.parametrize("site", [PLAIN, STREAM])
async def test_answer_with_a_field_without_a_name_is_passed_on(
    site: model.SiteConfiguration, name: bytes
) -> None:
    rest = name + b": 4\r\n" + broken_heads.REST
    data = await ask(site, raw_target.send_raw(rest, with_head=True))
    assert support.status(data) == 502
    assert b"done" not in data


# Guards against a stream that ends as whole before the end of its chunks.
@pytest.mark.parametrize("name", broken_heads.NAMES)
@pytest.mark.parametrize("site", [PLAIN, STREAM])
async def test_answer_with_a_trailer_without_a_name_looks_whole(
    site: model.SiteConfiguration, name: bytes
) -> None:
    fields = b"Transfer-Encoding: chunked\r\n"
    if site is STREAM:
        fields += b"Content-Type: text/event-stream\r\n"
    chunk = b"f\r\nid: 1\ndata: x\n\n\r\n"
    rest = fields + b"\r\n" + chunk + b"0\r\n" + name + b": 4\r\n\r\n"
    data = await ask(site, raw_target.send_raw(rest, with_head=True))
    assert not data.endswith(LAST_CHUNK)
    assert site is STREAM or support.status(data) == 502


# Guards against a whole answer that is lost by a field of several lines, or of
# which a later line passes for a field.
async def test_field_that_is_continued_is_passed_on_in_lines() -> None:
    rest = b"X-Some: a\r\n Content-Length: 1\r\n" + broken_heads.REST
    data = await ask(PLAIN, raw_target.send_raw(rest, with_head=True))
    assert b"\r\nx-some: a Content-Length: 1\r\n" in data
    assert data.endswith(b"\r\n\r\ndone")
