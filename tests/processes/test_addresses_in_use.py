"""Real processes that start while their addresses are in use."""

from __future__ import annotations

import collections.abc
import contextlib
import pathlib
import signal
import socket

import pytest
from tests.support import deployed
from tests.support import site_processes

pytestmark = pytest.mark.processes
# Time between SIGTERM and SIGKILL on the platform.
GRACE_S = 8.0
PORT = site_processes.FIRST_PORT
# Reserved for documentation, so that no interface has it.
UNASSIGNED = "192.0.2.1"
TCP, UDP = socket.SOCK_STREAM, socket.SOCK_DGRAM
INTERNAL, CALLERS, READY, OPERATOR = PORT, PORT + 6, PORT + 7, PORT + 8
# In the order in which they are bound.
ADDRESSES = {
    "gateway": ((UDP, INTERNAL), (TCP, 9464), (TCP, READY), (TCP, CALLERS)),
    "registry": ((TCP, INTERNAL), (TCP, 9465), (TCP, OPERATOR)),
    "redirector": ((TCP, 9465), (TCP, OPERATOR)),
}


@pytest.fixture
def holder() -> collections.abc.Iterator[contextlib.ExitStack]:
    with contextlib.ExitStack() as stack:
        yield stack


def hold(
    stack: contextlib.ExitStack, kind: socket.SocketKind, host: str, port: int
) -> socket.socket:
    held = stack.enter_context(socket.socket(type=kind))
    held.bind((host, port))
    if kind == TCP:
        held.listen()
    return held


def prepare(
    tmp_path: pathlib.Path, role: str, stack: contextlib.ExitStack
) -> deployed.Deployed:
    process = deployed.Deployed(tmp_path, role)
    process.settings.write_text(process.text())
    stack.callback(process.close)
    return process


@pytest.mark.parametrize("role", ADDRESSES)
def test_address_of_a_predecessor_does_not_end_a_start(
    tmp_path: pathlib.Path, holder: contextlib.ExitStack, role: str
) -> None:
    process = prepare(tmp_path, role, holder)
    held = [
        (port, hold(holder, kind, process.host, port))
        for kind, port in ADDRESSES[role]
    ]
    process.start()
    for port, opened in held:
        assert process.signal_until(f"on {process.host}:{port}: Address"), (
            process.log()
        )
        opened.close()
    assert process.signal_until_started(), process.log()
    assert process.stop(signal.SIGTERM) == 0


@pytest.mark.parametrize("role", ADDRESSES)
def test_stop_signal_is_not_lost_while_an_address_is_awaited(
    tmp_path: pathlib.Path, holder: contextlib.ExitStack, role: str
) -> None:
    process = prepare(tmp_path, role, holder)
    _, port = ADDRESSES[role][-1]
    hold(holder, TCP, process.host, port)
    process.start()
    assert process.signal_until("an address is in use"), process.log()
    assert process.process is not None
    process.process.terminate()
    assert process.process.wait(GRACE_S) == 0
    assert "Traceback" not in process.log()


def test_gateway_that_cannot_drain_yet_accepts_no_callers(
    tmp_path: pathlib.Path, holder: contextlib.ExitStack
) -> None:
    process = prepare(tmp_path, "gateway", holder)
    readiness = hold(holder, TCP, process.host, READY)
    process.start()
    assert process.signal_until("an address is in use"), process.log()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((process.host, CALLERS), timeout=5)
    readiness.close()
    assert process.signal_until_started(), process.log()
    with socket.create_connection((process.host, CALLERS), timeout=5):
        assert process.stop(signal.SIGTERM) == 0


def test_killed_predecessor_with_callers_does_not_end_a_start(
    tmp_path: pathlib.Path, holder: contextlib.ExitStack
) -> None:
    process = prepare(tmp_path, "gateway", holder)
    process.start()
    assert process.signal_until_started(), process.log()
    for _ in range(5):
        holder.enter_context(
            socket.create_connection((process.host, CALLERS), timeout=5)
        )
    process.close()
    (tmp_path / "log").unlink()
    process.start()
    assert process.signal_until_started(), process.log()


@pytest.mark.parametrize("role", ADDRESSES)
def test_address_without_an_interface_does_not_end_a_start(
    tmp_path: pathlib.Path, holder: contextlib.ExitStack, role: str
) -> None:
    """Guards against a VM whose network is set up after its processes start."""
    process = prepare(tmp_path, role, holder)
    bound = f"[node]\nbind_host = {UNASSIGNED}"
    process.settings.write_text(process.text().replace("[node]", bound, 1))
    process.start()
    assert process.signal_until("an address cannot be bound yet"), process.log()
    assert process.stop(signal.SIGTERM) == 0
    assert "Traceback" not in process.log()
