"""Prompts that wait at an engine until its weights are past the limit."""

from __future__ import annotations

import anyio
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.sites import model
from cactusstile.sites import salts

pytestmark = pytest.mark.anyio
STREAM = model.Kind.STREAM
FIELDS = b"X-Cactusstile-Model: m\r\nX-Cactusstile-Token-Usage: 100,9\r\n"
OLD = (model.Weights("m", 1),)
NEW = (model.Weights("m", 2),)


async def test_prompt_does_not_wait_at_engine_until_weights_are_outdated() -> (
    None
):
    async with (
        raw_target.open_target(
            raw_target.silent(), id="old", weights=OLD
        ) as old,
        raw_target.open_target(
            raw_target.stream_events([1]), id="new", weights=NEW
        ) as new,
    ):
        config = support.configuration(support.route(STREAM, resumable=True))
        async with support.open_harness(
            config, old, new, weights_s=1.0
        ) as harness:
            harness.site.targets.views["new", 0].inflight = 9
            announced_s = anyio.current_time()
            harness.site.weights.add("m", 2, announced_s)
            data = await harness.ask(support.request(b"POST", FIELDS))
            with anyio.fail_after(announced_s + 1.0 - anyio.current_time()):
                await old.closed.wait()
    assert support.status(data) == 200
    assert len(old.requests) == len(new.requests) == 1


async def test_stream_that_began_in_time_goes_on_past_the_limit() -> None:
    async def begin_and_end_late(stream: object, request: bytes) -> bool:
        begin = raw_target.stream_events([1], whole=False)
        await begin(stream, request)  # type: ignore[arg-type]
        await anyio.sleep(0.6)
        await stream.send(b"0\r\n\r\n")  # type: ignore[attr-defined]
        return True

    async with raw_target.open_target(
        begin_and_end_late, id="old", weights=OLD
    ) as old:
        config = support.configuration(support.route(STREAM))
        async with support.open_harness(config, old, weights_s=0.5) as harness:
            harness.site.weights.add("m", 2, anyio.current_time())
            data = await harness.ask(support.request(b"POST", FIELDS))
    assert data.endswith(b"0\r\n\r\n")


async def test_engine_of_unknown_weights_is_told_what_to_expect() -> None:
    async with raw_target.open_target(
        raw_target.stream_events([1]), id="unknown"
    ) as target:
        config = support.configuration(support.route(STREAM))
        async with support.open_harness(config, target) as harness:
            harness.site.weights.add("m", 2, anyio.current_time() - 9.0)
            await harness.ask(support.request(b"POST", FIELDS))
    sent = target.requests[0]
    expected = raw_target.find_header(sent, b"x-cactusstile-expect-version")
    assert expected == b"2"
    salt = raw_target.find_header(sent, b"x-cactusstile-cache-salt")
    assert salt == salts.make("shared", "m", 2).encode()
