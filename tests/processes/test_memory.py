"""Processes stay within the memory of the smallest deployment."""

from __future__ import annotations

import contextlib
import json
import pathlib
import secrets
import typing

import anyio
import pytest
from tests.platform import test_configurations
from tests.registry import support
from tests.support import node_site

from cactusstile.http import messages

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
OPERATOR = 8
MEMORY_MB = 150
HEADERS = ((b"host", b"x"),)


def peak_mb(site: node_site.NodeSite, name: str) -> int:
    """Returns the largest resident size of a process."""
    process = site.processes[name]
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) >> 10


@pytest.fixture
async def site(
    tmp_path: pathlib.Path,
) -> typing.AsyncIterator[node_site.NodeSite]:
    network = support.draw_network()
    opened = node_site.open_site(tmp_path, network, support.FIRST_PORT)
    async with opened as new_site:
        yield new_site


async def test_large_configurations_at_once_stay_within_the_memory(
    site: node_site.NodeSite,
) -> None:
    workspaces = [
        {
            "name": f"w{number}",
            "apiKeys": [secrets.token_hex(64)],
            "priority": 1,
        }
        for number in range(20_000)
    ]
    await site.start("registry", "r-1", site.registry_host)

    def change(version: int, **content: object) -> messages.Request:
        document = test_configurations.document(version=version, **content)
        body = json.dumps(document).encode()
        return messages.Request(b"POST", b"/-/Config.Replace", HEADERS, body)

    async def replace(version: int) -> None:
        request = change(version, tenants=workspaces)
        with contextlib.suppress(Exception):
            await site.ask(site.registry_host, OPERATOR, request)

    await site.wait_for(site.registry_host, OPERATOR, change(1), 200)
    async with anyio.create_task_group() as group:
        for version in range(2, 10):
            group.start_soon(replace, version)
    await site.wait_for(site.registry_host, OPERATOR, change(10), 200)
    assert site.processes["r-1"].returncode is None
    assert peak_mb(site, "r-1") < MEMORY_MB
