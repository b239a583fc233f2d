from __future__ import annotations

import logging

import anyio
import attrs
import pytest
from tests.gateway import copies
from tests.gateway import notices
from tests.gateway import support
from tests.support import raw_target

from cactusstile.gateway import target_notices
from cactusstile.sites import model

pytestmark = pytest.mark.anyio
STREAM = model.Kind.STREAM
PROMPT = copies.FIELDS
WEIGHTS = copies.WEIGHTS
LEAVING = b"Server-Leaving: 1\r\n"
NOT_RUN = b"X-Cactusstile-Not-Executed: 1\r\n"
SEALED = raw_target.SEAL + LEAVING
EVENT_2 = b"f\r\nid: 2\ndata: x\n\n\r\n"


def configuration(
    kind: model.Kind = model.Kind.IDEMPOTENT,
) -> model.SiteConfiguration:
    return support.configuration(support.route(kind))


def leaving_answer() -> raw_target.Script:
    return raw_target.answer(rest=SEALED)


def leaving_stream() -> raw_target.Script:
    return raw_target.stream_events([1, 2, 3], fields=LEAVING)


@pytest.mark.parametrize(
    "script",
    [
        leaving_answer(),
        raw_target.answer(b"", b"503 Full", NOT_RUN + LEAVING),
        raw_target.answer(b"", b"421 Other", LEAVING),
        raw_target.answer(b"", b"500 Error", SEALED),
        raw_target.answer(b"", b"200 OK", LEAVING),
        leaving_stream(),
    ],
    ids=["answer", "rejection", "other", "error", "unproven", "stream"],
)
async def test_request_after_any_answer_of_a_leaving_target(
    script: raw_target.Script,
) -> None:
    answers = [raw_target.answer() for _ in range(3)]
    async with (
        raw_target.open_target(script, *answers, id="a") as first,
        raw_target.open_target(*answers, id="b") as second,
        support.open_harness(configuration(), first, second) as harness,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        await harness.ask(support.request())
        # Later lists first lack the target and then still show it as ready.
        harness.site.replace_targets((second.target,), 0.0)
        harness.site.replace_targets((first.target, second.target), 0.0)
        harness.site.targets.views["b", 0].inflight = 3
        data = await harness.ask(support.request())
        assert support.status(data) == 200
    assert len(first.requests) == 1
    assert len(harness.records[1].attempts) == 1


async def test_late_answer_of_a_leaving_target() -> None:
    late = b"HTTP/1.1 200 OK\r\nX-Cactusstile-Attempt-Id: other\r\n"
    late += SEALED + b"Content-Length: 1\r\n\r\nx"
    own = raw_target.answer(b"own")
    gate = anyio.Event()
    gate.set()
    both = raw_target.in_turn(raw_target.send_raw(late), gate, own)
    async with (
        raw_target.open_target(both, own) as target,
        support.open_harness(configuration(), target) as harness,
    ):
        assert (await harness.ask(support.request())).endswith(b"own")
        assert support.status(await harness.ask(support.request())) == 503


async def test_answer_of_another_target_says_nothing_of_this_one() -> None:
    other = LEAVING + b"X-Cactusstile-Instance-Id: other\r\n"
    scripts = [raw_target.answer(rest=raw_target.SEAL + other)]
    async with (
        raw_target.open_target(*scripts, raw_target.answer()) as target,
        support.open_harness(configuration(), target) as harness,
    ):
        for _ in range(2):
            data = await harness.ask(support.request())
            assert support.status(data) == 200


async def test_target_that_leaves_counts_as_usable_for_copies() -> None:
    async with (
        raw_target.open_target(leaving_answer()) as target,
        support.open_harness(configuration(), target) as harness,
    ):
        view = harness.site.targets.views[target.target.incarnation]
        assert view.is_usable(0.0)
        await harness.ask(support.request())
        assert not view.is_usable(0.0)


def test_notices_of_gone_targets_do_not_pile_up() -> None:
    table = target_notices.NoticeTable()
    limit = target_notices.MAX_UNLISTED
    for number in range(limit + 9):
        table.of((str(number), 0))
    table.forget_unlisted({("0", 0)})
    assert len(table.by_incarnation) == limit + 1
    assert ("0", 0) in table.by_incarnation
    assert ("1", 0) not in table.by_incarnation


async def test_service_of_which_all_targets_leave_is_refused_at_once() -> None:
    answers = [leaving_answer(), raw_target.answer()]
    async with (
        raw_target.open_target(*answers) as target,
        support.open_harness(configuration(), target) as harness,
    ):
        assert support.status(await harness.ask(support.request())) == 200
        with anyio.fail_after(1):
            data = await harness.ask(support.request())
    assert support.status(data) == 503
    assert raw_target.find_header(data, b"retry-after") is not None
    assert len(target.requests) == 1


async def test_target_that_leaves_is_a_last_resort_beside_failing_ones() -> (
    None
):
    answers = [raw_target.answer() for _ in range(2)]
    async with (
        raw_target.open_target(leaving_answer(), id="a") as first,
        raw_target.open_target(*answers, id="b") as second,
        support.open_harness(configuration(), first, second) as harness,
    ):
        view = harness.site.targets.views["b", 0]
        view.inflight = 3
        await harness.ask(support.request())
        view.record_failure(anyio.current_time(), eject_now=True)
        data = await harness.ask(support.request())
    assert support.status(data) == 200
    assert len(harness.records[1].attempts) == 1


async def test_route_keeps_to_the_service_of_which_all_targets_leave() -> None:
    shares = (model.Share("plain", 1.0), model.Share("other", 1.0))
    config = support.configuration(support.route(shares=shares))
    answers = [raw_target.answer() for _ in range(8)]
    async with (
        raw_target.open_target(*[leaving_answer()] * 8) as first,
        raw_target.open_target(*answers, service="other") as second,
        support.open_harness(config, first, second) as harness,
    ):
        for number in range(8):
            request = support.request().replace(b"one", b"r-%d" % number)
            data = await harness.ask(request)
            assert support.status(data) == 200
    assert (len(first.requests), len(second.requests)) == (1, 7)


async def test_restarted_target_is_used_again() -> None:
    answers = [leaving_answer(), raw_target.answer()]
    async with (
        raw_target.open_target(*answers) as target,
        support.open_harness(configuration(), target) as harness,
    ):
        await harness.ask(support.request())
        restarted = attrs.evolve(target.target, born_ms=17)
        harness.site.replace_targets((restarted,), 0.0)
        data = await harness.ask(support.request())
    assert support.status(data) == 200


@pytest.mark.parametrize(
    "script", [leaving_answer(), leaving_stream()], ids=["answer", "stream"]
)
async def test_callers_do_not_take_the_gateway_for_leaving(
    script: raw_target.Script,
) -> None:
    async with (
        raw_target.open_target(script) as target,
        support.open_harness(configuration(STREAM), target) as harness,
    ):
        data = await harness.ask(support.request(b"POST"))
    assert support.status(data) == 200
    assert raw_target.find_header(data, b"server-leaving") is None


async def test_callers_cannot_name_a_target_as_leaving() -> None:
    async with (
        raw_target.open_target(raw_target.answer()) as target,
        support.open_harness(configuration(), target) as harness,
    ):
        await harness.ask(support.request(rest=LEAVING))
    sent = target.requests[0]
    assert raw_target.find_header(sent, b"server-leaving") is None


async def test_stream_of_a_target_that_leaves_goes_on() -> None:
    gate = anyio.Event()
    begin = raw_target.stream_events([1], whole=False)
    end = raw_target.send_raw(EVENT_2 + b"0\r\n\r\n", keep=True)
    scripts = [raw_target.in_turn(begin, gate, end), leaving_answer()]
    async with (
        raw_target.open_target(*scripts) as target,
        support.open_harness(configuration(STREAM), target) as harness,
        await harness.connect() as caller,
    ):
        await caller.send(support.request(b"POST"))
        assert b"id: 1" in await caller.receive()
        await harness.ask(support.request(b"POST"))
        gate.set()
        data = await support.read_to_end(caller)
    assert b"id: 2" in data
    assert data.endswith(b"0\r\n\r\n")


async def test_request_chosen_before_its_target_said_that_it_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = notices.hold_first_connect(monkeypatch)
    answers = [leaving_answer(), raw_target.answer()]
    async with (
        raw_target.open_target(*answers, id="a") as first,
        raw_target.open_target(raw_target.answer(), id="b") as second,
        support.open_harness(configuration(), first, second) as harness,
        await harness.connect() as caller,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        await caller.send(support.request())
        await held.begun.wait()
        await harness.ask(support.request())
        held.gate.set()
        data = await support.read_to_end(caller)
        view = harness.site.targets.views["a", 0]
        assert view.failures == 0
    assert support.status(data) == 200
    assert (len(first.requests), len(second.requests)) == (1, 1)


async def test_run_is_not_resumed_at_a_target_that_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    once = support.route(STREAM, max_attempts=1)
    copies.end_first(monkeypatch)
    config = copies.back_up(support.configuration(once))
    gate = anyio.Event()
    begin = raw_target.stream_events([1, 2], whole=False)
    scripts = [raw_target.in_turn(begin, gate, raw_target.send_raw(b""))]
    leaving = [leaving_stream(), raw_target.stream_events([3, 4])]
    async with (
        raw_target.open_target(*scripts, id="a", weights=WEIGHTS) as first,
        raw_target.open_target(*leaving, id="b", weights=WEIGHTS) as second,
        support.open_harness(config, first, second) as harness,
        await harness.connect() as caller,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        await caller.send(support.request(b"POST", PROMPT))
        assert b"id: 1" in await caller.receive()
        harness.site.targets.views["a", 0].inflight = 9
        await harness.ask(support.request(b"POST", PROMPT))
        gate.set()
        data = await support.read_to_end(caller)
    assert not data.endswith(b"0\r\n\r\n")
    assert len(second.requests) == 1
    assert len(harness.records[-1].attempts) == 1


async def test_operator_sees_that_a_target_leaves(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "cactusstile")
    gate = anyio.Event()
    late = raw_target.in_turn(raw_target.send_raw(b""), gate, leaving_answer())
    async with (
        raw_target.open_target(late, late) as target,
        support.open_harness(configuration(), target) as harness,
        anyio.create_task_group() as group,
    ):
        group.start_soon(harness.ask, support.request())
        group.start_soon(harness.ask, support.request())
        while len(target.requests) < 2:
            await anyio.sleep(0.01)
        gate.set()
    lines = [line for line in caplog.messages if "says that it leaves" in line]
    assert len(lines) == 1
    assert notices.count_notices(harness.records, "leaving") == 2
