"""Answers of targets in trouble, which are never taken for answers."""

from __future__ import annotations

import contextlib
import typing

import pytest
from tests.support import broken_heads
from tests.support import raw_target
from tests.support import resetting_target

from cactusstile import verdict
from cactusstile.targets import exceptions
from cactusstile.targets import http

if typing.TYPE_CHECKING:
    import collections.abc

pytestmark = pytest.mark.anyio
LONG_BODY = b"x" * resetting_target.LONG_REQUEST_BYTES
UPLOAD = http.Request("POST", "/", LONG_BODY)
TIMEOUT_S = 5.0


@contextlib.asynccontextmanager
async def opened(
    target: raw_target.RawTarget | resetting_target.ResettingTarget,
) -> collections.abc.AsyncIterator[http.HttpTarget]:
    async with http.open_target(f"http://{target.target.address}") as found:
        yield found


async def read_events(target: http.HttpTarget) -> None:
    async with target.open_events(UPLOAD, timeout_s=TIMEOUT_S) as found:
        async for _ in found:
            continue


# Guards against half an answer, without a length, that passes for a whole one.
async def test_answer_reset_during_an_upload_looks_whole() -> None:
    answer = b"HTTP/1.1 200 OK\r\n\r\nhalf of"
    async with (
        resetting_target.open_target(answer) as resetting,
        opened(resetting) as target,
    ):
        with pytest.raises(exceptions.TargetError) as caught:
            await target.call(UPLOAD, timeout_s=TIMEOUT_S)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN


# Guards against the same for a stream that breaks off after a whole event.
async def test_stream_reset_during_an_upload_looks_whole() -> None:
    answer = b"HTTP/1.1 200 OK\r\n\r\ndata: x\n\n"
    async with (
        resetting_target.open_target(answer) as resetting,
        opened(resetting) as target,
    ):
        with pytest.raises(exceptions.TargetError):
            await read_events(target)


# Guards against an answer that has no status, or a field without a name.
@pytest.mark.parametrize("answer", broken_heads.ANSWERS)
async def test_answer_without_a_proper_head_is_returned(answer: bytes) -> None:
    async with (
        raw_target.open_target(raw_target.send_raw(answer)) as raw,
        opened(raw) as target,
    ):
        with pytest.raises(exceptions.TargetError) as caught:
            await target.call(http.Request("GET", "/"), timeout_s=TIMEOUT_S)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
