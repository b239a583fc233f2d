"""Builds the requests that targets receive from those of callers."""

from __future__ import annotations

import typing

import anyio
import attrs

from cactusstile.gateway import admission
from cactusstile.http import messages
from cactusstile.platform import headers

if typing.TYPE_CHECKING:
    from cactusstile.gateway import exchange

# Header fields of a caller's request that are replaced or removed.
_DROPPED_FIELDS = headers.SYSTEM_FIELDS | {b"content-length", b"expect"}


def build(
    admitted: admission.AdmittedRequest, dispatch: exchange.Dispatch
) -> messages.Request:
    """Returns the request in the form that the target receives."""
    request = admitted.request
    dropped = _DROPPED_FIELDS
    if dispatch.last_event_id is not None:
        dropped |= {headers.LAST_EVENT_ID}
    fields = messages.end_to_end(request.headers, dropped)
    deadline_s = min(admitted.caller_deadline_s, admitted.answer_deadline_s)
    remaining_ms = max(1, int((deadline_s - anyio.current_time()) * 1000))
    fields.append((headers.DEADLINE_MS, b"%d" % remaining_ms))
    fields.append((headers.EXPECTED_TARGET, dispatch.target.id.encode()))
    if dispatch.last_event_id is not None:
        last = b"%d" % dispatch.last_event_id
        fields.append((headers.LAST_EVENT_ID, last))
    if admitted.workspace is not None:
        fields.append((headers.WORKSPACE, admitted.workspace.name.encode()))
    if admitted.prompt.model:
        fields.append((headers.PRIORITY, b"%d" % admitted.engine_priority))
        fields.extend(_cache_fields(dispatch))
        fields.extend(_copy_fields(dispatch, admitted.id))
    return attrs.evolve(request, headers=tuple(fields))


def _cache_fields(dispatch: exchange.Dispatch) -> list[tuple[bytes, bytes]]:
    """Returns the header fields about an engine's KV cache."""
    fields = [(headers.CACHE_SALT, dispatch.salt.encode())]
    if dispatch.weights is not None:
        fields.append((headers.EXPECTED_WEIGHTS, b"%d" % dispatch.weights))
    plan = dispatch.transfers
    if any(plan.fetches):
        sources = [
            "-" if fetch is None else f"{fetch.address}/{fetch.tokens}"
            for fetch in plan.fetches
        ]
        fields.append((headers.KV_FETCH, ",".join(sources).encode()))
        if plan.until_ms is not None:
            until_ms = b"%d" % int(plan.until_ms)
            fields.append((headers.KV_FETCH_UNTIL, until_ms))
    if any(plan.saves):
        stores = ",".join(store or "-" for store in plan.saves)
        fields.append((headers.KV_SAVE, stores.encode()))
    return fields


def _copy_fields(
    dispatch: exchange.Dispatch, request_id: str
) -> list[tuple[bytes, bytes]]:
    """Returns the header fields about a run's copy."""
    fields = []
    if dispatch.copy_to is not None:
        fields.append((headers.KV_BACKUP, str(dispatch.copy_to).encode()))
    if dispatch.from_copy:
        copy = f"{dispatch.target.address}/{request_id}"
        fields.append((headers.KV_FROM, copy.encode()))
    return fields
