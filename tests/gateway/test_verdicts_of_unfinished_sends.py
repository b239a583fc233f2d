from __future__ import annotations

import anyio
import anyio.abc
import attrs
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.http import request_limits
from cactusstile.sites import model

pytestmark = pytest.mark.anyio

ONCE = support.configuration(
    support.route(model.Kind.ONCE, max_attempts=3, timeout_s=1.0),
    limits=request_limits.CallerLimits(max_body_bytes=8 << 20),
)
# More than the buffers of both sides hold.
LONG_BODY = bytes(7 << 20)


async def _hold_unread(stream: anyio.abc.SocketStream, request: bytes) -> bool:
    """Takes the head of a request, and nothing more."""
    del stream, request
    await anyio.sleep(2.0)
    return False


@pytest.mark.parametrize("body", [b"", LONG_BODY])
async def test_request_cut_off_within_its_body_is_not_called_not_run(
    body: bytes,
) -> None:
    """Guards against a promise for a request that was handed over in part."""
    async with raw_target.open_target(
        _hold_unread, receive_buffer_bytes=4096
    ) as target:
        target.read_bodies = False
        async with support.open_harness(ONCE, target) as harness:
            harness.serving.memory.limit_bytes = 2 * len(LONG_BODY)
            data = await harness.ask(support.request(b"POST", body=body))
    assert len(target.requests) == 1
    assert support.status(data) == 504


async def test_refusal_of_a_second_target_does_not_hide_a_run() -> None:
    """Guards against a promise after the kind of a route has changed."""
    harness: support.GatewayHarness
    repeated = support.configuration(support.route(max_attempts=3))

    async def break_off(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        del stream, request
        once = support.configuration(
            support.route(model.Kind.ONCE, max_attempts=3), version=2
        )
        harness.site.replace_configuration(once)
        return False

    async with (
        raw_target.open_target(break_off, id="a") as first,
        raw_target.open_target(raw_target.reject(), id="b") as second,
        support.open_harness(repeated, first, second) as harness,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        data = await harness.ask(support.request(b"POST"))
    assert len(first.requests) == 1
    assert support.status(data) == 502


async def test_request_on_its_way_to_a_later_start_is_not_called_not_run() -> (
    None
):
    """Guards against a promise after a target was started again meanwhile."""
    harness: support.GatewayHarness

    async def restart(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        del stream, request
        listed = attrs.evolve(target.target, born_ms=7)
        harness.site.replace_targets((listed,), anyio.current_time())
        return False

    async with (
        raw_target.open_target(restart, raw_target.reject()) as target,
        support.open_harness(ONCE, target) as harness,
    ):
        data = await harness.ask(support.request(b"POST"))
    assert len(target.requests) == 1
    assert support.status(data) == 502
