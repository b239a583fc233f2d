"""Requests under which each target that runs them ends."""

from __future__ import annotations

import contextlib

import anyio
import attrs
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.sites import model

pytestmark = pytest.mark.anyio
TARGETS = 14
# Time that a target runs the request before it ends.
RUN_S = 0.05
PAUSE_S = 0.1
# The users' rule: ends that are forgiven, and arrivals after them.
FORGIVEN_ENDS = 3
FORGIVEN_ARRIVALS = 3
BAD = b"/a/bad"
ROUTES = {
    "idempotent": support.route(),
    "once": support.route(model.Kind.ONCE),
    "stream": support.route(model.Kind.STREAM, resumable=True, objective_s=1.0),
    "prompt": support.route(model.Kind.STREAM, resumable=True, objective_s=1.0),
}
PROMPT = b"X-Cactusstile-Model: m\r\nX-Cactusstile-Token-Usage: 99,9\r\n"
PROMPT += b"X-Cactusstile-Prompt-Prefix: all:20,ours:20,own:9\r\n"


def request(number: int, path: bytes, fields: bytes = b"") -> bytes:
    """Returns a request; only its id differs from that of another number."""
    return (
        support.request(b"POST", fields, b"the same")
        .replace(b"Id: one", b"Id: %d" % number)
        .replace(b"/a/x?q=1", path)
    )


def open_targets(
    count: int, kind: model.Kind
) -> contextlib.AbstractAsyncContextManager[list[raw_target.RawTarget]]:
    """Opens targets that end under the bad path."""
    answer = raw_target.answer()
    if kind is model.Kind.STREAM:
        answer = raw_target.stream_events([1])

    def make_script(target: raw_target.RawTarget) -> raw_target.Script:
        async def run(stream: anyio.abc.SocketStream, data: bytes) -> bool:
            if BAD not in data:
                return await answer(stream, data)
            await anyio.sleep(RUN_S)
            await target.end()
            return False

        return run

    return support.open_targets(count, make_script)


def count_arrivals(targets: list[raw_target.RawTarget]) -> int:
    received = [data for target in targets for data in target.requests]
    return sum(BAD in data for data in received)


@pytest.mark.parametrize("route", ROUTES)
async def test_request_that_comes_again_ends_one_target_after_another(
    route: str,
) -> None:
    config = support.configuration(ROUTES[route])
    fields = PROMPT if route == "prompt" else b""
    statuses = []
    async with (
        open_targets(TARGETS, ROUTES[route].kind) as targets,
        support.open_gateways(2, config, targets) as gateways,
    ):
        for number in range(TARGETS):
            gateway = gateways[number % 2]
            await gateway.ask(request(number, BAD, fields))
            data = await gateway.ask(request(100 + number, b"/a/good", fields))
            statuses.append(support.status(data))
            await anyio.sleep(PAUSE_S)
    assert count_arrivals(targets) <= FORGIVEN_ENDS + FORGIVEN_ARRIVALS
    assert statuses == [200] * TARGETS


# Guards against a request that counts as another one for each way of writing
# its host, which routes are found by without the port.
async def test_request_with_other_ports_ends_one_target_after_another() -> None:
    config = support.configuration(ROUTES["once"])
    async with (
        open_targets(TARGETS, ROUTES["once"].kind) as targets,
        support.open_gateways(1, config, targets) as (gateway,),
    ):
        for number in range(TARGETS):
            host = b"Host: H:%d\r\n" % (8000 + number)
            bad = request(number, BAD).replace(b"Host: h\r\n", host)
            await gateway.ask(bad)
            await anyio.sleep(PAUSE_S)
    assert count_arrivals(targets) <= FORGIVEN_ENDS + FORGIVEN_ARRIVALS


async def test_target_that_restarts_at_once_counts_as_one_that_goes_on() -> (
    None
):
    config = support.configuration(ROUTES["once"])
    async with (
        raw_target.open_target(raw_target.send_raw(b""), id="t-1") as target,
        support.open_gateways(1, config, [target]) as (gateway,),
    ):
        await gateway.ask(request(1, BAD))
        quarantine = gateway.forwarder.quarantine
        quarantine.record_unlisted_ends()
        assert not quarantine.evidence.ends
        restarted = attrs.evolve(target.target, id="t-2")
        gateway.site.replace_targets((restarted,), anyio.current_time())
        quarantine.record_unlisted_ends()
        assert [key[0] for key in quarantine.evidence.ends] == ["t-1"]


async def test_target_that_leaves_and_ends_is_held_against_a_request() -> None:
    config = support.configuration(ROUTES["once"])
    async with (
        open_targets(1, ROUTES["once"].kind) as (target,),
        support.open_gateways(1, config, [target]) as (gateway,),
        anyio.create_task_group() as group,
    ):
        group.start_soon(gateway.ask, request(1, BAD))
        await anyio.sleep(RUN_S / 2)
        leaving = attrs.evolve(target.target, leaving=True)
        gateway.site.replace_targets((leaving,), anyio.current_time())
    assert gateway.records[0].attempts[0].outcome == "broken"
    assert not gateway.forwarder.quarantine.evidence.ends


async def test_request_that_ran_is_refused_as_not_run_once_it_is_held() -> None:
    config = support.configuration(support.route(max_attempts=6))
    async with (
        open_targets(6, model.Kind.IDEMPOTENT) as targets,
        support.open_gateways(1, config, targets) as (gateway,),
    ):
        first = await gateway.ask(request(1, BAD))
        second = await gateway.ask(request(2, BAD))
    assert count_arrivals(targets) == FORGIVEN_ENDS
    refusals = [record.outcome for record in gateway.records]
    assert refusals == ["quarantined", "quarantined"]
    assert (support.status(first), support.status(second)) == (502, 503)


async def test_reset_counts_as_an_end_if_its_target_leaves_later() -> None:
    config = support.configuration(ROUTES["once"])
    async with (
        raw_target.open_target(raw_target.send_raw(b""), id="t-1") as target,
        support.open_gateways(1, config, [target]) as (gateway,),
    ):
        await gateway.ask(request(1, BAD))
        quarantine = gateway.forwarder.quarantine
        for listed in (attrs.evolve(target.target, leaving=True), None):
            targets = () if listed is None else (listed,)
            gateway.site.replace_targets(targets, anyio.current_time())
            quarantine.record_unlisted_ends()
        assert not quarantine.evidence.ends
