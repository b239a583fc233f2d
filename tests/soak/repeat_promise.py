"""Checks what becomes of requests that callers repeat."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import collections.abc

from tests.soak import history as histories

STABLE_S = 3.0
# Targets that may end under a request before it must be known, and arrivals
# after that.
FORGIVEN_ENDS = 3
FORGIVEN_ARRIVALS = 3
REFUSED_TEXT = b'"quarantined"'


def spared_targets(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """A request under which targets ended is not sent on, without faults."""
    ended_s = history.ended_by_request_s
    if len(ended_s) < FORGIVEN_ENDS:
        return
    known_s = ended_s[FORGIVEN_ENDS - 1] + STABLE_S
    count = 0
    for arrival in history.arrivals:
        if not arrival.path.endswith(histories.ENDS_TARGETS):
            continue
        count += arrival.at_s > known_s and history.is_fault_free(
            arrival.at_s - STABLE_S,
            arrival.at_s,
            but_for=histories.ENDED_BY_REQUEST,
        )
    if count > FORGIVEN_ARRIVALS:
        yield f"sent {count} times more; {len(ended_s)} targets ended in all"


def sound_requests_served(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """No request but the one that ends targets is held responsible."""
    for call in history.calls.values():
        if call.shared_content == histories.ENDS_TARGETS:
            continue
        if REFUSED_TEXT in call.body:
            yield f"{call.id} ({call.content}) was refused for ends of targets"
