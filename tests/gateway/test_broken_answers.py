"""Answers of targets in trouble, which no caller may get as an answer."""

from __future__ import annotations

import pytest
from tests.gateway import support
from tests.support import raw_target
from tests.support import resetting_target

from cactusstile.http import request_limits
from cactusstile.sites import model

pytestmark = pytest.mark.anyio
# More than the operating system takes while a target reads nothing.
LONG_UPLOAD = b"x" * (8 << 20)
LIMITS = request_limits.CallerLimits(max_body_bytes=len(LONG_UPLOAD))
PLAIN = support.configuration(support.route(model.Kind.ONCE), limits=LIMITS)
STREAM = support.configuration(support.route(model.Kind.STREAM), limits=LIMITS)
IDENTITY = b"X-Cactusstile-Attempt-Id: %(id)s\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + IDENTITY + raw_target.SEAL
EVENTS = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


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
