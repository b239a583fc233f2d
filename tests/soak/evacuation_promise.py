"""Checks that nothing reaches a data centre that is evacuated."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from tests.soak import history as histories

STABLE_S = 3.0
IN_FORCE_S = 2.0


def kept_evacuations(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """Two seconds after an acknowledgement nothing new arrives there."""
    for evacuation in history.evacuations:
        from_s = evacuation.acknowledged_s + IN_FORCE_S
        for arrival in history.arrivals:
            if arrival.data_centre != evacuation.data_centre:
                continue
            if (
                not arrival.ran
                or not from_s < arrival.at_s < evacuation.ended_s
            ):
                continue
            if history.is_fault_free(from_s - STABLE_S, arrival.at_s):
                yield f"{arrival.request_id} ran at {arrival.target}"
