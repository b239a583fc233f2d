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


def _note_no_delay(app: typing.Any, found: list[int]) -> typing.Any:
    async def outer(
        scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        accepted = send.__self__.transport.get_extra_info("socket")
        found.append(
            accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        )
        await app(scope, receive, send)

    return outer


@pytest.mark.parametrize("own", [True, False])
async def test_small_writes_are_not_held_back(own: bool) -> None:
    found: list[int] = []
    app = _note_no_delay(responses.PlainTextResponse(""), found)
    listen = address.Address("127.0.0.1", 0)
    async with httpcore.AsyncConnectionPool() as connections:
        if own:
            async with http_listener.open_listener(app, listen) as listener:
                await connections.request("GET", f"http://{listener.bound}/")
        else:
            async with serving.open_app(app, listen) as bound:
                await connections.request("GET", f"http://{bound}/")
    assert found == [1]
