from __future__ import annotations

import json
import pathlib
import signal
import socket
import struct

import anyio
import pytest
from tests.platform import test_configurations
from tests.registry import support
from tests.support import node_site

from cactusstile.http import messages

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
INTERNAL, OPERATOR = 0, 8
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
