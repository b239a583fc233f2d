"""Streams that are interrupted while targets of several builds serve."""

from __future__ import annotations

import anyio
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile import clocks
from cactusstile.gateway import build_history
from cactusstile.gateway import retries
from cactusstile.sites import messages
from cactusstile.sites import model

pytestmark = pytest.mark.anyio
STREAM = model.Kind.STREAM
CONFIG = support.configuration(support.route(STREAM, resumable=True))


def event_ids(data: bytes) -> list[bytes]:
    return [line for line in data.split(b"\n") if line.startswith(b"id:")]


async def test_interrupted_stream_does_not_go_on_at_another_build() -> None:
    cut = raw_target.stream_events([1, 2], whole=False)
    async with (
        raw_target.open_target(cut, id="a", build="v1") as first,
        raw_target.open_target(
            raw_target.stream_events([3]), id="b", build="v2"
        ) as other,
        support.open_harness(CONFIG, first, other) as harness,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        data = await harness.ask(support.request(b"POST"))
    assert other.requests == []
    assert event_ids(data) == [b"id: 1", b"id: 2"]
    assert not data.endswith(b"0\r\n\r\n")


async def test_interrupted_stream_goes_on_at_the_build_that_began_it() -> None:
    cut = raw_target.stream_events([1, 2], whole=False)
    async with (
        raw_target.open_target(cut, id="a", build="v1") as first,
        raw_target.open_target(
            raw_target.stream_events([3]), id="b", build="v2"
        ) as other,
        raw_target.open_target(
            raw_target.stream_events([3]), id="c", build="v1"
        ) as same,
        support.open_harness(CONFIG, first, other, same) as harness,
    ):
        harness.site.targets.views["b", 0].inflight = 1
        harness.site.targets.views["c", 0].inflight = 3
        data = await harness.ask(support.request(b"POST"))
    assert (len(same.requests), other.requests) == (1, [])
    assert event_ids(data) == [b"id: 1", b"id: 2", b"id: 3"]
    assert data.endswith(b"0\r\n\r\n")


async def test_resumed_stream_does_not_go_on_at_another_build() -> None:
    cut = raw_target.stream_events([1, 2], whole=False)
    resume = support.request(b"POST", b"Last-Event-Id: 2\r\nResumes: one\r\n")
    async with (
        raw_target.open_target(cut, id="a", build="v1") as first,
        raw_target.open_target(
            raw_target.stream_events([3]), id="b", build="v2"
        ) as other,
        support.open_harness(CONFIG, first, other) as harness,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        await harness.ask(support.request(b"POST"))
        harness.site.targets.views["a", 0].inflight = 9
        first.scripts.append(raw_target.stream_events([3]))
        resumed = resume.replace(b"Id: one", b"Id: two", 1)
        data = await harness.ask(resumed)
    assert other.requests == []
    assert event_ids(data) == [b"id: 3"]


# Guards against a resumed stream that is taken for a new one, as its id is read
# by another rule than the ids of events.
@pytest.mark.parametrize("last", [1764928000123, 1764928000123456789])
async def test_stream_resumed_after_a_long_id_goes_on_at_another_build(
    last: int,
) -> None:
    cut = raw_target.stream_events([last - 1, last], whole=False)
    going_on = b"Last-Event-Id: %d\r\nResumes: one\r\n" % last
    async with (
        raw_target.open_target(cut, id="a", build="v1") as first,
        raw_target.open_target(
            raw_target.stream_events([last + 1]), id="b", build="v2"
        ) as other,
        support.open_harness(CONFIG, first, other) as harness,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        await harness.ask(support.request(b"POST"))
        harness.site.targets.views["a", 0].inflight = 9
        first.scripts.append(raw_target.stream_events([last, last + 1]))
        resume = support.request(b"POST", going_on)
        data = await harness.ask(resume.replace(b"Id: one", b"Id: two", 1))
    assert other.requests == []
    assert event_ids(data) == [b"id: %d" % (last + 1)]


RESUME = b"Last-Event-Id: 2\r\nResumes: earlier\r\n"


async def test_stream_of_unknown_origin_is_refused_while_builds_differ() -> (
    None
):
    async with (
        raw_target.open_target(id="a", build="v1") as one,
        raw_target.open_target(id="b", build="v2") as other,
        support.open_harness(CONFIG, one, other) as harness,
    ):
        data = await harness.ask(support.request(b"POST", RESUME))
    assert support.status(data) == 503
    assert b"retry-after" in data.lower()
    assert one.requests == other.requests == []


async def test_stream_of_unknown_origin_goes_on_while_all_builds_are_one() -> (
    None
):
    whole = raw_target.stream_events([3])
    async with (
        raw_target.open_target(whole, id="a", build="v1") as one,
        support.open_harness(CONFIG, one) as harness,
    ):
        data = await harness.ask(support.request(b"POST", RESUME))
    assert event_ids(data) == [b"id: 3"]


@pytest.mark.parametrize("age_s", [None, 29.0])
async def test_gateway_that_has_just_started_joins_the_runs_of_two_builds(
    age_s: float | None,
) -> None:
    """All gateways ended while another build was in service, which is gone.

    Control has not told yet how long the listed build has been alone, or it
    has not been for long.
    """
    whole = raw_target.stream_events([3])
    async with (
        raw_target.open_target(whole, id="a", build="v2") as one,
        support.open_harness(CONFIG, one, builds_known=False) as harness,
    ):
        if age_s is not None:
            support.tell_builds(harness.site, age_s)
        data = await harness.ask(support.request(b"POST", RESUME))
    assert support.status(data) == 503
    assert one.requests == []


async def test_gateway_out_of_touch_joins_the_runs_of_two_builds() -> None:
    """It was frozen or cut off while targets of another build came."""
    whole = raw_target.stream_events([3])
    async with (
        raw_target.open_target(whole, id="a", build="v1") as one,
        support.open_harness(CONFIG, one) as harness,
    ):
        silent_s = build_history.MAX_SILENCE_S + 0.1
        harness.site.builds.confirm(clocks.boot_s() - silent_s)
        data = await harness.ask(support.request(b"POST", RESUME))
    assert support.status(data) == 503
    assert one.requests == []


async def test_stream_of_unknown_origin_goes_on_at_a_later_build() -> None:
    """Another build is listed while the only target is busy or fails."""
    whole = raw_target.stream_events([3])
    async with (
        raw_target.open_target(id="a", build="v1") as one,
        raw_target.open_target(whole, id="b", build="v2") as other,
        support.open_harness(CONFIG, one) as harness,
    ):

        async def list_another(_: raw_target.RawTarget, __: object) -> None:
            listed = (one.target, other.target)
            harness.site.replace_targets(listed, anyio.current_time())

        one.scripts.append(list_another)  # type: ignore[arg-type]
        data = await harness.ask(support.request(b"POST", RESUME))
    assert other.requests == []
    assert event_ids(data) == []


async def test_stream_is_refused_at_once_if_its_build_is_gone() -> None:
    async with (
        raw_target.open_target(id="b", build="v2") as other,
        support.open_harness(CONFIG, other) as harness,
    ):
        origin = retries.StreamOrigin("plain", "v1")
        harness.forwarder.directory.record("earlier", origin)
        data = await harness.ask(support.request(b"POST", RESUME))
    assert support.status(data) == 503
    assert other.requests == []


async def test_stream_goes_on_at_its_build_through_another_gateway() -> None:
    cut = raw_target.stream_events([1, 2], whole=False)
    async with (
        raw_target.open_target(cut, id="a", build="v1") as first,
        raw_target.open_target(
            raw_target.stream_events([3]), id="b", build="v2"
        ) as other,
        support.open_harness(CONFIG, first, other) as left,
        support.open_harness(CONFIG, first, other) as right,
    ):
        members = tuple(
            messages.GatewayMember(f"127.0.0.1:{number}", "d", 100.0)
            for number in (1, 2)
        )
        for own, harness, peer in (
            (members[0], left, right),
            (members[1], right, left),
        ):
            harness.site.gateways = members
            directory = harness.forwarder.directory
            harness.site.own_address = own.address
            receive = peer.forwarder.directory.receive
            directory.send = lambda message, _, to=receive: to(message)  # type: ignore[misc]
        left.site.targets.views["b", 0].inflight = 3
        await left.ask(support.request(b"POST"))
        first.scripts.append(raw_target.stream_events([3]))
        right.site.targets.views["a", 0].inflight = 9
        again = support.request(b"POST", RESUME.replace(b"earlier", b"one"))
        data = await right.ask(again.replace(b"Id: one", b"Id: two", 1))
    assert other.requests == []
    assert event_ids(data) == [b"id: 3"]
