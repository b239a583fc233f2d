"""Control processes whose disks refuse writes for a while."""

from __future__ import annotations

import collections.abc
import pathlib
import time

import pytest
from tests.support import faulty_disk
from tests.support import site_processes

pytestmark = pytest.mark.processes
NAME = "control-1"
FAULT_S = 1.0


@pytest.fixture
def site(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> collections.abc.Iterator[site_processes.Site]:
    opened = site_processes.Site(tmp_path)
    opened.write("fleet.secret", "fleet-secret-of-the-tests")
    opened.write("operator.secret", "operator-secret-of-tests")
    opened.write("fleet.ini", site_processes.fleet_text(opened))
    opened.write_operator()
    monkeypatch.setenv(faulty_disk.VARIABLE, str(opened.write("disk", "")))
    yield opened
    opened.close()


def start(site: site_processes.Site) -> None:
    text = site.settings(NAME) + (
        f"[control]\ndata_folder = {site.folder / 'data'}\n"
        f"founders = {NAME}={site.host}:{site.port(NAME)}\n"
    )
    path = str(site.write("control.ini", text))
    module = "tests.support.faulty_disk"
    site.start(NAME, module, "control", "--settings", path)


def assert_running(site: site_processes.Site) -> None:
    log = (site.folder / f"{NAME}.log").read_text()
    assert site.processes[NAME].poll() is None, log[-2000:]


def lift(site: site_processes.Site) -> None:
    """Lets the disk accept writes again; the process must serve then."""
    site.write("disk", "")
    site.wait_ready(NAME)
    applied = site.run_command("apply", "fleet.ini")
    assert applied.returncode == 0, applied.stderr


@pytest.mark.parametrize("fault", ["ENOSPC", "EIO"])
def test_control_that_starts_on_a_faulty_disk_serves_once_it_works(
    site: site_processes.Site, fault: str
) -> None:
    site.write("disk", fault)
    start(site)
    # Longer than a start takes.
    time.sleep(3 * FAULT_S)
    assert_running(site)
    lift(site)


@pytest.mark.parametrize("fault", ["ENOSPC", "EIO"])
def test_control_survives_a_faulty_disk_and_serves_again(
    site: site_processes.Site, fault: str
) -> None:
    start(site)
    site.wait_ready(NAME)
    site.write("disk", fault)
    # It may repeat the call for longer than the fault lasts.
    settings = str(site.folder / "operator.ini")
    fleet = str(site.folder / "fleet.ini")
    command = ("cactusstile", "apply", fleet, "--settings", settings)
    site.start("operator", *command)
    time.sleep(2 * FAULT_S)
    assert_running(site)
    lift(site)
