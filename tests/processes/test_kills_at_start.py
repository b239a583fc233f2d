"""Processes that are killed while they start, and start again."""

from __future__ import annotations

import pathlib
import signal

import pytest
from tests.support import deployed

pytestmark = pytest.mark.processes


# Guards against a system that never starts: its founder forgets that it is one.
@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_founder_that_ends_while_it_starts_founds_no_group(
    tmp_path: pathlib.Path, number: signal.Signals
) -> None:
    process = deployed.Deployed(tmp_path, "registry")
    process.settings.write_text(process.text())
    try:
        process.start()
        assert process.signal_until("importing")
        process.stop(number)
        assert "started" not in process.log()
        process.settings.write_text(process.text(first_start=False))
        process.start()
        assert process.signal_until("bootstrapped group"), process.log()
    finally:
        process.close()
