"""A control process on a VM without a disk."""

from __future__ import annotations

import json
import pathlib

import anyio
import attrs
import pytest
from tests.platform import test_configurations
from tests.registry import sites
from tests.registry import support

from cactusstile.http import exceptions
from cactusstile.registry import process

pytestmark = pytest.mark.anyio


async def _ask(
    site: sites.Site, host: str, method: bytes, path: bytes, body: bytes
) -> tuple[int, bytes]:
    """Makes an operator call once the process listens."""
    with anyio.fail_after(10):
        while True:
            try:
                return await site.ask(host, method, path, body)
            except exceptions.UnreachableError:
                await anyio.sleep(0.02)


async def test_process_without_disk_redirects_operators_to_each_leader(
    site: sites.Site, tmp_path: pathlib.Path
) -> None:
    """Guards against a process that ends because its VM has no disk."""
    *hosts, without_disk = sites.HOSTS[:4]
    settings = attrs.evolve(site.settings(without_disk), data_folder=None)
    body = json.dumps(test_configurations.document(version=5)).encode()
    replace, read = b"/-/Config.Replace", b"/-/Config.Get"
    async with anyio.create_task_group() as group:
        group.start_soon(process.run, settings, tmp_path / "none.ini")
        status, _ = await _ask(site, without_disk, b"POST", replace, body)
        assert status == 503
        async with site.open(*hosts):
            await site.leader()
            status, _ = await _ask(site, without_disk, b"POST", replace, body)
            assert status == 200
            leader = await site.leader()
            assert await leader.replica.transfer_leadership()
            status, data = await _ask(site, without_disk, b"GET", read, b"")
            assert (status, json.loads(data)["version"]) == (200, 5)
            status, _ = await _ask(site, without_disk, b"GET", b"/other", b"")
            assert status == 404
        group.cancel_scope.cancel()


async def test_redirector_finds_replicas_beyond_its_seeds(
    site: sites.Site, tmp_path: pathlib.Path
) -> None:
    """The seeds of the settings may be gone by the time of a call."""
    *hosts, without_disk = sites.HOSTS[:4]
    settings = attrs.evolve(
        site.settings(without_disk),
        data_folder=None,
        seeds=support.settings(
            tmp_path, "n", hosts[0], site.port, hosts[0]
        ).seeds,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(process.run, settings, tmp_path / "none.ini")
        async with site.open(*hosts[1:]):
            async with site.open(hosts[0]):
                await site.leader()
                assert await site.replace(5) == 200
                path = b"/-/Config.Get"
                status, _ = await _ask(site, without_disk, b"GET", path, b"")
                assert status == 200
            await site.leader()
            status, _ = await _ask(site, without_disk, b"GET", path, b"")
            assert status == 200
        group.cancel_scope.cancel()
