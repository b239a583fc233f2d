from __future__ import annotations

import contextlib
import pathlib
import signal
import typing

import anyio
import anyio.lowlevel
import pytest
from tests.registry import sites
from tests.registry import support

from cactusstile.consensus import replica
from cactusstile.http import exceptions
from cactusstile.registry import daemon
from cactusstile.registry import process
from cactusstile.registry import redirector

if typing.TYPE_CHECKING:
    import collections.abc

pytestmark = pytest.mark.anyio
HOST = sites.HOSTS[0]
READ_S = 0.3


async def signal_at(
    stop: anyio.Event,
) -> collections.abc.AsyncIterator[signal.Signals]:
    await stop.wait()
    yield signal.SIGTERM


async def wait_until_listening(site: sites.Site) -> None:
    with anyio.fail_after(10):
        while True:
            with contextlib.suppress(exceptions.UnreachableError):
                await site.ask(HOST, b"GET", b"/-/Config.Get")
                return
            await anyio.sleep(0.05)


async def test_stopping_registry_cuts_off_an_operator_without_an_answer(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    read_barrier = replica.Replica.read_barrier

    async def read_late(own_replica: replica.Replica) -> int:
        await anyio.sleep(READ_S)
        return await read_barrier(own_replica)

    async def keep_leading(_: daemon.Registry) -> None:
        await anyio.lowlevel.checkpoint()

    monkeypatch.setattr(daemon.Registry, "step_down", keep_leading)
    settings = support.settings(tmp_path, HOST, HOST, support.FIRST_PORT, HOST)
    site = sites.Site(tmp_path)
    stop = anyio.Event()
    statuses = []

    async def read() -> None:
        status, _ = await site.ask(HOST, b"GET", b"/-/Config.Get")
        statuses.append(status)

    async with anyio.create_task_group() as group:
        received: typing.Any = signal_at(stop)
        path = tmp_path / "settings.ini"
        run = process.Run()
        group.start_soon(process._serve, settings, path, received, run)
        await wait_until_listening(site)
        monkeypatch.setattr(replica.Replica, "read_barrier", read_late)
        group.start_soon(read)
        await anyio.sleep(READ_S / 3)
        stop.set()
    assert statuses == [503]


async def test_disk_that_recovers_during_a_stop_starts_no_replica(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a signal to stop that is forgotten."""
    finishing = anyio.Event()

    async def finish_calls(_: redirector.Redirector) -> None:
        finishing.set()
        await anyio.sleep(READ_S)

    monkeypatch.setattr(redirector.Redirector, "finish_calls", finish_calls)
    settings = support.settings(tmp_path, HOST, HOST, support.FIRST_PORT, HOST)
    stop = anyio.Event()
    stop.set()
    received: typing.Any = signal_at(stop)
    path = tmp_path / "settings.ini"
    with anyio.fail_after(5):
        goes_on = await process._redirect(
            settings, path, received, finishing.wait
        )
    assert not goes_on
