from __future__ import annotations

import os
import pathlib
import signal
import socket
import time

import anyio
import pytest
from tests.support import deployed

from cactusstile.gateway import lifecycle
from cactusstile.gateway import process
from cactusstile.http import exceptions
from cactusstile.http import sockets
from cactusstile.settings import node

pytestmark = pytest.mark.anyio
BUSY_S = 1.0


async def signal_when_started(settings: node.NodeSettings) -> None:
    assert settings.callers is not None
    while True:
        await anyio.sleep(0.01)
        try:
            (await sockets.connect(settings.callers, 1.0)).close()
        except exceptions.UnreachableError:
            continue
        os.kill(os.getpid(), signal.SIGTERM)
        return


async def test_failing_lookup_of_the_own_address_does_not_end_a_start(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a gateway that ends before its network is set up."""
    path = tmp_path / "gateway.ini"
    path.write_text(deployed.Deployed(tmp_path, "gateway").text())
    settings = node.load(path)

    def fail(*args: object, **options: object) -> None:
        del args, options
        raise socket.gaierror(socket.EAI_NONAME, "no address of the family")

    monkeypatch.setattr(socket, "getaddrinfo", fail)
    async with anyio.create_task_group() as group:
        group.start_soon(signal_when_started, settings)
        with anyio.fail_after(20):
            await process.run(settings, path)


async def test_time_to_stop_counts_from_a_signal_that_is_read_late(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a busy process that is killed while it drains."""
    path = tmp_path / "gateway.ini"
    path.write_text(deployed.Deployed(tmp_path, "gateway").text())
    settings = node.load(path)
    given: list[float] = []

    async def drain(
        _: lifecycle.Lifecycle, serving: object, s: float, late_s: float = 0.0
    ) -> None:
        del serving
        given.append(s - late_s)

    monkeypatch.setattr(lifecycle.Lifecycle, "drain", drain)

    async def signal_while_busy() -> None:
        await signal_when_started(settings)
        time.sleep(BUSY_S)  # noqa: ASYNC251

    async with anyio.create_task_group() as group:
        group.start_soon(signal_while_busy)
        with anyio.fail_after(20):
            await process.run(settings, path)
    assert len(given) == 1
    assert given[0] <= settings.stop_s - BUSY_S
