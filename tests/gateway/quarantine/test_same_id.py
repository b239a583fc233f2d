"""Targets that end under a request and start again under their ids."""

from __future__ import annotations

import contextlib

import anyio
import anyio.abc
import attrs
import pytest
from tests.gateway import support
from tests.gateway.quarantine import support as quarantines
from tests.support import raw_target

from cactusstile.gateway.quarantine import decision
from cactusstile.gateway.quarantine import request_keys
from cactusstile.sites import model

pytestmark = pytest.mark.anyio
BAD = b"/a/bad"
IDS = ("t-0", "t-1")
ROUNDS = 8
# The users' rule: ends that are forgiven, and arrivals after them.
FORGIVEN_ENDS = 3
FORGIVEN_ARRIVALS = 3
KEYS = request_keys.RequestKeys("bad", frozenset(), "r", "w")


def request(number: int) -> bytes:
    return (
        support.request(b"POST", b"", b"the same")
        .replace(b"Id: one", b"Id: %d" % number)
        .replace(b"/a/x?q=1", BAD)
    )


async def open_fragile(
    stack: contextlib.AsyncExitStack, name: str, born_ms: int
) -> raw_target.RawTarget:
    """Opens a start of a target that ends under each request."""
    opened = raw_target.open_target(id=name, born_ms=born_ms)
    target = await stack.enter_async_context(opened)

    async def end(stream: anyio.abc.SocketStream, data: bytes) -> bool:
        await target.end()
        return False

    target.scripts.append(end)
    return target


# Guards against a request that crashes the same few targets without end.
async def test_request_under_which_targets_end_again_and_again_is_held() -> (
    None
):
    config = support.configuration(support.route(max_attempts=2))
    arrivals = 0
    async with contextlib.AsyncExitStack() as stack:
        targets = {name: await open_fragile(stack, name, 1) for name in IDS}
        gateways = await stack.enter_async_context(
            support.open_gateways(2, config, list(targets.values()))
        )
        for number in range(ROUNDS):
            await gateways[number % 2].ask(request(number))
            for name, ended in targets.items():
                if not ended.requests:
                    continue
                arrivals += 1
                targets[name] = await open_fragile(stack, name, number + 2)
            listed = tuple(one.target for one in targets.values())
            for gateway in gateways:
                gateway.site.replace_targets(listed, anyio.current_time())
            await anyio.sleep(0.2)
    assert FORGIVEN_ENDS <= arrivals <= FORGIVEN_ENDS + FORGIVEN_ARRIVALS


async def test_request_sent_after_the_end_of_a_listed_start_ends_another() -> (
    None
):
    known = quarantines.open_gateway("g0", 1, lambda *_: None)
    now_s = anyio.current_time()
    for number in range(decision.MIN_ENDS):
        sent_s = now_s - 10.0 + number
        known.record_end("t@7", KEYS, sent_s, sent_s + 0.1)
    assert known.is_held(KEYS)


async def test_requests_that_one_end_broke_off_count_as_one_end() -> None:
    known = quarantines.open_gateway("g0", 1, lambda *_: None)
    now_s = anyio.current_time()
    for number in range(decision.MIN_ENDS):
        known.record_end("t@7", KEYS, now_s - 0.1, now_s + 0.02 * number)
    assert not known.is_held(KEYS)


async def test_break_at_a_start_that_another_follows_counts_as_an_end() -> None:
    config = support.configuration(support.route(model.Kind.ONCE))
    async with (
        raw_target.open_target(
            raw_target.send_raw(b""), id="t-0", born_ms=1
        ) as target,
        support.open_gateways(1, config, [target]) as (gateway,),
    ):
        await gateway.ask(request(1))
        quarantine = gateway.forwarder.quarantine
        quarantine.record_unlisted_ends()
        assert not quarantine.evidence.ends
        again = attrs.evolve(target.target, born_ms=2)
        gateway.site.replace_targets((again,), anyio.current_time())
        quarantine.record_unlisted_ends()
        assert [key[0] for key in quarantine.evidence.ends] == ["t-0@1"]
