"""Broken, hostile and silent connections to each port of real processes."""

from __future__ import annotations

import contextlib
import json
import pathlib
import resource
import secrets
import socket

import anyio
import anyio.abc
import anyio.to_thread
import pytest
from tests.platform import test_configurations
from tests.processes import test_outside_input
from tests.registry import support
from tests.support import node_site
from tests.support import raw_target

from cactusstile.gateway.peers import datagrams

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
FRONT, OPERATOR = test_outside_input.FRONT, test_outside_input.OPERATOR
ADMIN_PORTS = {"gateway": 9464, "registry": 9465}
DESCRIPTORS = 100
BEGUN = [
    b"",
    b"GET / HT",
    b"POST /-/Config.Replace HTTP/1.1\r\nhost: x\r\n"
    b"content-length: 999\r\n\r\n{",
    b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n",
    b"GET /-/Config.Get HTTP/1.1\r\nhost: x\r\n\r\n" * 20,
    b"POST /a/x HTTP/1.1\r\nhost: h.example\r\nx-cactusstile-key: k\r\n"
    b"x-cactusstile-attempt-id: t\r\ncontent-length: 4\r\n\r\nbody",
    b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 20_000,
    b"\x00\xff" * 5000,
]


def send_and_reset(host: str, port: int) -> None:
    """Resets connections at once, within a request and within an answer."""
    for begun in BEGUN:
        for is_answered in (False, True):
            opened = test_outside_input.connect(host, port)
            with opened, contextlib.suppress(OSError):
                opened.settimeout(0.05)
                opened.sendall(begun)
                if is_answered:
                    opened.recv(10)


def send_datagrams(host: str, port: int) -> None:
    """Sends empty, odd and the largest datagrams to a gateway."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(600):
            size = (0, 1, 17, 1400, datagrams.MAX_DATAGRAM_BYTES)[number % 5]
            sender.sendto(secrets.token_bytes(size), (host, port))


def exhaust(places: list[tuple[str, int]]) -> list[socket.socket]:
    """Opens silent connections until descriptors run out."""
    silent = []
    for number in range(2 * DESCRIPTORS):
        host, port = places[number % len(places)]
        with contextlib.suppress(OSError):
            silent.append(test_outside_input.connect(host, port))
    return silent


def limit_descriptors(process: anyio.abc.Process) -> None:
    """Lowers the limit of one process."""
    both = (DESCRIPTORS, DESCRIPTORS)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, both)


def list_places(site: node_site.NodeSite) -> list[tuple[str, int]]:
    """Returns all addresses of a registry, and all of a gateway."""
    return [
        (site.registry_host, site.port),
        (site.registry_host, site.port + OPERATOR),
        (site.registry_host, ADMIN_PORTS["registry"]),
        (site.gateway_host, site.port + FRONT),
        (site.gateway_host, site.port + test_outside_input.READY),
        (site.gateway_host, ADMIN_PORTS["gateway"]),
    ]


async def test_reset_or_silent_connections_end_a_process(
    tmp_path: pathlib.Path,
) -> None:
    async with (
        raw_target.open_target(
            *[raw_target.answer(b"x")] * 99, service="s"
        ) as target,
        node_site.open_site(
            tmp_path, support.draw_network(), support.FIRST_PORT
        ) as site,
    ):
        site.listed.append(target.target)
        await site.start("registry", "r-1", site.registry_host)
        await site.start("gateway", "g-1", site.gateway_host)
        replace = test_outside_input.replace_request(3)
        await site.wait_for(site.registry_host, OPERATOR, replace, 200)
        readiness = test_outside_input.READINESS
        ready = test_outside_input.READY
        await site.wait_for(site.gateway_host, ready, readiness, 200)
        for process in site.processes.values():
            limit_descriptors(process)
        places = list_places(site)
        for place in places:
            await anyio.to_thread.run_sync(send_and_reset, *place)
        await anyio.to_thread.run_sync(
            send_datagrams, site.gateway_host, site.port
        )
        for part in (places[:3], places[3:]):
            silent = await anyio.to_thread.run_sync(exhaust, part)
            await anyio.sleep(0.5)
            for opened in silent:
                opened.close()
        replace = test_outside_input.replace_request(4)
        await site.wait_for(site.registry_host, OPERATOR, replace, 200)
        call = test_outside_input.caller_request("last")
        await site.wait_for(site.gateway_host, FRONT, call, 200)
        for name, process in site.processes.items():
            assert process.returncode is None, site.log(name)[-1]


def replace_by(opened: socket.socket, version: int, padding: int) -> bytes:
    """Sends a large configuration on an open connection."""
    document = test_configurations.document(version=version)
    document["padding"] = secrets.token_hex(padding)
    body = json.dumps(document).encode()
    length = b"%d" % len(body)
    opened.sendall(
        b"POST /-/Config.Replace HTTP/1.1\r\nhost: x\r\ncontent-length: "
        + length
        + b"\r\n\r\n"
        + body
    )
    return opened.recv(4096)


async def test_registry_without_descriptors_cannot_write_and_ends(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against connections that take the descriptors of its files."""
    async with node_site.open_site(
        tmp_path, support.draw_network(), support.FIRST_PORT
    ) as site:
        await site.start("registry", "r-1", site.registry_host)
        replace = test_outside_input.replace_request(3)
        host = site.registry_host
        await site.wait_for(host, OPERATOR, replace, 200)
        limit_descriptors(site.processes["r-1"])
        operator = test_outside_input.connect(host, site.port + OPERATOR)
        operator.settimeout(5.0)
        # One that never asked anything gives way like the silent ones.
        await anyio.to_thread.run_sync(replace_by, operator, 4, 400_000)
        places = [(host, site.port + OPERATOR)]
        silent = await anyio.to_thread.run_sync(exhaust, places)
        for version in range(5, 17):
            answer = await anyio.to_thread.run_sync(
                replace_by, operator, version, 400_000
            )
            assert b" 200 " in answer
        await anyio.sleep(0.5)
        assert site.processes["r-1"].returncode is None, site.log("r-1")[-1]
        for opened in [*silent, operator]:
            opened.close()
        replace = test_outside_input.replace_request(99)
        await site.wait_for(host, OPERATOR, replace, 200)
