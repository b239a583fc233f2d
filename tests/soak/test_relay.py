from __future__ import annotations

import collections.abc
import contextlib

import anyio
import pytest
from tests.registry import support
from tests.soak import relay as relays

from cactusstile.http import exceptions
from cactusstile.http import sockets
from cactusstile.transport import address

pytestmark = pytest.mark.anyio


@contextlib.asynccontextmanager
async def open_echo() -> collections.abc.AsyncIterator[
    tuple[relays.Relay, relays.Links, sockets.Socket]
]:
    """Opens an echo server behind a relay and a connection to the relay."""
    network = support.draw_network()
    server_address = address.Address(f"{network}.2", support.FIRST_PORT)
    relay_address = address.Address(f"{network}.1", support.FIRST_PORT)
    links = relays.Links(names=("caller",))
    async with anyio.create_task_group() as group:
        group.start_soon(_echo, server_address)
        relay = relays.open_relay(
            "echo", relay_address, server_address, links, group
        )
        await anyio.sleep(0.05)
        connection = await sockets.connect(relay_address, 1.0)
        try:
            yield relay, links, connection
        finally:
            connection.close()
            group.cancel_scope.cancel()


async def _echo(server_address: address.Address) -> None:
    with sockets.listen(server_address) as listener:
        async with anyio.create_task_group() as group:
            while True:
                group.start_soon(_answer, await sockets.accept(listener))


async def _answer(opened: sockets.Socket) -> None:
    with contextlib.suppress(exceptions.HttpError):
        while data := await opened.receive():
            await opened.send(data)
    opened.close()


async def _receive(connection: sockets.Socket, within_s: float) -> bytes:
    with anyio.move_on_after(within_s):
        return await connection.receive()
    return b"nothing"


async def test_relay_passes_bytes_both_ways() -> None:
    async with open_echo() as (_, _, connection):
        await connection.send(b"caller one")
        assert await _receive(connection, 1.0) == b"caller one"


async def test_blocked_direction_passes_bytes_once_unblocked() -> None:
    async with open_echo() as (_, links, connection):
        await connection.send(b"caller one")
        assert await _receive(connection, 1.0) == b"caller one"
        links.blocked.add(("echo", "caller"))
        await connection.send(b"two")
        assert await _receive(connection, 0.1) == b"nothing"
        links.blocked.clear()
        assert await _receive(connection, 1.0) == b"two"


async def test_silence_drops_bytes_of_open_connections() -> None:
    async with open_echo() as (relay, _, connection):
        await connection.send(b"caller one")
        assert await _receive(connection, 1.0) == b"caller one"
        relay.silence()
        await connection.send(b"two")
        assert await _receive(connection, 0.1) == b"nothing"


async def test_reset_ends_connection_with_error() -> None:
    async with open_echo() as (relay, _, connection):
        await connection.send(b"caller one")
        assert await _receive(connection, 1.0) == b"caller one"
        relay.reset()
        with pytest.raises(exceptions.ConnectionEndedError):
            await _receive(connection, 1.0)


async def test_delay_applies_to_each_direction() -> None:
    async with open_echo() as (_, links, connection):
        links.delays_s["echo"] = 0.1
        began_s = anyio.current_time()
        await connection.send(b"caller one")
        assert await _receive(connection, 2.0) == b"caller one"
        assert anyio.current_time() - began_s >= 0.2
