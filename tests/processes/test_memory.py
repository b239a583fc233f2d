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
from tests.support import raw_target

from cactusstile.http import messages

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
FRONT, OPERATOR = 6, 8
LARGE_BYTES = 4 << 20
CALLERS = 64
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


def replace(version: int, **content: object) -> messages.Request:
    document = test_configurations.document(version=version, **content)
    body = json.dumps(document).encode()
    return messages.Request(b"POST", b"/-/Config.Replace", HEADERS, body)


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

    async def send(version: int) -> None:
        request = replace(version, tenants=workspaces)
        with contextlib.suppress(Exception):
            await site.ask(site.registry_host, OPERATOR, request)

    await site.wait_for(site.registry_host, OPERATOR, replace(1), 200)
    async with anyio.create_task_group() as group:
        for version in range(2, 10):
            group.start_soon(send, version)
    await site.wait_for(site.registry_host, OPERATOR, replace(10), 200)
    assert site.processes["r-1"].returncode is None
    assert peak_mb(site, "r-1") < MEMORY_MB


def request(identity: str, body: bytes = b"") -> bytes:
    head = (
        "POST /a/x HTTP/1.1\r\nhost: h.example\r\n"
        f"x-cactusstile-attempt-id: {identity}\r\nx-cactusstile-key: k\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def start_with_gateway(
    site: node_site.NodeSite, target: raw_target.RawTarget
) -> None:
    site.listed.append(target.target)
    await site.start("registry", "r-1", site.registry_host)
    await site.start("gateway", "g-1", site.gateway_host)
    await site.wait_for(site.registry_host, OPERATOR, replace(3), 200)
    asked = messages.Request(
        b"POST",
        b"/a/x",
        (
            (b"host", b"h.example"),
            (b"x-cactusstile-attempt-id", b"first"),
            (b"x-cactusstile-key", b"k"),
        ),
    )
    await site.wait_for(site.gateway_host, FRONT, asked, 200)


async def test_large_answers_that_nobody_reads_stay_within_the_memory(
    site: node_site.NodeSite,
) -> None:
    answers = [
        raw_target.answer(),
        *[raw_target.answer(bytes(LARGE_BYTES))] * CALLERS,
    ]
    opened = raw_target.open_target(*answers, service="s", id="t")
    async with opened as target, contextlib.AsyncExitStack() as stack:
        await start_with_gateway(site, target)
        for number in range(CALLERS):
            stream = await anyio.connect_tcp(
                site.gateway_host, site.port + FRONT
            )
            stack.push_async_callback(stream.aclose)
            await stream.send(request(str(number)))
        await anyio.sleep(3)
        assert site.processes["g-1"].returncode is None
        assert peak_mb(site, "g-1") < MEMORY_MB


async def test_large_bodies_at_once_stay_within_the_memory(
    site: node_site.NodeSite,
) -> None:
    answers = [raw_target.answer()] * (1 + 3 * CALLERS)
    opened = raw_target.open_target(*answers, service="s", id="t")

    async def send(identity: str) -> None:
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.EndOfStream, OSError
        ):
            address = (site.gateway_host, site.port + FRONT)
            async with await anyio.connect_tcp(*address) as stream:
                await stream.send(request(identity, bytes(LARGE_BYTES)))
                await stream.receive()

    async with opened as target:
        await start_with_gateway(site, target)
        for _ in range(3):
            async with anyio.create_task_group() as group:
                for _ in range(CALLERS):
                    group.start_soon(send, secrets.token_hex(8))
        assert site.processes["g-1"].returncode is None
        assert peak_mb(site, "g-1") < MEMORY_MB
