"""Checks that gateways keep the limits that targets name."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from tests.soak import history as histories

STABLE_S = 3.0
# A limit that a target named allows half more, and some requests.
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_WINDOW_S = 4.0
TOLD_S = 0.5


def kept_limits(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """Gateways that were told of a limit keep it together, without faults."""
    for limit in history.limits:
        told_s: dict[str, float] = {}
        arrived_s = []
        for arrival in history.arrivals:
            call = history.calls.get(arrival.request_id)
            if arrival.target != limit.target or call is None:
                continue
            if arrival.at_s < limit.from_s or arrival.at_s > limit.to_s:
                continue
            if arrival.at_s > told_s.get(call.gateway, float("inf")):
                arrived_s.append(arrival.at_s)
            elif arrival.ran and arrival.ended_s is not None:
                told_s.setdefault(call.gateway, arrival.ended_s + TOLD_S)
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit.per_s + LIMIT_SLACK
        for begin_s in arrived_s:
            end_s = begin_s + LIMIT_WINDOW_S
            count = sum(begin_s <= at_s < end_s for at_s in arrived_s)
            if begin_s < limit.from_s + STABLE_S or count <= allowed:
                continue
            if history.is_fault_free(begin_s - STABLE_S, end_s):
                yield f"{limit.target} got {count}, {allowed:.0f} allowed"
                break
