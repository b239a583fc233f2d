"""Registries whose disks refuse writes for a while."""

from __future__ import annotations

import contextlib
import errno
import json
import os
import pathlib
import resource
import subprocess
import sys
import typing

import anyio
import anyio.abc
import attrs
import pytest
from tests.platform import test_configurations
from tests.registry import support
from tests.support import faulty_disk
from tests.support import node_site

from cactusstile.consensus.storage import files
from cactusstile.http import messages
from cactusstile.registry import daemon

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
ADMIN_PORT, OPERATOR = 9465, 8
NAMES = ("r-1", "r-2", "r-3")
# Shorter than the time after which a silent voter is replaced.
FAULT_S = 1.0
HEADERS = ((b"host", b"x"),)
READ = messages.Request(b"GET", b"/-/Config.Get", HEADERS)


@attrs.define
class Registries:
    """Three registries, each with its own disk."""

    folder: pathlib.Path
    network: str
    site: node_site.NodeSite

    def host(self, name: str) -> str:
        return f"{self.network}.{1 + int(name[-1])}"

    def data(self, name: str) -> pathlib.Path:
        return self.folder / name / daemon.GROUP

    def control(self, name: str) -> pathlib.Path:
        return self.folder / f"{name}.disk"

    def fault(self, name: str, fault: str) -> None:
        # Replaced as a whole, since the process reads it at any time.
        path = self.control(name)
        path.with_suffix(".new").write_text(fault)
        path.with_suffix(".new").replace(path)

    async def start(self, name: str, *, first_start: bool = True) -> None:
        port = self.site.port
        values = node_site.values(
            name=name,
            host=self.host(name),
            port=port,
            seeds=",".join(f"{self.host(each)}:{port + 8}" for each in NAMES),
            platform=str(self.site.platform),
            folder=self.folder / name,
            first_start=first_start,
        )
        path = self.folder / f"{name}.ini"
        path.write_text(node_site.render("registry", values))
        if not self.control(name).exists():
            self.fault(name, "")
        command = ["-m", "tests.support.faulty_disk", "registry", str(path)]
        with (self.folder / f"{name}.log").open("ab") as log:
            process = await anyio.open_process(
                [sys.executable, *command],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    faulty_disk.VARIABLE: str(self.control(name)),
                },
            )
        self.site.processes[name] = process

    def limit_files(self, name: str, *, is_limited: bool) -> None:
        """Lets files grow no further than the largest, or lifts the limit."""
        sizes = [each.stat().st_size for each in self.data(name).iterdir()]
        limit = max(sizes) if is_limited else resource.RLIM_INFINITY
        resource.prlimit(
            self.site.processes[name].pid,
            resource.RLIMIT_FSIZE,
            (limit, resource.RLIM_INFINITY),
        )

    def assert_running(self) -> None:
        for name, process in self.site.processes.items():
            assert process.returncode is None, (name, self.site.log(name)[-3:])

    async def status(self, name: str) -> int:
        """Returns the status of a read at a registry; 0 without an answer."""
        with contextlib.suppress(Exception), anyio.move_on_after(1.0):
            return (await self.site.ask(self.host(name), OPERATOR, READ))[0]
        return 0

    async def replace(self, version: int) -> None:
        """Gets a configuration acknowledged, as an operator does."""
        document = test_configurations.document(version=version)
        body = json.dumps(document).encode()
        change = messages.Request(b"POST", b"/-/Config.Replace", HEADERS, body)
        with anyio.fail_after(node_site.STARTUP_TIMEOUT_S):
            while True:
                for name in self.site.processes:
                    with contextlib.suppress(Exception):
                        status, _ = await self.site.ask(
                            self.host(name), OPERATOR, change
                        )
                        if status == 200:
                            return
                await anyio.sleep(0.05)

    async def leader(self) -> str:
        with anyio.fail_after(node_site.STARTUP_TIMEOUT_S):
            while True:
                for name in self.site.processes:
                    if await self.status(name) in (200, 503):
                        return name
                await anyio.sleep(0.05)

    async def wait_until_synced(self, name: str, version: int) -> None:
        """Waits until a registry has applied a configuration itself."""
        dump = messages.Request(b"GET", b"/dump", HEADERS)
        offset = ADMIN_PORT - self.site.port
        with anyio.fail_after(node_site.STARTUP_TIMEOUT_S):
            while True:
                with contextlib.suppress(Exception):
                    _, body = await self.site.ask(self.host(name), offset, dump)
                    if json.loads(body).get("configuration") == version:
                        return
                await anyio.sleep(0.05)


@pytest.fixture
async def registries(
    tmp_path: pathlib.Path,
) -> typing.AsyncIterator[Registries]:
    network = support.draw_network()
    opened = node_site.open_site(tmp_path, network, support.FIRST_PORT)
    async with opened as site:
        yield Registries(tmp_path, network, site)


