from __future__ import annotations

import logging

import anyio
import attrs
import pytest
from tests.gateway import copies
from tests.gateway import notices
from tests.gateway import support
from tests.support import raw_target

from cactusstile.sites import model

pytestmark = pytest.mark.anyio
ONCE = model.Kind.ONCE
STREAM = model.Kind.STREAM
PROMPT = copies.FIELDS
WEIGHTS = copies.WEIGHTS
NOT_RUN = b"X-Cactusstile-Not-Executed: 1\r\n"
# Longer than the back-off after a plain rejection.
BACKOFF_S = 0.1


def configuration(
    kind: model.Kind = ONCE, **rest: object
) -> model.SiteConfiguration:
    route = support.route(kind, **{"timeout_s": 6.0, **rest})
    return support.configuration(route)


def pause(seconds: bytes, rest: bytes = NOT_RUN) -> raw_target.Script:
    """Returns a script that rejects and asks for a pause."""
    fields = rest + b"Retry-After: " + seconds + b"\r\n"
    return raw_target.answer(b"", b"503 Full", fields)


def gated(gate: anyio.Event, script: raw_target.Script) -> raw_target.Script:
    """Returns a script that runs another one once `gate` is set."""
    return raw_target.in_turn(raw_target.send_raw(b""), gate, script)


def retry_after_s(data: bytes) -> float:
    value = raw_target.find_header(data, b"retry-after")
    assert value is not None
    return float(value)


async def wait_for_requests(target: raw_target.RawTarget, count: int) -> None:
    with anyio.fail_after(5):
        while len(target.requests) < count:
            await anyio.sleep(0.01)


@pytest.mark.parametrize(
    "rest", [NOT_RUN, b"", raw_target.SEAL], ids=["marked", "plain", "sealed"]
)
async def test_request_reaches_a_target_within_its_pause(rest: bytes) -> None:
    async with (
        raw_target.open_target(
            pause(b"1.0", rest), raw_target.answer()
        ) as target,
        support.open_harness(configuration(), target) as harness,
    ):
        await harness.ask(support.request(b"POST"))
        await anyio.sleep(BACKOFF_S)
        # Later lists first lack the target and then show it again.
        harness.site.replace_targets((), 0.0)
        harness.site.replace_targets((target.target,), 0.0)
        data = await harness.ask(support.request(b"POST"))
        assert support.status(data) == 503
        assert 0.2 <= retry_after_s(data) <= 1.0
        assert len(target.requests) == 1
        assert harness.records[1].outcome == "overloaded"
        await anyio.sleep(retry_after_s(data))
        data = await harness.ask(support.request(b"POST"))
        assert support.status(data) == 200


async def test_pausing_target_is_a_last_resort_beside_failing_ones() -> None:
    async with (
        raw_target.open_target(
            pause(b"9"), raw_target.answer(), id="a"
        ) as first,
        raw_target.open_target(*[raw_target.answer()] * 2, id="b") as second,
        support.open_harness(configuration(), first, second) as harness,
    ):
        view = harness.site.targets.views["b", 0]
        view.inflight = 3
        await harness.ask(support.request(b"POST"))
        view.record_failure(anyio.current_time(), eject_now=True)
        data = await harness.ask(support.request(b"POST"))
    assert support.status(data) == 200
    assert len(first.requests) == 1
    assert len(harness.records[1].attempts) == 1


async def test_callers_return_later_than_the_first_pause_ends() -> None:
    async with (
        raw_target.open_target(pause(b"5"), id="a") as first,
        raw_target.open_target(pause(b"1.5"), id="b") as second,
        support.open_harness(configuration(), first, second) as harness,
    ):
        data = await harness.ask(support.request(b"POST"))
    assert support.status(data) == 503
    assert 0.75 < retry_after_s(data) <= 1.5


async def test_callers_are_told_to_wait_longer_than_they_can() -> None:
    deadline = b"X-Cactusstile-Deadline-Ms: 3000\r\n"
    async with (
        raw_target.open_target(pause(b"5")) as target,
        support.open_harness(configuration(), target) as harness,
    ):
        data = await harness.ask(support.request(b"POST", deadline))
    assert support.status(data) == 503
    assert 0.5 < retry_after_s(data) <= 1.0


async def test_restarted_target_is_used_again() -> None:
    async with (
        raw_target.open_target(pause(b"9"), raw_target.answer()) as target,
        support.open_harness(configuration(), target) as harness,
    ):
        await harness.ask(support.request(b"POST"))
        restarted = attrs.evolve(target.target, born_ms=17)
        harness.site.replace_targets((restarted,), 0.0)
        data = await harness.ask(support.request(b"POST"))
    assert support.status(data) == 200


