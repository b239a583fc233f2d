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
    """Opens an echoing process behind a relay, and a connection to it."""
    network = support.draw_network()
    behind = address.Address(f"{network}.2", support.FIRST_PORT)
    before = address.Address(f"{network}.1", support.FIRST_PORT)
    links = relays.Links(names=("caller",))
    async with anyio.create_task_group() as group:
        group.start_soon(_echo, behind)
        relay = relays.open_relay("echo", before, behind, links, group)
        await anyio.sleep(0.05)
        connection = await sockets.connect(before, 1.0)
        try:
            yield relay, links, connection
        finally:
            connection.close()
            group.cancel_scope.cancel()


async def _echo(place: address.Address) -> None:
    with sockets.listen(place) as listener:
        async with anyio.create_task_group() as group:
            while True:
                group.start_soon(_answer, await sockets.accept(listener))


async def _answer(opened: sockets.Socket) -> None:
    with contextlib.suppress(exceptions.HttpError):
        while data := await opened.receive():
            await opened.send(data)
    opened.close()


async def _receives(connection: sockets.Socket, within_s: float) -> bytes:
    with anyio.move_on_after(within_s):
        return await connection.receive()
    return b"nothing"


async def test_relay_passes_bytes_both_ways() -> None:
    async with open_echo() as (_, _, connection):
        await connection.send(b"caller one")
        assert await _receives(connection, 1.0) == b"caller one"


async def test_cut_holds_bytes_of_one_direction_until_it_heals() -> None:
    async with open_echo() as (_, links, connection):
        await connection.send(b"caller one")
        assert await _receives(connection, 1.0) == b"caller one"
        links.held.add(("echo", "caller"))
        await connection.send(b"two")
        assert await _receives(connection, 0.1) == b"nothing"
        links.held.clear()
        assert await _receives(connection, 1.0) == b"two"


async def test_silence_lasts_for_connections_that_were_open() -> None:
    async with open_echo() as (relay, _, connection):
        await connection.send(b"caller one")
        assert await _receives(connection, 1.0) == b"caller one"
        relay.silence()
        await connection.send(b"two")
        assert await _receives(connection, 0.1) == b"nothing"


async def test_reset_is_seen_as_one() -> None:
    async with open_echo() as (relay, _, connection):
        await connection.send(b"caller one")
        assert await _receives(connection, 1.0) == b"caller one"
        relay.reset()
        with pytest.raises(exceptions.ConnectionEndedError):
            await _receives(connection, 1.0)


async def test_delay_holds_each_piece() -> None:
    async with open_echo() as (_, links, connection):
        links.delays_s["echo"] = 0.1
        began_s = anyio.current_time()
        await connection.send(b"caller one")
        assert await _receives(connection, 2.0) == b"caller one"
        assert anyio.current_time() - began_s >= 0.2
