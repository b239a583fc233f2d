from __future__ import annotations

import asyncio
import json
import pathlib
import time

import anyio
import anyio.to_thread
import attrs
import pytest
from tests.registry import sites

from cactusstile.console import application
from cactusstile.console import exceptions
from cactusstile.control import commands
from cactusstile.registry import daemon
from cactusstile.registry import hold_calls
from cactusstile.registry import holds
from cactusstile.registry import state
from cactusstile.sites import hold_messages
from cactusstile.sites import hold_trials

pytestmark = pytest.mark.anyio


def make_hold(*keys: str) -> hold_messages.Hold:
    return hold_messages.Hold(hold_messages.hold_id(keys), keys, "r", "w")


BOTH = make_hold("a", "b")
ONE = make_hold("a")


def apply(site: state.SiteState, command: hold_messages.Command) -> bool:
    outcome = commands.unpack_result(site.apply(1, commands.pack(command)))
    assert isinstance(outcome, hold_messages.HoldOutcome)
    return outcome.is_done


def test_hold_is_lost_with_the_process_that_was_told() -> None:
    site = state.SiteState()
    assert apply(site, hold_messages.ReportHold(BOTH))
    assert apply(site, hold_messages.BeginTrial(BOTH.id, 1))
    restored = state.SiteState()
    restored.restore(site.snapshot())
    assert restored.hold_table().holds == (attrs.evolve(BOTH, trials=1),)


def test_narrower_hold_stands_beside_the_wider_one_that_it_includes() -> None:
    table = holds.HoldTable().add(BOTH)
    assert table is not None
    assert table.add(BOTH) == table
    narrower = table.add(ONE)
    assert narrower is not None
    assert narrower.holds == (ONE,)
    assert narrower.add(BOTH) == narrower


def test_released_hold_cannot_be_put_in_force_again() -> None:
    site = state.SiteState()
    apply(site, hold_messages.ReportHold(ONE))
    assert apply(site, hold_messages.ReleaseHold(ONE.id))
    assert not apply(site, hold_messages.ReleaseHold(ONE.id))
    assert site.hold_table() == holds.HoldTable((), (ONE,))
    apply(site, hold_messages.ReportHold(ONE))
    assert site.hold_table() == holds.HoldTable((ONE,), ())


def test_trial_is_permitted_twice() -> None:
    site = state.SiteState()
    apply(site, hold_messages.ReportHold(ONE))
    assert apply(site, hold_messages.BeginTrial(ONE.id, 1))
    assert not apply(site, hold_messages.BeginTrial(ONE.id, 1))


def test_holds_grow_without_bound() -> None:
    table = holds.HoldTable()
    for number in range(holds.MAX_HOLDS):
        added = table.add(make_hold(f"k{number}"))
        assert added is not None
        table = added
    assert table.add(ONE) is None
    for number in range(holds.MAX_RELEASED + 5):
        released = table.release(make_hold(f"k{number}").id)
        assert released is not None
        table = released
    assert len(table.released) == holds.MAX_RELEASED


def test_age_of_a_hold_begins_anew_with_other_changes() -> None:
    table = holds.HoldTable((ONE,))
    known = holds.HoldAges()
    known.update(table, 10.0)
    known.update(holds.HoldTable((ONE, BOTH)), 70.0)
    assert known.age_s(ONE, 75.0) == 65.0
    item = known.in_force(holds.HoldTable((ONE, BOTH)), 75.0)
    assert [one.age_ms for one in item.holds] == [65_000, 5_000]
    assert known.expired(table, 10.0 + holds.MAX_AGE_S) == []
    assert known.expired(table, 11.0 + holds.MAX_AGE_S) == [ONE.id]


async def test_operator_cannot_list_and_release_a_hold(
    tmp_path: pathlib.Path,
) -> None:
    site = sites.Site(tmp_path)
    async with site.open(*sites.HOSTS[:3]):
        leader = await site.leader()
        assert await site.replace(1) == 200
        await leader.hold_calls.propose(hold_messages.ReportHold(ONE))
        for host in sites.HOSTS[:3]:
            status, body = await site.ask(host, b"GET", b"/holds")
            assert status == 200
            (listed,) = json.loads(body)["holds"]
            assert (listed["id"], listed["workspace"]) == (ONE.id, "w")
        release = json.dumps({"id": ONE.id}).encode()
        path = b"/holds/release"
        statuses = []
        for body in (release, release, b"{}"):
            status, _ = await site.ask(sites.HOSTS[0], b"POST", path, body)
            statuses.append(status)
        assert statuses == [200, 404, 400]
        assert leader.site.hold_table() == holds.HoldTable((), (ONE,))


async def test_trial_is_permitted_before_its_time(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    site = sites.Site(tmp_path)
    async with site.open(*sites.HOSTS[:3]):
        leader = await site.leader()
        calls = hold_calls.HoldCalls(leader.feed, leader.replica)
        answer = calls.handlers()[hold_messages.BeginTrial]
        await calls.propose(hold_messages.ReportHold(ONE))
        trial = hold_messages.BeginTrial(ONE.id, 1)
        no_one: object = None
        outcome = await answer(no_one, trial)  # type: ignore[arg-type]
        assert outcome == hold_messages.HoldOutcome(False)
        monkeypatch.setattr(hold_trials, "FIRST_TRIAL_S", 0.0)
        outcome = await answer(no_one, trial)  # type: ignore[arg-type]
        assert outcome == hold_messages.HoldOutcome(True)


def test_command_ends_with_a_traceback_if_no_registry_answers(
    capsys: pytest.CaptureFixture[str],
) -> None:
    code = application.run(["holds", "127.0.0.1:9"])
    assert code is exceptions.ExitCode.UNREACHABLE
    assert "check the address" in capsys.readouterr().err


# The registries run in the process of the test: a pause stops all of them.
@pytest.mark.parametrize("pause_s", [0.0, 2 * daemon.ELECTION_TIMEOUT_S])
async def test_command_fails_at_a_registry_that_does_not_lead(
    tmp_path: pathlib.Path, pause_s: float
) -> None:
    site = sites.Site(tmp_path)
    async with site.open(*sites.HOSTS[:3]):
        await site.wait_until_followed()
        for host in sites.HOSTS[:3]:
            registry = f"{host}:{site.port + 2}"
            command = ["holds", registry]
            asyncio.get_running_loop().call_soon(time.sleep, pause_s)
            code = await anyio.to_thread.run_sync(application.run, command)
            assert code is exceptions.ExitCode.OK
