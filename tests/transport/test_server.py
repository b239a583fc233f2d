from __future__ import annotations

import asyncio
import socket
import typing

import anyio
import pytest

from cactusstile.transport import address
from cactusstile.transport import handshake
from cactusstile.transport import incoming
from cactusstile.transport import server

pytestmark = pytest.mark.anyio
LOCAL = address.Address("127.0.0.1", 0)


async def test_server_that_stops_while_a_caller_connects_logs_a_traceback() -> (
    None
):
    loop = asyncio.get_running_loop()
    faults: list[dict[str, typing.Any]] = []
    loop.set_exception_handler(lambda _, context: faults.append(context))
    wake, waker = socket.socketpair()
    scope = anyio.CancelScope()
    with scope, wake, waker:
        async with server.open_server(
            LOCAL,
            handshake.Identity("control", "c"),
            handshake.Secrets(b"s" * 16),
            incoming.Handlers(),
        ) as opened:
            await anyio.sleep(0.05)
            loop.add_reader(wake, scope.cancel)
            # Both are ready in one turn of the loop, the cancellation first.
            waker.send(b"x")
            place = opened.bound
            try:
                with socket.create_connection((place.host, place.port)):
                    await anyio.sleep_forever()
            finally:
                loop.remove_reader(wake)
    with anyio.CancelScope(shield=True):
        await anyio.sleep(0.01)
    assert faults == []
