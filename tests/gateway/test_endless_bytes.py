from __future__ import annotations

import contextlib

import anyio
import attrs
import pytest
from tests.gateway import support
from tests.support import endless_target
from tests.support import raw_target

from cactusstile.sites import model

pytestmark = pytest.mark.anyio
HEAD = b"HTTP/1.1 200 OK\r\n"
IDENTITY = b"X-Cactusstile-Attempt-Id: %(id)s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
ANSWER = HEAD + IDENTITY + raw_target.SEAL
LATE = HEAD + b"X-Cactusstile-Attempt-Id: other\r\n"
EVENTS = raw_target.SEAL + b"Content-Type: text/event-stream\r\n"
STREAM = HEAD + IDENTITY + EVENTS + CHUNKED + b"\r\n"
OTHER = model.Share("other", 1.0)
BLOCK = b"x" * 1024
CHUNK = b"400\r\n" + BLOCK + b"\r\n"


async def _ask_elsewhere(first: bytes, unit: bytes) -> None:
    """Checks that the request goes on to another target within the limits."""
    config = support.configuration(support.route(timeout_s=20.0))
    async with (
        raw_target.open_target(raw_target.answer(), id="b") as other,
        contextlib.AsyncExitStack() as stack,
    ):
        endless = stack.enter_context(
            endless_target.open_target(first, unit, "a")
        )
        harness = await stack.enter_async_context(
            support.open_harness(config, endless, other)  # type: ignore[arg-type]
        )
        harness.site.targets.views["b", 0].inflight = 3
        data = await harness.ask(support.request())
    assert endless.closed_by_caller
    assert support.status(data) == 200
    reasons = [attempt.outcome for attempt in harness.records[0].attempts]
    assert reasons == ["malformed", "answered"]


@pytest.mark.parametrize(
    ("first", "unit"),
    [
        pytest.param(b"", b"\0", id="no-answer"),
        pytest.param(b"HTTP/1.1 200 ", b"x", id="status-line"),
        pytest.param(ANSWER + b"X-A: ", b"x", id="field"),
        pytest.param(ANSWER, b"X-A: 1\r\n", id="fields"),
    ],
)
async def test_request_goes_on_from_a_head_without_end(
    first: bytes, unit: bytes
) -> None:
    await _ask_elsewhere(first, unit)


@pytest.mark.parametrize(
    ("first", "unit"),
    [
        pytest.param(ANSWER + b"\r\n", BLOCK, id="no-length"),
        pytest.param(ANSWER + CHUNKED + b"\r\n", CHUNK, id="chunks"),
        pytest.param(ANSWER + CHUNKED + b"\r\n1;a=", b"x", id="extension"),
        pytest.param(
            ANSWER + CHUNKED + b"\r\n0\r\n", b"X-A: 1\r\n", id="trailers"
        ),
    ],
)
async def test_request_goes_on_from_a_body_without_end(
    first: bytes, unit: bytes
) -> None:
    await _ask_elsewhere(first, unit)


async def test_request_goes_on_from_interim_answers_without_end() -> None:
    await _ask_elsewhere(b"", b"HTTP/1.1 100 Continue\r\n\r\n")


@pytest.mark.parametrize(
    ("first", "unit"),
    [
        pytest.param(LATE + CHUNKED + b"\r\n", CHUNK, id="one"),
        pytest.param(b"", LATE + b"Content-Length: 0\r\n\r\n", id="many"),
    ],
)
async def test_request_goes_on_from_late_answers_without_end(
    first: bytes, unit: bytes
) -> None:
    await _ask_elsewhere(first, unit)


async def test_request_goes_on_from_an_event_without_end() -> None:
    await _ask_elsewhere(STREAM, b"8000\r\n" + 32 * BLOCK + b"\r\n")


async def test_request_goes_on_from_one_byte_chunks_without_end() -> None:
    await _ask_elsewhere(ANSWER + CHUNKED + b"\r\n", b"1\r\nx\r\n")


@pytest.mark.parametrize(
    "unit",
    [
        pytest.param(b"data: x\n\n", id="unnumbered"),
        pytest.param(b"id: 1\n\n", id="already-sent"),
        pytest.param(b": x\n\n", id="comments"),
    ],
)
async def test_stream_without_end_ends_by_the_timeout_of_its_route(
    unit: bytes,
) -> None:
    routes = (
        support.route(timeout_s=1.5),
        support.route(name="other", prefix="/b/", shares=(OTHER,)),
    )
    services = {name: model.Service(name) for name in ("plain", "other")}
    config = attrs.evolve(support.configuration(*routes), services=services)
    chunk = b"%x\r\n%b\r\n" % (len(unit), unit)
    statuses = []
    async with (
        raw_target.open_target(
            raw_target.answer(), raw_target.answer(), service="other"
        ) as other,
        contextlib.AsyncExitStack() as stack,
    ):
        endless = stack.enter_context(endless_target.open_target(STREAM, chunk))
        harness = await stack.enter_async_context(
            support.open_harness(config, endless, other)  # type: ignore[arg-type]
        )
        async with anyio.create_task_group() as group:
            group.start_soon(harness.ask, support.request())
            for _ in range(2):
                await anyio.sleep(0.1)
                ask = support.request().replace(b"/a/x", b"/b/x")
                statuses.append(support.status(await harness.ask(ask)))
                assert len(harness.records) == len(statuses)
    assert statuses == [200, 200]
    assert endless.closed_by_caller
    assert harness.records[-1].outcome == "deadline_exceeded"
