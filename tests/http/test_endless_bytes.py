from __future__ import annotations

import collections.abc

import anyio
import anyio.lowlevel
import pytest

from cactusstile.http import sockets

pytestmark = pytest.mark.anyio
# Calls after which an endless loop of a failing test ends.
CALL_LIMIT = 20_000


class ReadyRaw:
    """A raw socket that always has input and always takes output."""

    def recv(self, size: int) -> bytes:
        return b"x" * min(size, 16)

    def send(self, data: memoryview) -> int:
        return min(len(data), 16)


async def _receive_all(opened: sockets.Socket) -> None:
    for _ in range(CALL_LIMIT):
        await opened.receive()


async def _send_all(opened: sockets.Socket) -> None:
    for _ in range(CALL_LIMIT):
        await opened.send(b"x")


async def _send_one(opened: sockets.Socket) -> None:
    await opened.send(b"x" * 16 * CALL_LIMIT)


@pytest.mark.parametrize("use", [_receive_all, _send_all, _send_one])
async def test_socket_that_is_always_ready_starves_no_other_task(
    use: collections.abc.Callable[
        [sockets.Socket], collections.abc.Awaitable[None]
    ],
) -> None:
    turns = 0

    async def take_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await anyio.lowlevel.checkpoint()

    async with anyio.create_task_group() as group:
        group.start_soon(take_turns)
        await use(sockets.Socket(ReadyRaw()))  # type: ignore[arg-type]
        group.cancel_scope.cancel()
    assert turns > CALL_LIMIT // 100


async def test_cancelling_ends_reading_of_endless_bytes() -> None:
    with anyio.CancelScope() as scope:
        scope.cancel()
        await _receive_all(sockets.Socket(ReadyRaw()))  # type: ignore[arg-type]
    assert scope.cancelled_caught
