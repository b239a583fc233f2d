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