async def test_request_chosen_before_its_target_asked_for_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = notices.hold_first_connect(monkeypatch)
    scripts = [pause(b"9"), raw_target.answer()]
    answers = [raw_target.answer() for _ in range(2)]
    async with (
        raw_target.open_target(*scripts, id="a") as first,
        raw_target.open_target(*answers, id="b") as second,
        support.open_harness(configuration(), first, second) as harness,
        await harness.connect() as caller,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        await caller.send(support.request(b"POST"))
        await held.begun.wait()
        await harness.ask(support.request(b"POST"))
        held.gate.set()
        data = await support.read_to_end(caller)
    assert support.status(data) == 200
    assert (len(first.requests), len(second.requests)) == (1, 2)


async def test_prompt_is_refused_though_a_pause_ends_within_its_wait() -> None:
    config = configuration(STREAM, objective_s=8.0)
    scripts = [pause(b"0.8"), raw_target.stream_events([1])]
    async with (
        raw_target.open_target(*scripts) as target,
        support.open_harness(config, target) as harness,
    ):
        await harness.ask(support.request(b"POST"))
        asked_s = anyio.current_time()
        data = await harness.ask(support.request(b"POST"))
        assert anyio.current_time() - asked_s > 0.3
    assert support.status(data) == 200


async def test_prompt_waits_in_vain_for_a_pause_that_outlasts_its_wait() -> (
    None
):
    config = configuration(STREAM, objective_s=8.0)
    scripts = [pause(b"9"), raw_target.stream_events([1])]
    async with (
        raw_target.open_target(*scripts) as target,
        support.open_harness(config, target) as harness,
    ):
        await harness.ask(support.request(b"POST"))
        with anyio.fail_after(1.5):
            data = await harness.ask(support.request(b"POST"))
    assert support.status(data) == 503
    assert retry_after_s(data) > 0.25
    assert len(target.requests) == 1


async def test_waiting_prompt_is_kept_though_a_pause_outlasts_its_wait() -> (
    None
):
    config = configuration(STREAM, objective_s=8.0)
    gate = anyio.Event()
    async with (
        raw_target.open_target(gated(gate, pause(b"9"))) as target,
        support.open_harness(config, target) as harness,
        await harness.connect() as first,
        await harness.connect() as second,
    ):
        await first.send(support.request(b"POST", PROMPT))
        await wait_for_requests(target, 1)
        harness.site.targets.views[target.target.incarnation].tokens = 10**9
        await second.send(support.request(b"POST", PROMPT))
        await anyio.sleep(0.1)
        gate.set()
        with anyio.fail_after(1.5):
            data = await support.read_to_end(second)
    assert support.status(data) == 503
    assert len(target.requests) == 1


def two_waits() -> model.SiteConfiguration:
    """Returns prompts that wait up to 5 s, and below /b/ up to 1 s."""
    long = support.route(STREAM, objective_s=20.0, timeout_s=12.0)
    short = attrs.evolve(long, name="s", prefix="/b/", objective_s=4.0)
    return support.configuration(long, short)


async def test_prompt_waits_in_vain_behind_one_that_may_wait_longer() -> None:
    short = support.request(b"POST").replace(b"/a/x", b"/b/x")
    async with (
        raw_target.open_target(pause(b"3")) as target,
        support.open_harness(two_waits(), target) as harness,
        await harness.connect() as caller,
    ):
        await harness.ask(support.request(b"POST"))
        await caller.send(support.request(b"POST"))
        await anyio.sleep(0.1)
        with anyio.fail_after(0.8):
            data = await harness.ask(short)
    assert retry_after_s(data) > 1.2


async def test_prompt_behind_another_is_told_to_return_within_a_pause() -> None:
    gate = anyio.Event()
    short = support.request(b"POST", PROMPT).replace(b"/a/x", b"/b/x")
    async with (
        raw_target.open_target(gated(gate, pause(b"3"))) as target,
        support.open_harness(two_waits(), target) as harness,
        await harness.connect() as first,
        await harness.connect() as second,
        await harness.connect() as third,
    ):
        await first.send(support.request(b"POST", PROMPT))
        await wait_for_requests(target, 1)
        harness.site.targets.views[target.target.incarnation].tokens = 10**9
        # Without the pause, callers would be told to return at once.
        times = harness.forwarder.queue.times
        times.record_end(10**9, anyio.current_time())
        await second.send(support.request(b"POST", PROMPT))
        await anyio.sleep(0.1)
        await third.send(short)
        await anyio.sleep(0.1)
        gate.set()
        data = await support.read_to_end(third)
    assert retry_after_s(data) > 1.2


async def test_run_is_resumed_at_a_target_within_its_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    copies.end_first(monkeypatch)
    config = copies.back_up(configuration(STREAM, max_attempts=1))
    gate = anyio.Event()
    begin = raw_target.stream_events([1, 2], whole=False)
    scripts = [raw_target.in_turn(begin, gate, raw_target.send_raw(b""))]
    pauses = [pause(b"9"), raw_target.stream_events([3, 4])]
    async with (
        raw_target.open_target(*scripts, id="a", weights=WEIGHTS) as first,
        raw_target.open_target(*pauses, id="b", weights=WEIGHTS) as second,
        support.open_harness(config, first, second) as harness,
        await harness.connect() as caller,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        await caller.send(support.request(b"POST", PROMPT))
        assert b"id: 1" in await caller.receive()
        harness.site.targets.views["a", 0].inflight = 9
        await harness.ask(support.request(b"POST", PROMPT))
        await anyio.sleep(BACKOFF_S)
        gate.set()
        await support.read_to_end(caller)
        assert not harness.site.targets.views["b", 0].is_usable(
            anyio.current_time()
        )
    assert len(second.requests) == 1
    assert len(harness.records[-1].attempts) == 1


async def test_operator_does_not_see_that_a_target_asks_for_pauses(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "cactusstile")
    gate = anyio.Event()
    async with (
        raw_target.open_target(*[gated(gate, pause(b"9"))] * 2) as target,
        support.open_harness(configuration(), target) as harness,
        anyio.create_task_group() as group,
    ):
        group.start_soon(harness.ask, support.request(b"POST"))
        group.start_soon(harness.ask, support.request(b"POST"))
        await wait_for_requests(target, 2)
        gate.set()
    lines = [line for line in caplog.messages if "asks for a pause" in line]
    assert len(lines) == 1
    assert notices.count_notices(harness.records, "pause") == 2
