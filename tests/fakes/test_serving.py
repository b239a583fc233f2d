from __future__ import annotations

import socket
import typing

import httpcore
import pytest
from starlette import responses

from cactusstile.fakes import serving
from cactusstile.observability import http_listener
from cactusstile.transport import address

pytestmark = pytest.mark.anyio


def _record_no_delay_option(
    app: typing.Any, no_delay_options: list[int]
) -> typing.Any:
    async def recording_app(
        scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        accepted_socket = send.__self__.transport.get_extra_info("socket")
        no_delay_options.append(
            accepted_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        )
        await app(scope, receive, send)

    return recording_app


@pytest.mark.parametrize("use_http_listener", [True, False])
async def test_accepted_connections_disable_nagles_algorithm(
    use_http_listener: bool,
) -> None:
    """Guards against servers that delay small writes.

    Without TCP_NODELAY on the accepted socket, Nagle's algorithm delays them.
    """
    no_delay_options: list[int] = []
    app = _record_no_delay_option(
        responses.PlainTextResponse(""), no_delay_options
    )
    listen = address.Address("127.0.0.1", 0)
    async with httpcore.AsyncConnectionPool() as connections:
        if use_http_listener:
            async with http_listener.open_listener(app, listen) as listener:
                await connections.request("GET", f"http://{listener.bound}/")
        else:
            async with serving.open_app(app, listen) as bound:
                await connections.request("GET", f"http://{bound}/")
    assert no_delay_options == [1]
