"""What the event loop lets tasks do after it stood still."""

from __future__ import annotations

import time

import anyio

from cactusstile import event_loops


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
