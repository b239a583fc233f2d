"""A lone control process whose data folder goes while it runs."""

from __future__ import annotations

import collections.abc
import pathlib
import shutil
import time

import pytest
from tests.support import site_processes

pytestmark = pytest.mark.processes
NAME = "control-1"
REOPENED_S = 3.0


@pytest.fixture
def site(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[site_processes.Site]:
    opened = site_processes.Site(tmp_path)
    opened.write("fleet.secret", "fleet-secret-of-the-tests")
    opened.write("operator.secret", "operator-secret-of-tests")
    opened.write("fleet.ini", site_processes.fleet_text(opened))
    opened.write_operator()
    text = opened.settings(NAME) + (
        f"[control]\ndata_folder = {opened.folder / 'data'}\n"
        f"founders = {NAME}={opened.host}:{opened.port(NAME)}\n"
    )
    path = str(opened.write("control.ini", text))
    opened.start(NAME, "cactusstile", "control", "--settings", path)
    opened.wait_ready(NAME)
    yield opened
    opened.close()


# Guards against a second group, founded empty by a process that had one.
def test_lone_control_serves_an_empty_state_after_its_folder_is_lost(
    site: site_processes.Site,
) -> None:
    applied = site.run_command("apply", "fleet.ini")
    assert applied.returncode == 0, applied.stderr
    shutil.rmtree(site.folder / "data")
    # The first write finds out; the process then opens its folder anew.
    site.run_command("apply", "fleet.ini")
    time.sleep(REOPENED_S)
    # Every apply of an unchanged fleet has to be refused or change nothing.
    again = site.run_command("apply", "fleet.ini")
    log = (site.folder / f"{NAME}.log").read_text()
    assert again.returncode != 0, (again.stdout, log[-2000:])
