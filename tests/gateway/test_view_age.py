"""The age of a view is that of what was confirmed."""

from __future__ import annotations

import anyio
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile import clocks
from cactusstile.gateway import arrival
from cactusstile.gateway import leader_evidence
from cactusstile.gateway import view_age
from cactusstile.transport import exceptions as transport_exceptions

pytestmark = pytest.mark.anyio
LIMIT_S, CUT_OFF_S = 1.9, 3.0


class Clock:
    """The boot clock of a VM, moved by hand."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now_s = 100.0
        monkeypatch.setattr(clocks, "boot_s", lambda: self.now_s)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return Clock(monkeypatch)


def new_age() -> view_age.ViewAge:
    return view_age.ViewAge(LIMIT_S, CUT_OFF_S)


def test_confirmation_that_lay_in_a_buffer_counts_as_fresh(
    clock: Clock,
) -> None:
    age = new_age()
    number = age.ask()
    clock.now_s += 5.0
    assert age.confirm(number) == 5.0
    assert not age.is_current()
    age.confirm(age.ask())
    assert age.is_current()


def test_repeated_answer_counts_as_a_new_one(clock: Clock) -> None:
    age = new_age()
    number = age.ask()
    age.confirm(number)
    clock.now_s += LIMIT_S + 0.1
    age.confirm(number)
    assert not age.is_current()


def test_answer_to_a_question_that_was_never_asked_counts(clock: Clock) -> None:
    del clock
    age = new_age()
    age.confirm(age.ask() + 1)
    assert not age.is_current()


async def test_process_that_stood_still_takes_control_for_out_of_reach(
    clock: Clock,
) -> None:
    age = new_age()
    age.confirm(age.ask())
    clock.now_s += 10.0
    assert age.is_cut_off()
    woke_s = anyio.current_time()
    age.last_pause_s = lambda: woke_s
    assert not age.is_cut_off()


async def test_view_that_was_never_confirmed_decides_at_once() -> None:
    age = new_age()
    assert not age.is_current()
    # Control was in reach a moment ago: it sent the first configuration.
    assert not age.is_cut_off()


async def test_requests_that_wait_ask_one_question_each(clock: Clock) -> None:
    age = new_age()
    age.confirm(age.ask())
    clock.now_s += LIMIT_S + 0.1
    asked: list[int] = []
    age.ask_soon = lambda: asked.append(age.ask())
    outcomes: list[bool] = []

    async def wait() -> None:
        outcomes.append(await age.wait_until_current(1.0))

    async with anyio.create_task_group() as group:
        for _ in range(50):
            group.start_soon(wait)
        await anyio.wait_all_tasks_blocked()
        assert len(asked) == 1
        age.confirm(asked[0])
    assert outcomes == [True] * 50


@pytest.mark.parametrize("path", [b"/a/x", b"/unknown"])
async def test_superseded_view_decides_on_requests(path: bytes) -> None:
    config = support.configuration(support.route())
    async with (
        raw_target.open_target(raw_target.answer(b"1")) as target,
        support.open_harness(config, target) as harness,
    ):
        age = harness.site.view_age
        age.limit_s, age.cut_off_s = LIMIT_S, CUT_OFF_S
        age.confirm(age.ask())
        age.is_superseded = True
        request = support.request().replace(b"/a/x", path)
        answer = await harness.ask(request)
    assert support.status(answer) == 503
    assert b"retry-after" in answer.lower()
    assert not target.requests
    assert not harness.site.is_ready()


async def test_request_within_a_cut_waits_although_nobody_answers() -> None:
    config = support.configuration(support.route())
    async with (
        raw_target.open_target(raw_target.answer(b"1")) as target,
        support.open_harness(config, target) as harness,
    ):
        harness.site.view_age.limit_s = LIMIT_S
        harness.site.view_age.cut_off_s = CUT_OFF_S
        harness.site.view_age.record(clocks.boot_s() - 10.0)
        with anyio.fail_after(arrival.MAX_CONFIRMATION_WAIT_S):
            assert support.status(await harness.ask(support.request())) == 200
            unknown = support.request().replace(b"/a/x", b"/unknown")
            assert support.status(await harness.ask(unknown)) == 503


def test_silent_process_counts_as_one_without_leader() -> None:
    refused = transport_exceptions.ConnectionLostError("r", sent=False)
    refused.__cause__ = OSError("all attempts failed")
    refused.__cause__.__cause__ = ConnectionRefusedError()
    assert leader_evidence.shows_no_leader(refused)
    assert not leader_evidence.shows_no_leader(TimeoutError())
    assert not leader_evidence.shows_no_leader(
        transport_exceptions.RemoteError("not_leader", "text", "10.0.0.1:1")
    )
    assert leader_evidence.shows_no_leader(
        transport_exceptions.RemoteError("not_leader", "text")
    )
