"""Order and timing of waiting requests, in virtual time."""

from __future__ import annotations

import anyio
import pytest
from tests.support import virtual_clock

from cactusstile.gateway.engines import waitlist

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> virtual_clock.Backend:
    return virtual_clock.BACKEND


class Room:
    """Places that waiting requests try to take."""

    def __init__(self, places: int = 0) -> None:
        self.places = places
        self.taken: list[str] = []
        self.tries = 0

    def try_take(self, name: str) -> str | None:
        self.tries += 1
        if not self.places:
            return None
        self.places -= 1
        self.taken.append(name)
        return name


async def _wait(
    waiting: waitlist.Waitlist, room: Room, name: str, rank: int, wait_s: float
) -> str | None:
    return await waiting.wait(
        rank, 10, anyio.current_time() + wait_s, lambda: room.try_take(name)
    )


async def test_urgent_requests_come_first_then_earlier_ones() -> None:
    waiting, room = waitlist.Waitlist(), Room()
    async with anyio.create_task_group() as group:
        for name, rank in (("a", 2), ("b", 1), ("c", 2), ("d", 0), ("e", 1)):
            group.start_soon(_wait, waiting, room, name, rank, 5.0)
            await anyio.sleep(0.03)
        assert waiting.tokens == 50
        for _ in range(5):
            room.places = 1
            await anyio.sleep(0.1)
    assert room.taken == ["d", "b", "e", "a", "c"]
    assert not waiting.tokens


async def test_only_the_first_request_tries() -> None:
    waiting, room = waitlist.Waitlist(), Room()
    async with anyio.create_task_group() as group:
        for number in range(40):
            group.start_soon(_wait, waiting, room, f"{number}", 0, 1.0)
        await anyio.sleep(0.5)
        assert room.tries <= 0.5 / waitlist.POLL_INTERVAL_S + 1
        room.places = 40
        await anyio.sleep(2 * waitlist.POLL_INTERVAL_S)
        assert len(room.taken) == 40


async def test_request_gives_up_at_its_deadline() -> None:
    waiting, room = waitlist.Waitlist(), Room()
    results: list[str | None] = []
    started_s = anyio.current_time()

    async def wait_for(name: str, wait_s: float) -> None:
        results.append(await _wait(waiting, room, name, 0, wait_s))

    async with anyio.create_task_group() as group:
        group.start_soon(wait_for, "first", 0.5)
        group.start_soon(wait_for, "second", 0.3)
    assert anyio.current_time() - started_s == pytest.approx(0.5)
    assert results == [None, None]
    assert await _wait(waiting, Room(1), "late", 0, 0.0) == "late"


async def test_cancelled_request_lets_the_next_one_try() -> None:
    waiting, room = waitlist.Waitlist(), Room()
    scope = anyio.CancelScope()

    async def wait_cancelled() -> None:
        with scope:
            await _wait(waiting, room, "cancelled", 0, 9.0)

    async with anyio.create_task_group() as group:
        group.start_soon(wait_cancelled)
        group.start_soon(_wait, waiting, room, "next", 0, 9.0)
        await anyio.sleep(0.1)
        scope.cancel()
        await anyio.sleep(0.1)
        room.places = 1
    assert room.taken == ["next"]
