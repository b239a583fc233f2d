"""Settings files that real processes meet half written or unreadable."""

from __future__ import annotations

import collections.abc
import pathlib
import signal

import pytest
from tests.support import deployed

pytestmark = pytest.mark.processes
UNREADABLE = {
    "missing": None,
    "empty": b"",
    "torn": b"[node]\nname = vm\nrole",
    "no text": b"\xff\xfe\x00[node]",
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


@pytest.mark.parametrize("content", UNREADABLE.values(), ids=UNREADABLE)
def test_file_that_is_still_written_does_not_end_a_start(
    gateway: deployed.Deployed, content: bytes | None
) -> None:
    put(gateway.settings, content)
    gateway.start()
    assert gateway.signal_until("reading them again"), gateway.log()
    gateway.settings.write_text(gateway.text())
    assert gateway.signal_until_started(), gateway.log()


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
    assert gateway.process.wait(1) == 0


def test_unreadable_file_does_not_end_a_running_process(
    gateway: deployed.Deployed,
) -> None:
    gateway.settings.write_text(gateway.text())
    gateway.start()
    assert gateway.signal_until_started()
    assert gateway.process is not None
    for name, content in UNREADABLE.items():
        put(gateway.settings, content)
        gateway.process.send_signal(signal.SIGHUP)
        before = gateway.log().count("keeping the current ones")
        while gateway.log().count("keeping the current ones") == before:
            assert gateway.process.poll() is None, name
    gateway.settings.unlink()
    gateway.settings.mkdir()
    gateway.process.send_signal(signal.SIGHUP)
    assert gateway.signal_until("Is a directory"), gateway.log()
    gateway.settings.rmdir()
    gateway.settings.write_text(gateway.text() + "# changed\n")
    assert gateway.stop(signal.SIGTERM) == 0
