from __future__ import annotations

import contextlib
import resource

import anyio
import pytest

from cactusstile.limits import connections
from cactusstile.limits import turns

pytestmark = pytest.mark.anyio
Phase = connections.Phase


def limited(most: int) -> connections.Connections:
    return connections.Connections(most, 1.0)


def wait(
    stack: contextlib.ExitStack,
    place: connections.Place | None,
    phase: connections.Phase,
) -> anyio.CancelScope:
    assert place is not None
    return stack.enter_context(place.waiting(phase))


async def test_longest_idle_gives_way_before_those_that_read() -> None:
    opened = limited(3)
    places = [opened.open() for _ in range(3)]
    with contextlib.ExitStack() as stack:
        scopes = [
            wait(stack, places[0], Phase.READING),
            wait(stack, places[1], Phase.IDLE),
            wait(stack, places[2], Phase.IDLE),
        ]
        for expected in (1, 2, 0):
            assert opened.open() is not None
            told = [scope.cancel_called for scope in scopes]
            assert told[expected]
        assert opened.ended == 3


# Guards against silent connections that take the places of those in use.
async def test_connection_that_was_served_stays_longer() -> None:
    opened = limited(3)
    places = [opened.open() for _ in range(3)]
    assert places[0] is not None
    places[0].was_served = True
    with contextlib.ExitStack() as stack:
        scopes = [
            wait(stack, places[0], Phase.IDLE),
            wait(stack, places[1], Phase.READING),
            wait(stack, places[2], Phase.IDLE),
        ]
        for expected in (2, 1, 0):
            assert opened.open() is not None
            assert scopes[expected].cancel_called


async def test_connection_whose_request_is_handled_never_gives_way() -> None:
    opened = limited(1)
    place = opened.open()
    with contextlib.ExitStack() as stack:
        wait(stack, place, Phase.READING)
    assert place is not None
    assert place.phase is Phase.BUSY
    assert opened.open() is None
    assert opened.refused == 1
    opened.close(place)
    assert opened.open() is not None


async def test_short_wait_for_a_reader_gives_way_to_nobody() -> None:
    opened = limited(1)
    place = opened.open()
    with contextlib.ExitStack() as stack:
        wait(stack, place, Phase.STALLED)
        assert place is not None
        assert opened.open() is None
        place.since_s -= connections.MIN_WAIT_S
        assert opened.open() is not None
        assert place.gave_way


async def test_number_is_bounded_by_descriptors() -> None:
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    opened = connections.Connections(1 << 30, 0.25)
    assert opened.limit() == limit // 4


async def test_who_held_most_for_longest_is_found() -> None:
    opened = limited(9)
    with contextlib.ExitStack() as stack:
        for size, age_s in ((10, 5.0), (60, 1.5), (1000, 0.1)):
            place = opened.open()
            wait(stack, place, Phase.READING)
            assert place is not None
            place.held_bytes = size
            place.since_s -= age_s
        found = opened.find_holder(Phase.READING, 1.0)
        assert found is not None
        assert found.held_bytes == 60
        assert opened.find_holder(Phase.STALLED) is None


async def test_others_run_between_two_turns() -> None:
    shared = turns.Turns()
    log: list[str] = []

    async def work() -> None:
        await shared.take()
        log.append("turn")

    async def tick() -> None:
        while log.count("turn") < 5:
            log.append("tick")
            await anyio.lowlevel.checkpoint()

    async with anyio.create_task_group() as group:
        group.start_soon(tick)
        for _ in range(5):
            group.start_soon(work)
    assert "turn turn" not in " ".join(log)
