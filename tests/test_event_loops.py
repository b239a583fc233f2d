"""What the event loop lets tasks do after it stood still."""

from __future__ import annotations

import asyncio
import socket
import time

import anyio

from cactusstile import event_loops

# Turns of the loop until input reaches whom it is for.
HOPS = 6


async def _work(pauses_s: list[float], timeout_s: float) -> int:
    """Returns the number of turns of a task that blocks the loop in each."""
    turns = 0
    with anyio.move_on_after(timeout_s):
        for pause_s in pauses_s:
            time.sleep(pause_s)  # noqa: ASYNC251
            await event_loops.take_turn()
            turns += 1
    return turns


# Guards against an answer that is cut off as its time ran out in a pause.
def test_turn_after_a_pause_ends_what_is_late() -> None:
    pauses_s = [0.4, *[0.0] * 20]
    assert event_loops.run(_work, pauses_s, 0.2) == len(pauses_s)


# Guards against answers without an end that outlast their time on a slow loop.
def test_loop_that_is_always_late_ends_nothing() -> None:
    pauses_s = [0.06] * 60
    begun_s = time.monotonic()
    assert event_loops.run(_work, pauses_s, 0.1) < len(pauses_s)
    assert time.monotonic() - begun_s < 2.0


# Guards against an answer that is cut off as a hiccup came before the pause.
def test_hiccup_takes_the_time_to_catch_up_from_a_pause() -> None:
    pauses_s = [0.06, 0.4, *[0.0] * 20]
    assert event_loops.run(_work, pauses_s, 0.2) == len(pauses_s)


# Guards against answers without an end that outlast their time on a slow loop.
def test_loop_that_is_late_by_ever_more_ends_nothing() -> None:
    pauses_s = [0.06, 0.13, 0.27, 0.55] * 10
    begun_s = time.monotonic()
    assert event_loops.run(_work, pauses_s, 0.1) < len(pauses_s)
    assert time.monotonic() - begun_s < 4.0


async def _receive_over_tasks(pauses_s: list[float]) -> int:
    """Returns how often what came in a pause reached a task by way of another.

    The time of its wait has run out when it wakes from each pause.
    """
    received = 0
    for pause_s in pauses_s:
        left, right = socket.socketpair()
        left.setblocking(False)
        arrived = anyio.Event()

        async def read(source: socket.socket, told: anyio.Event) -> None:
            await anyio.wait_readable(source)
            told.set()

        with left, right:
            async with anyio.create_task_group() as group:
                group.start_soon(read, left, arrived)
                await anyio.sleep(0.01)
                with anyio.move_on_after(0.1):
                    right.send(b"x")
                    time.sleep(pause_s)  # noqa: ASYNC251
                    await arrived.wait()
                    received += 1
                group.cancel_scope.cancel()
    return received


# Guards against a wait that ends before another task passes on what arrived.
def test_wait_whose_time_ran_out_in_a_pause_misses_what_arrived() -> None:
    assert event_loops.run(_receive_over_tasks, [0.3]) == 1


async def _run_out(pause_s: float) -> list[str]:
    """Returns what timers did that were due in a pause; one cancels another."""
    done: list[str] = []
    loop = asyncio.get_running_loop()
    cancelled = loop.call_later(0.11, done.append, "cancelled")
    loop.call_later(0.1, done.append, "first")
    loop.call_later(0.1, cancelled.cancel)
    loop.call_later(0.12, done.append, "last")
    time.sleep(pause_s)  # noqa: ASYNC251
    with anyio.move_on_after(0.01):
        await anyio.sleep_forever()
    return done


# Guards against timers that run out of order, or although they were cancelled.
def test_timers_that_were_due_in_a_pause_are_mixed_up() -> None:
    assert event_loops.run(_run_out, 0.3) == ["first", "last"]


async def _stand_still_with_input(
    pauses_s: list[float], first_hop_s: float
) -> list[str]:
    """Returns the order of input from the last pause and of a timer due then.

    The input takes some turns of the loop, the first of which may be long.
    """
    loop = asyncio.get_running_loop()
    order: list[str] = []
    left, right = socket.socketpair()

    def pass_on(hops: int) -> None:
        if not hops:
            order.append("input")
            return
        loop.call_soon(pass_on, hops - 1)

    def read() -> None:
        loop.remove_reader(left)
        time.sleep(first_hop_s)
        pass_on(HOPS)

    def stand_still() -> None:
        right.send(b"x")
        time.sleep(pauses_s[-1])

    with left, right:
        for pause_s in pauses_s[:-1]:
            time.sleep(pause_s)  # noqa: ASYNC251
            await anyio.sleep(0.02)
        loop.add_reader(left, read)
        loop.call_later(0.05, order.append, "timer")
        loop.call_soon(stand_still)
        while len(order) < 2:
            await anyio.sleep(0.02)
    return order


# Guards against input that comes too late as the turn that reads it is long.
def test_long_turn_after_a_pause_lets_timers_run_before_input() -> None:
    order = event_loops.run(_stand_still_with_input, [1.0], 0.3)
    assert order == ["input", "timer"]


# Guards against input of a pause that comes too late as another came before.
def test_pause_soon_after_another_lets_timers_run_before_input() -> None:
    order = event_loops.run(_stand_still_with_input, [0.5, 0.9], 0.0)
    assert order == ["input", "timer"]
