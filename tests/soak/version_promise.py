"""Checks that requests are decided by versions that are new enough."""

from __future__ import annotations

import typing

from tests.soak import operators
from tests.soak import plans

if typing.TYPE_CHECKING:
    import collections.abc

    from tests.soak import history as histories

APPLY_S = 2.0
STABLE_S = 3.0
FINAL_REFUSALS = (401, 403, 404)
# None of them keeps a gateway from control; it is to notice its own pauses.
_NO_EXCUSE = (
    plans.LIMIT,
    plans.EVACUATION,
    *plans.TARGET_FAULTS,
    *plans.TARGET_PROCESS_FAULTS,
    *plans.SITE_CHANGES,
)


def newest_acknowledged(history: histories.History, before_s: float) -> int:
    """Returns the newest version that was acknowledged before a time."""
    newest = 0
    for change in history.changes:
        if change.acknowledged_s is None or change.acknowledged_s > before_s:
            continue
        newest = max(newest, change.version)
    return newest


def _versions(
    history: histories.History, call: histories.Call, until_s: float
) -> list[int]:
    """Returns the versions by which a call may be decided until a time."""
    oldest = newest_acknowledged(history, call.sent_s - APPLY_S)
    return [
        change.version
        for change in history.changes
        if change.version >= oldest and change.sent_s <= until_s
    ]


def configuration_in_force(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """Nothing runs by an older version, also after a pause of a gateway."""
    for arrival in history.arrivals:
        call = history.calls.get(arrival.request_id)
        if call is None or not arrival.ran:
            continue
        if not operators.may_change(call.path, call.key):
            continue
        versions = _versions(history, call, arrival.at_s)
        allowed = {
            operators.service_of(version, call.path, call.key)
            for version in versions
        }
        if arrival.service in allowed:
            continue
        if not _is_excused(history, call.sent_s - STABLE_S, arrival.at_s):
            yield (
                f"{call.id} ran at {arrival.service} by a version before"
                f" {versions[0]}: {call.path} with {call.key}"
            )


def newest_refusals(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """No fault excuses a final refusal by an older version."""
    for call in history.calls.values():
        if call.status not in FINAL_REFUSALS or call.ended_s is None:
            continue
        if operators.is_permanent(call.path, call.key):
            # See `promises.proper_requests`.
            continue
        versions = _versions(history, call, call.ended_s)
        services = {
            operators.service_of(version, call.path, call.key)
            for version in versions
        }
        if services and None not in services:
            yield (
                f"{call.id} was answered {call.status} by {call.gateway}, as"
                f" only a version before {versions[0]} allows: {call.path}"
            )


def _is_excused(history: histories.History, from_s: float, to_s: float) -> bool:
    """Returns whether a fault keeps gateways from the newest version."""

    def excuses(fault: histories.InjectedFault) -> bool:
        if fault.kind in _NO_EXCUSE:
            return False
        is_pause = fault.kind in ("pause", "reset_ports")
        return not (is_pause and fault.subject.startswith("gateway"))

    return not history.is_fault_free(
        from_s, to_s, with_planned=True, excuses=excuses
    )
