"""Checks that what may run only once does."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from tests.soak import history as histories

# A run may go on from its copy while the first one still works for this time.
MAX_OVERLAP_S = 0.4


def at_most_once(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """A non-repeatable request runs once, or goes on where a run stopped."""
    for request_id, runs in history.runs_by_request().items():
        call = history.calls.get(request_id)
        if call is None or call.is_repeatable:
            continue
        for number, run in enumerate(runs):
            for earlier in runs[:number]:
                yield from _compare(earlier, run)


def _compare(
    earlier: histories.Arrival, run: histories.Arrival
) -> collections.abc.Iterator[str]:
    places = f"{run.request_id} ran at {earlier.target} and {run.target}"
    if not run.from_copy:
        yield f"{places}, not from a copy"
        return
    ended_s = float("inf") if earlier.ended_s is None else earlier.ended_s
    overlap_s = ended_s - run.began_s
    if overlap_s > MAX_OVERLAP_S:
        yield f"{places}, at the same time for {overlap_s:.2f} s"
