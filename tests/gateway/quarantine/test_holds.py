from __future__ import annotations

import anyio
import pytest
from tests.support import virtual_clock

from cactusstile import verdict
from cactusstile.gateway import site_view
from cactusstile.gateway.quarantine import decision
from cactusstile.gateway.quarantine import hold_reports
from cactusstile.gateway.quarantine import quarantine
from cactusstile.gateway.quarantine import request_keys
from cactusstile.sites import hold_messages
from cactusstile.sites import hold_trials

pytestmark = pytest.mark.anyio
BAD = request_keys.RequestKeys("bad", route="r", workspace="w")
HOLD = hold_messages.Hold(hold_messages.hold_id(["bad"]), ("bad",), "r", "w")


@pytest.fixture
def anyio_backend() -> virtual_clock.Backend:
    return virtual_clock.BACKEND


def in_force(
    *holds: hold_messages.Hold, released: tuple[hold_messages.Hold, ...] = ()
) -> hold_messages.HoldsInForce:
    return hold_messages.HoldsInForce(
        tuple(hold_messages.HoldInForce(hold, 0) for hold in holds),
        tuple(hold_messages.HoldInForce(hold, 0) for hold in released),
    )


def open_quarantine() -> tuple[quarantine.Quarantine, hold_reports.HoldReports]:
    opened = quarantine.Quarantine(site_view.SiteView())
    pool = None
    return opened, hold_reports.HoldReports(
        opened,
        pool,  # type: ignore[arg-type]
        lambda: None,
    )


def refuses(
    known: quarantine.Quarantine, keys: request_keys.RequestKeys
) -> bool:
    try:
        known.refuse_if_held(keys, verdict.Verdict.NOT_RUN)
    except verdict.RefusedError:
        return True
    return False


def record_ends(known: quarantine.Quarantine, count: int) -> None:
    for number in range(count):
        ended_s = anyio.current_time() + number
        known.record_end(f"t{number}", BAD, ended_s - 0.05, ended_s)


async def test_gateway_that_starts_anew_sends_what_others_held() -> None:
    known, _ = open_quarantine()
    assert not refuses(known, BAD)
    known.apply_holds(in_force(HOLD))
    assert refuses(known, BAD)
    assert not refuses(known, request_keys.RequestKeys("other"))


async def test_decision_that_has_settled_is_not_reported() -> None:
    known, reports = open_quarantine()
    record_ends(known, decision.MIN_ENDS)
    assert refuses(known, BAD)
    assert reports.collect(anyio.current_time()) == []
    await anyio.sleep(hold_reports.SETTLING_S + hold_reports.MAX_DELAY_S)
    report = hold_messages.ReportHold(HOLD)
    assert reports.collect(anyio.current_time()) == [report]
    known.apply_holds(in_force(HOLD))
    assert reports.collect(anyio.current_time()) == []


async def test_permitted_trial_is_sent_twice() -> None:
    known, reports = open_quarantine()
    known.apply_holds(in_force(HOLD))
    assert refuses(known, BAD)
    assert reports.collect(anyio.current_time()) == []
    await anyio.sleep(hold_trials.FIRST_TRIAL_S)
    assert refuses(known, BAD)
    trial = hold_messages.BeginTrial(HOLD.id, 1)
    assert reports.collect(anyio.current_time()) == [trial]
    known.holds.permit_trial(HOLD.id, anyio.current_time())
    assert not refuses(known, BAD)
    assert not known.is_held(BAD)
    assert refuses(known, request_keys.RequestKeys("bad"))
    known.holds.end_trial(BAD)
    assert known.is_held(BAD)
    assert refuses(known, BAD)


async def test_hold_lasts_although_its_trial_is_answered() -> None:
    known, reports = open_quarantine()
    record_ends(known, decision.MIN_ENDS)
    known.apply_holds(in_force(HOLD))
    known.record_answer(BAD)
    release = hold_messages.ReleaseHold(HOLD.id)
    # The call may be lost, or no leader be known.
    for _ in range(2):
        assert release in reports.collect(anyio.current_time())
    known.apply_holds(in_force())
    assert release not in reports.collect(anyio.current_time())
    assert not refuses(known, BAD)


async def test_gateway_holds_what_an_operator_has_released() -> None:
    known, _ = open_quarantine()
    record_ends(known, decision.MIN_ENDS)
    known.apply_holds(in_force(HOLD))
    await anyio.sleep(decision.MIN_ENDS)
    known.apply_holds(in_force(released=(HOLD,)))
    assert not refuses(known, BAD)
