"""Signals to real processes while they start and stop."""

from __future__ import annotations

import collections.abc
import pathlib
import signal

import pytest
from tests.support import deployed
from tests.support import site_processes

from cactusstile.console import exceptions

pytestmark = pytest.mark.processes
ROLES = ("gateway", "registry", "redirector")
COMMANDS = ("entry", "agent", "control")
HUP, TERM, INT = signal.SIGHUP, signal.SIGTERM, signal.SIGINT


Start = collections.abc.Callable[[str], deployed.Deployed]


@pytest.fixture
def start(tmp_path: pathlib.Path) -> collections.abc.Iterator[Start]:
    opened: list[deployed.Deployed] = []

    def begin(role: str) -> deployed.Deployed:
        process = deployed.Deployed(tmp_path, role)
        process.settings.write_text(process.text())
        process.start()
        opened.append(process)
        return process

    yield begin
    for process in opened:
        process.close()


@pytest.mark.parametrize("role", ROLES)
def test_sighup_during_start_and_stop_does_not_end_process(
    start: Start, role: str
) -> None:
    process = start(role)
    assert process.signal_until("importing")
    assert process.signal_until_started(HUP), process.log()
    assert process.process is not None
    process.process.terminate()
    assert process.stop(HUP, pause_s=0.001) == 0


@pytest.mark.parametrize("role", ROLES)
@pytest.mark.parametrize("number", [TERM, INT])
def test_stop_signal_during_start_ends_process_cleanly(
    start: Start, role: str, number: signal.Signals
) -> None:
    process = start(role)
    assert process.signal_until("importing")
    assert process.process is not None
    process.process.send_signal(number)
    assert process.process.wait(deployed.WAIT_TIMEOUT_S) == 0
    assert "Traceback" not in process.log()


@pytest.mark.parametrize("role", ROLES)
def test_repeated_stop_signals_do_not_end_process_uncleanly(
    start: Start, role: str
) -> None:
    process = start(role)
    assert process.signal_until_started()
    assert process.stop(TERM, HUP, INT, pause_s=0.001) == 0
    assert "Traceback" not in process.log()


def test_leading_registry_that_no_voter_answers_stops_cleanly(
    start: Start,
) -> None:
    process = start("registry")
    assert process.signal_until('"term": 2'), process.log()
    assert process.process is not None
    process.process.terminate()
    assert process.process.wait(deployed.WAIT_TIMEOUT_S) == 0, process.log()
    assert "Traceback" not in process.log()


def test_leading_control_process_that_no_voter_answers_stops_cleanly(
    tmp_path: pathlib.Path,
) -> None:
    site = site_processes.Site(tmp_path)
    site.write("fleet.secret", "fleet-secret-of-the-tests")
    site.write("operator.secret", "operator-secret-of-tests")
    section = (
        f"[control]\ndata_folder = {tmp_path / 'data'}\n"
        f"founders = alone={site.host}:{site.port('alone')}\n"
    )
    try:
        site.start_role("control", "alone", section)
        site.wait_ready("alone")
        site.processes["alone"].send_signal(HUP)
        site.wait_ready("alone")
        assert site.stop("alone") == 0, (tmp_path / "alone.log").read_text()
    finally:
        site.close()


@pytest.mark.parametrize("role", COMMANDS)
def test_sighup_during_start_does_not_end_command(
    tmp_path: pathlib.Path, role: str
) -> None:
    process = deployed.Deployed(tmp_path, role, shims=("fire",))
    process.start(["cactusstile", role, "--settings", "absent.ini"])
    try:
        assert process.signal_until("importing")
        code = process.stop(HUP)
        assert code == exceptions.ExitCode.INVALID_FILE, process.log()
    finally:
        process.close()
