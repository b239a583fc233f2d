from __future__ import annotations

import json
import pathlib
import signal
import socket
import struct

import anyio
import anyio.abc
import pytest
from tests.platform import test_configurations
from tests.platform import test_listings
from tests.registry import support
from tests.support import node_site
from tests.support import raw_target

from cactusstile.http import messages

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
INTERNAL, FRONT, READY, OPERATOR = 0, 6, 7, 8
READINESS = messages.Request(b"GET", b"/-/readyz", ((b"host", b"x"),))
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)


def connect(host: str, port: int) -> socket.socket:
    """Returns a connection that is reset as soon as it is closed."""
    opened = socket.create_connection((host, port), timeout=2.0)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
    return opened


def replace_request(version: int) -> messages.Request:
    """Returns an operator's call that replaces the configuration."""
    document = test_configurations.document(version=version)
    body = json.dumps(document).encode()
    headers = ((b"host", b"x"),)
    return messages.Request(b"POST", b"/-/Config.Replace", headers, body)


def caller_request(
    identity: str, *headers: tuple[bytes, bytes]
) -> messages.Request:
    """Returns the request of a caller."""
    fields = (
        (b"host", b"h.example"),
        (b"x-cactusstile-attempt-id", identity.encode()),
        (b"x-cactusstile-key", b"k"),
        *headers,
    )
    return messages.Request(b"POST", b"/a/x", fields, b"body")


async def answer_late(stream: anyio.abc.SocketStream, request: bytes) -> bool:
    """Answers a request after longer than loads wait to be told."""
    await anyio.sleep(1.5)
    return await raw_target.answer(b"late")(stream, request)


async def test_connection_reset_before_it_is_accepted_ends_a_registry(
    tmp_path: pathlib.Path,
) -> None:
    async with node_site.open_site(
        tmp_path, support.draw_network(), support.FIRST_PORT
    ) as site:
        await site.start("registry", "r-1", site.registry_host)
        replace = replace_request(3)
        await site.wait_for(site.registry_host, OPERATOR, replace, 200)
        process = site.processes["r-1"]
        process.send_signal(signal.SIGSTOP)
        for offset in (INTERNAL, OPERATOR):
            for _ in range(20):
                connect(site.registry_host, site.port + offset).close()
        process.send_signal(signal.SIGCONT)
        await anyio.sleep(0.3)
        replace = replace_request(4)
        assert process.returncode is None, site.log("r-1")[-1]
        await site.wait_for(site.registry_host, OPERATOR, replace, 200)


async def test_list_with_unreadable_entries_ends_processes(
    tmp_path: pathlib.Path,
) -> None:
    async with (
        raw_target.open_target(
            *[raw_target.answer(b"x")] * 9, service="s"
        ) as target,
        node_site.open_site(
            tmp_path, support.draw_network(), support.FIRST_PORT
        ) as site,
    ):
        site.listed.append(target.target)
        for changes in test_listings.UNREADABLE:
            site.entries.append({**test_listings.ENTRY, **changes})
        await site.start("registry", "r-1", site.registry_host)
        await site.start("gateway", "g-1", site.gateway_host)
        replace = replace_request(3)
        await site.wait_for(site.registry_host, OPERATOR, replace, 200)
        name = messages.Request(
            b"POST",
            b"/-/version-put",
            ((b"host", b"x"),),
            b'{"model": "m", "version": 9}',
        )
        await site.wait_for(site.registry_host, OPERATOR, name, 200)
        await site.wait_for(site.gateway_host, READY, READINESS, 200)
        for number in range(4):
            await anyio.sleep(0.5)
            call = caller_request(f"t-{number}")
            assert await site.ask(site.gateway_host, FRONT, call) == (200, b"x")
        for process in site.processes.values():
            assert process.returncode is None
        faults = [line for line in site.log("r-1") if "cannot be read" in line]
        assert len(faults) == 1
