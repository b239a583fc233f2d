"""Settings files that real processes meet half written or unreadable."""

from __future__ import annotations

import collections.abc
import pathlib
import signal

import pytest
from tests.support import deployed
from tests.support import site_processes

pytestmark = pytest.mark.processes
# Time between SIGTERM and SIGKILL on the platform.
GRACE_S = 8.0
# Content, and what the log says about it.
UNREADABLE = {
    "missing": (None, "No such file"),
    "empty": (b"", "[node] name: missing"),
    "torn": (b"[node]\nname = vm\nrole", "parsing errors"),
    "no text": (b"\xff\xfe\x00[node]", "codec can't decode"),
}
# Section of each role that is run by a command.
SECTIONS = {
    "entry": "[entry]\ncallers_listen = {host}:9000\ndrain_delay_s = 0.1\n",
    "agent": "[agent]\nkind = engine\ntarget = t\nurl = http://{host}:9000\n",
    "control": "[control]\ndata_folder = {folder}/data\n"
    "founders = control={host}:20000\n",
}


@pytest.fixture
def gateway(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[deployed.Deployed]:
    process = deployed.Deployed(tmp_path, "gateway")
    yield process
    process.close()


def put(path: pathlib.Path, content: bytes | None) -> None:
    path.unlink(missing_ok=True)
    if content is not None:
        path.write_bytes(content)


@pytest.mark.parametrize("kind", UNREADABLE)
def test_file_that_is_still_written_does_not_end_a_start(
    gateway: deployed.Deployed, kind: str
) -> None:
    put(gateway.settings, UNREADABLE[kind][0])
    gateway.start()
    assert gateway.signal_until("reading them again"), gateway.log()
    gateway.settings.write_text(gateway.text())
    assert gateway.signal_until_started(), gateway.log()


@pytest.mark.parametrize("role", SECTIONS)
def test_file_that_is_still_written_does_not_end_a_command(
    tmp_path: pathlib.Path, role: str
) -> None:
    site = site_processes.Site(tmp_path)
    site.write("fleet.secret", "fleet-secret-of-the-tests")
    section = SECTIONS[role].format(folder=tmp_path, host=site.host)
    text = site.settings(role) + section
    half = site.write(f"{role}.ini", text[: len(text) // 2])
    command = ["cactusstile", role, "--settings", str(half)]
    process = deployed.Deployed(tmp_path, role)
    process.start(command)
    try:
        assert process.signal_until("reading them again"), process.log()
        site.write("operator.secret", "operator-secret-of-tests")
        half.write_text(text)
        assert process.process is not None
        while not site.get(role, "/livez")[0]:
            assert process.process.poll() is None, process.log()
        process.process.terminate()
        assert process.process.wait(GRACE_S) == 0, process.log()
    finally:
        process.close()


def test_invalid_file_ends_a_start_with_all_its_problems(
    gateway: deployed.Deployed,
) -> None:
    text = gateway.text().replace("interval_ms = 600", "interval_ms = soon")
    gateway.settings.write_text(text.replace("link_mbps", "link"))
    gateway.start()
    assert gateway.stop() == 1
    assert "[discovery] interval_ms: 'soon' is not a number" in gateway.log()
    assert "[node] link: unknown option" in gateway.log()


def test_stop_signal_is_not_lost_while_settings_are_awaited(
    gateway: deployed.Deployed,
) -> None:
    put(gateway.settings, b"")
    gateway.start()
    assert gateway.signal_until("reading them again"), gateway.log()
    assert gateway.process is not None
    gateway.process.terminate()
    assert gateway.process.wait(GRACE_S) == 0


def test_unreadable_file_does_not_end_a_running_process(
    gateway: deployed.Deployed,
) -> None:
    gateway.settings.write_text(gateway.text())
    gateway.start()
    assert gateway.signal_until_started()
    assert gateway.process is not None
    for content, error in UNREADABLE.values():
        put(gateway.settings, content)
        assert gateway.signal_until(error, signal.SIGHUP), gateway.log()
    gateway.settings.unlink()
    gateway.settings.mkdir()
    assert gateway.signal_until("Is a directory", signal.SIGHUP), gateway.log()
    gateway.settings.rmdir()
    gateway.settings.write_text(gateway.text() + "# changed\n")
    assert gateway.stop(signal.SIGTERM) == 0
