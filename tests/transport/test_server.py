from __future__ import annotations

import asyncio
import contextlib
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


def _open() -> contextlib.AbstractAsyncContextManager[server.Server]:
    identity = handshake.Identity("control", "c")
    secrets = handshake.Secrets(b"s" * 16)
    return server.open_server(LOCAL, identity, secrets, incoming.Handlers())


async def test_cancelled_server_raises_no_second_cancellation() -> None:
    """Guards against exit stacks that spin over a cycle of cancellations."""
    ended: list[BaseException] = []

    async def serve() -> None:
        try:
            async with _open():
                await anyio.sleep_forever()
        except BaseException as error:
            ended.append(error)
            raise

    async with anyio.create_task_group() as group:
        group.start_soon(serve)
        await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    assert [error.__context__ for error in ended] == [None]


async def test_server_that_stops_while_a_caller_connects_logs_a_traceback() -> (
    None
):
    loop = asyncio.get_running_loop()
    faults: list[dict[str, typing.Any]] = []
    loop.set_exception_handler(lambda _, context: faults.append(context))
    wake, waker = socket.socketpair()
    scope = anyio.CancelScope()
    with scope, wake, waker:
        async with _open() as opened:
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
