from __future__ import annotations

import asyncio
import socket

import httpcore
import pytest
from starlette import responses
from uvicorn.protocols.http import h11_impl

from cactusstile.fakes import serving
from cactusstile.observability import http_listener
from cactusstile.transport import address

pytestmark = pytest.mark.anyio


def _record_no_delay_options(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Returns the option of each accepted socket, as connections begin."""
    connection_made = h11_impl.H11Protocol.connection_made
    options: list[int] = []

    def record(
        protocol: h11_impl.H11Protocol, transport: asyncio.Transport
    ) -> None:
        accepted_socket = transport.get_extra_info("socket")
        options.append(
            accepted_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        )
        connection_made(protocol, transport)

    monkeypatch.setattr(h11_impl.H11Protocol, "connection_made", record)
    return options


@pytest.mark.parametrize("use_http_listener", [True, False])
async def test_accepted_connections_disable_nagles_algorithm(
    use_http_listener: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against servers that delay small writes.

    Without TCP_NODELAY on the accepted socket, Nagle's algorithm delays them.
    """
    no_delay_options = _record_no_delay_options(monkeypatch)
    app = responses.PlainTextResponse("")
    listen = address.Address("127.0.0.1", 0)
    async with httpcore.AsyncConnectionPool() as connections:
        if use_http_listener:
            async with http_listener.open_listener(app, listen) as listener:
                await connections.request("GET", f"http://{listener.bound}/")
        else:
            async with serving.open_app(app, listen) as bound:
                await connections.request("GET", f"http://{bound}/")
    assert no_delay_options == [1]