async def start_all(registries: Registries) -> str:
    """Starts all registries; returns the leader."""
    for name in NAMES:
        await registries.start(name)
    await registries.replace(3)
    return await registries.leader()


@pytest.mark.parametrize("fault", ["ENOSPC", "EIO"])
@pytest.mark.parametrize("at_leader", [True, False])
async def test_registry_survives_a_faulty_disk_and_serves_again(
    registries: Registries, fault: str, at_leader: bool
) -> None:
    leader = await start_all(registries)
    faulty = next(name for name in NAMES if (name == leader) is at_leader)
    registries.fault(faulty, fault)
    await registries.replace(4)
    assert await registries.status(faulty) in (307, 503, 0)
    await anyio.sleep(FAULT_S)
    registries.assert_running()
    assert await registries.status(faulty) in (307, 503)
    registries.fault(faulty, "")
    await registries.wait_until_synced(faulty, 4)
    await registries.replace(5)
    await registries.wait_until_synced(faulty, 5)
    registries.assert_running()
    cause = f"could not be written ([Errno {getattr(errno, fault)}]"
    lines = [each for each in registries.site.log(faulty) if cause in each]
    assert any("operators are redirected" in line for line in lines)


@pytest.mark.parametrize("at_leader", [True, False])
async def test_registry_survives_a_log_that_cannot_grow(
    registries: Registries, at_leader: bool
) -> None:
    leader = await start_all(registries)
    faulty = next(name for name in NAMES if (name == leader) is at_leader)
    registries.limit_files(faulty, is_limited=True)
    for version in range(4, 10):
        await registries.replace(version)
        await anyio.sleep(FAULT_S / 5)
    registries.limit_files(faulty, is_limited=False)
    await registries.wait_until_synced(faulty, 9)
    registries.assert_running()


@pytest.mark.parametrize("is_empty", [True, False])
async def test_registry_that_starts_on_a_full_disk_serves_once_there_is_room(
    registries: Registries, is_empty: bool
) -> None:
    if not is_empty:
        await start_all(registries)
        for name in NAMES:
            await registries.site.stop(name)
    registries.fault("r-1", "ENOSPC")
    for name in NAMES:
        await registries.start(name, first_start=is_empty)
    with anyio.fail_after(node_site.STARTUP_TIMEOUT_S):
        while await registries.status("r-1") not in (307, 503):
            await anyio.sleep(0.05)
    await anyio.sleep(FAULT_S)
    registries.assert_running()
    registries.fault("r-1", "")
    await registries.replace(4)
    await registries.wait_until_synced("r-1", 4)
    registries.assert_running()


async def test_all_registries_survive_full_disks_and_serve_again(
    registries: Registries,
) -> None:
    await start_all(registries)
    for name in NAMES:
        registries.fault(name, "ENOSPC")
    with anyio.move_on_after(FAULT_S):
        await registries.replace(4)
        raise AssertionError
    registries.assert_running()
    for name in NAMES:
        registries.fault(name, "")
    await registries.replace(5)
    registries.assert_running()


async def test_registry_without_a_usable_disk_stops_at_a_signal(
    registries: Registries,
) -> None:
    registries.fault("r-1", "EIO")
    await registries.start("r-1")
    with anyio.fail_after(node_site.STARTUP_TIMEOUT_S):
        while await registries.status("r-1") != 503:
            await anyio.sleep(0.05)
    assert await registries.site.stop("r-1") == 0


@pytest.mark.parametrize("is_locked", [True, False])
async def test_registry_waits_for_a_folder_that_is_locked_or_cannot_be_made(
    registries: Registries, is_locked: bool
) -> None:
    folder = registries.folder / "r-1"
    with contextlib.ExitStack() as stack:
        if is_locked:
            files.lock_folder(folder / daemon.GROUP, stack)
        else:
            folder.write_text("not a folder")
        for name in NAMES:
            await registries.start(name)
        with anyio.fail_after(node_site.STARTUP_TIMEOUT_S):
            while await registries.status("r-1") != 503:
                await anyio.sleep(0.05)
        if not is_locked:
            folder.unlink()
    await registries.replace(4)
    registries.assert_running()


async def test_registry_survives_a_disk_that_stalls(
    registries: Registries,
) -> None:
    leader = await start_all(registries)
    registries.fault(leader, str(FAULT_S))
    with anyio.move_on_after(1.5 * FAULT_S):
        await registries.replace(4)
    registries.fault(leader, "")
    await registries.replace(5)
    for name in NAMES:
        await registries.wait_until_synced(name, 5)
    registries.assert_running()
