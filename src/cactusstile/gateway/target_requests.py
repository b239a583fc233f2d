"""Builds the requests that targets receive from those of callers."""

from __future__ import annotations

import anyio
import attrs

from cactusstile.gateway import admission
from cactusstile.gateway.engines import stored_parts
from cactusstile.http import messages
from cactusstile.platform import headers
from cactusstile.sites import model
from cactusstile.transport import address

# Header fields of a caller's request that are replaced or removed.
_DROPPED_FIELDS = headers.SYSTEM_FIELDS | {b"content-length", b"expect"}


@attrs.frozen
class Dispatch:
    """Target and parameters of one attempt.

    Attributes:
      target: The target.
      salt: Salt of the KV cache; empty without a model.
      weights: Version of the weights that the engine must have loaded; None if
        it is irrelevant or unknown.
      last_event_id: Id of the last event that the caller received; None if the
        stream is not resumed.
      transfers: Parts of the prompt that the engine fetches and saves.
      copy_to: Address of the engine that the run's KV cache is copied to while
        it grows; None if it is not copied.
      from_copy: Whether the run resumes from its copy at this engine.
      begin_by_s: Loop time by which the run must begin; infinite if it may
        begin at any time.
      is_return: Whether the request was sent to this address before. A late
        copy of that answer could be taken for the next one on a connection
        that carried it.
    """

    target: model.Target
    salt: str = ""
    weights: int | None = None
    last_event_id: int | None = None
    transfers: stored_parts.TransferPlan = stored_parts.NO_TRANSFERS
    copy_to: address.Address | None = None
    from_copy: bool = False
    begin_by_s: float = float("inf")
    is_return: bool = False


def build(
    admitted: admission.AdmittedRequest, dispatch: Dispatch
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


def _cache_fields(dispatch: Dispatch) -> list[tuple[bytes, bytes]]:
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
    dispatch: Dispatch, request_id: str
) -> list[tuple[bytes, bytes]]:
    """Returns the header fields about a run's copy."""
    fields = []
    if dispatch.copy_to is not None:
        fields.append((headers.KV_BACKUP, str(dispatch.copy_to).encode()))
    if dispatch.from_copy:
        copy = f"{dispatch.target.address}/{request_id}"
        fields.append((headers.KV_FROM, copy.encode()))
    return fields
