from __future__ import annotations

import anyio
import anyio.abc
import attrs
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.sites import model

pytestmark = pytest.mark.anyio

STREAM = support.configuration(support.route(model.Kind.STREAM, max_attempts=3))
FIELDS = (
    b"X-Cactusstile-Model: m\r\nX-Cactusstile-Token-Usage: 10,20\r\n"
    b"X-Cactusstile-Prompt-Prefix: x:10\r\n"
)


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_failed_run_with_a_stream_as_answer_is_not_called_not_run(
    status: int,
) -> None:
    """Guards against a false promise, passed on from the head of a stream."""
    event = b"id: 1\ndata: x\n\n"
    script = raw_target.answer(
        event,
        b"%d Odd" % status,
        raw_target.SEAL + b"Content-Type: text/event-stream\r\n",
    )
    async with (
        raw_target.open_target(script) as target,
        support.open_harness(STREAM, target) as harness,
    ):
        data = await harness.ask(support.request(b"POST", FIELDS))
    assert len(target.requests) == 1
    assert int(data.split()[1]) in (500, 502, 504)


async def test_request_returns_to_no_target_whose_start_is_learned_late() -> (
    None
):
    """Guards against one process that counts as two incarnations."""
    harness: support.GatewayHarness

    async def reject(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        listed = attrs.evolve(target.target, born_ms=7)
        harness.site.replace_targets((listed,), anyio.current_time())
        return await raw_target.reject()(stream, request)

    async with (
        raw_target.open_target(reject, raw_target.answer()) as target,
        support.open_harness(STREAM, target) as harness,
    ):
        await harness.ask(support.request(b"POST", FIELDS))
    assert len(target.requests) == 1


@pytest.mark.parametrize("others", [0, 1])
async def test_late_copy_of_a_refusal_does_not_speak_for_the_next_target(
    others: int,
) -> None:
    """Guards against a second run or a false promise after a copied refusal."""
    harness: support.GatewayHarness
    refusal = raw_target.reject(b"421 Misdirected")

    async def refuse(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        successor = attrs.evolve(first.target, id="successor")
        listed = successor, second.target
        now_s = anyio.current_time()
        harness.site.replace_targets(listed[: 1 + others], now_s)
        return await refusal(stream, request)

    async def run(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        if first.connections == 1:
            await refusal(stream, request)
        return await raw_target.answer()(stream, request)

    once = support.configuration(support.route(model.Kind.ONCE, max_attempts=3))
    async with (
        raw_target.open_target(refuse, run, id="a") as first,
        raw_target.open_target(raw_target.answer(), id="b") as second,
        support.open_harness(once, first, second) as harness,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        data = await harness.ask(support.request(b"POST"))
    assert len(first.requests) == 2
    assert support.status(data) == 200
    assert second.requests == []


async def test_late_copy_of_a_refusal_does_not_speak_for_the_same_id() -> None:
    """Guards against a false promise to a caller that uses an id again."""
    refusal = raw_target.reject()

    async def run(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        if target.connections == 1:
            await refusal(stream, request)
        return await raw_target.answer()(stream, request)

    once = support.configuration(support.route(model.Kind.ONCE, max_attempts=1))
    async with (
        raw_target.open_target(refusal, run) as target,
        support.open_harness(once, target) as harness,
    ):
        first = await harness.ask(support.request(b"POST"))
        await anyio.sleep(0.5)
        second = await harness.ask(support.request(b"POST"))
    assert support.status(first) == 503
    assert len(target.requests) == 2
    assert support.status(second) == 200


REFUSED = b"HTTP/1.1 503 Full\r\nX-Cactusstile-Not-Executed: 1\r\nServer: x"
MOVED = b"HTTP/1.1 421 Misdirected Request\r\nServer: x"
CUT_COPIES = {
    "refused-in-a-value": REFUSED,
    "refused-before-a-value": REFUSED.removesuffix(b" x"),
    "refused-in-its-mark": REFUSED.removesuffix(b" 1\r\nServer: x"),
    "moved-in-a-value": MOVED,
    "moved-in-its-reason": MOVED.removesuffix(b"Request\r\nServer: x"),
}


@pytest.mark.parametrize("fields", [raw_target.SEAL, b""], ids=["seal", "none"])
@pytest.mark.parametrize("copy", CUT_COPIES)
async def test_cut_copy_of_a_refusal_does_not_speak_for_the_next_request(
    copy: str, fields: bytes
) -> None:
    """Guards against a false promise by two heads that read as one."""

    async def run(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        assert target.connections == 1
        await stream.send(CUT_COPIES[copy])
        failed = raw_target.answer(b"", b"500 Failed", fields)
        return await failed(stream, request)

    once = support.configuration(support.route(model.Kind.ONCE, max_attempts=1))
    async with (
        raw_target.open_target(raw_target.reject(), run) as target,
        support.open_harness(once, target) as harness,
    ):
        await harness.ask(support.request(b"POST"))
        data = await harness.ask(
            support.request(b"POST").replace(b"Id: one", b"Id: two")
        )
    assert len(target.requests) == 2
    assert support.status(data) == 502
