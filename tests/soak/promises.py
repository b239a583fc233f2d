"""Checks what was seen in a run against what the system promises."""

from __future__ import annotations

import collections
import collections.abc
import json

import attrs
from tests.soak import history as histories
from tests.soak import operators
from tests.soak import stand_ins

PROMISING = (408, 421, 429, 503)
REFUSED_KEY = 401
UNKNOWN = (401, 403, 404)
OK = 200
# Bounds of the deployments served; see `deploy/*.ini` and docs/PLATFORM.md.
APPLY_S = 2.0
STABLE_S = 3.0
GRACE_S = 8.0
DRAIN_S = 3.0
LIST_LAG_S = 0.8
CANCEL_S = 0.5
WEIGHTS_S = 6.0
LOSS_SLACK_S = 0.2
RETRY_RATIO = 0.2
RETRY_SLACK = 50
RETRY_WINDOW_S = 10.0
# Requests of callers who left that may still be worked on, before it counts.
FEW = 3
PERMANENT_KEYS = tuple(operators.WORKSPACES.values())


@attrs.frozen
class Broken:
    """A promise that was broken.

    Attributes:
      promise: Name of the check.
      text: What was seen.
    """

    promise: str
    text: str


def _runs(
    seen: histories.History,
) -> dict[str, list[histories.Arrival]]:
    found: dict[str, list[histories.Arrival]] = collections.defaultdict(list)
    for arrival in seen.arrivals:
        if arrival.ran:
            found[arrival.request_id].append(arrival)
    return found


def at_most_once(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """What may not be repeated runs once at most."""
    for request_id, runs in _runs(seen).items():
        call = seen.calls.get(request_id)
        if call is not None and not call.may_repeat and len(runs) > 1:
            yield f"{request_id} ran {len(runs)} times"


def truthful_refusals(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """A refusal that says "not run" is never followed by a run."""
    runs = _runs(seen)
    for call in seen.calls.values():
        if call.status not in PROMISING or call.may_repeat:
            continue
        if call.id in runs:
            yield f"{call.id} was answered {call.status} and ran"


def whole_answers(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """A success is one target's whole answer to this very request."""
    for call in seen.calls.values():
        if call.status != OK:
            continue
        if call.identity != call.id or not call.seal.endswith(f"/{call.id}"):
            yield f"{call.id} got the answer {call.identity} ({call.seal})"
        expected = _expected(call)
        if not expected.startswith(call.body):
            yield f"{call.id} got other bytes than the target sent"
        if call.whole and call.body != expected:
            yield f"{call.id} got {len(call.body)} bytes that look whole"


def _expected(call: histories.Call) -> bytes:
    if not call.tokens_out:
        return stand_ins.expected_body(call.id)
    events = [
        stand_ins.expected_event(call.id, number + 1)
        for number in range(call.tokens_out)
    ]
    return b"".join(events)


def unaltered_requests(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """Targets get what callers sent, for the workspace of the key."""
    for arrival in seen.arrivals:
        call = seen.calls.get(arrival.request_id)
        if call is None:
            yield f"{arrival.target} got {arrival.request_id!r}, never sent"
            continue
        same = (
            arrival.path == call.path + call.id
            and arrival.body == f"body of {call.id}".encode()
            and arrival.workspace == call.workspace
        )
        if not same:
            yield f"{call.id} arrived altered at {arrival.target}"
        if arrival.key:
            yield f"{call.id} arrived with its caller's key"


def newest_reads(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """No read shows less than what was acknowledged before it was sent."""
    sent = {one.version: one.document for one in seen.changes}
    for read in seen.reads:
        version = read.document["version"]
        newest = _acknowledged(seen, read.sent_s)
        if version < newest:
            yield f"{read.registry} gave {version} after {newest}"
        if sent.get(version) != read.document:
            yield f"{read.registry} gave other content under {version}"


def _acknowledged(seen: histories.History, before_s: float) -> int:
    """Returns the newest version that was acknowledged before a time."""
    newest = 0
    for change in seen.changes:
        if change.acknowledged_s is None or change.acknowledged_s > before_s:
            continue
        newest = max(newest, change.version)
    return newest


def kept_configuration(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """What was acknowledged can be read at the end."""
    if not seen.reads or seen.reads[-1].sent_s < seen.healed_s:
        yield "no configuration could be read after the last fault"


def answered_changes(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """Valid changes are not refused; invalid ones are not taken."""
    for change in seen.changes:
        if change.refused:
            yield f"version {change.version} was answered {change.refused}"
    for text in seen.invalid_accepted:
        yield f"an invalid configuration was acknowledged: {text[:80]}"


def proper_requests(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """What all versions allow is never called unknown."""
    for call in seen.calls.values():
        if call.status in UNKNOWN and call.key in PERMANENT_KEYS:
            yield f"{call.id} was answered {call.status} by {call.gateway}"


def configuration_in_force(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """In calm, requests are handled by no version older than the bound."""
    last = max((one.version for one in seen.changes), default=0)
    for arrival in seen.arrivals:
        call = seen.calls.get(arrival.request_id)
        if call is None or not arrival.ran:
            continue
        if not seen.is_calm(
            call.sent_s - STABLE_S, arrival.at_s, with_planned=True
        ):
            continue
        oldest = _acknowledged(seen, call.sent_s - APPLY_S)
        versions = range(oldest, last + 1)
        if call.path == "/moved/":
            allowed = {operators.moved_service(one) for one in versions}
            if arrival.service not in allowed:
                yield f"{call.id} ran at {arrival.service} after {oldest}"
        elif call.key not in PERMANENT_KEYS:
            known = {operators.passing_key(one) for one in versions}
            if call.key not in known:
                yield f"{call.id} ran with {call.key} after {oldest}"


def walled_cache(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """Cached parts are of the same weights, and not another's if isolated."""
    for arrival in seen.arrivals:
        for version, maker in arrival.reused:
            if version != arrival.weights:
                yield f"{arrival.request_id} used a part of weights {version}"
            isolated = "clinic" in (maker, arrival.workspace)
            if isolated and maker != arrival.workspace:
                yield f"{arrival.request_id} used a part that {maker} made"


def newest_weights(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """After the bound, in calm, nothing begins on older weights."""
    for arrival in seen.arrivals:
        if arrival.service != stand_ins.ENGINE or not arrival.ran:
            continue
        for named in seen.namings:
            calm = seen.is_calm(named.acknowledged_s - STABLE_S, arrival.at_s)
            late = arrival.at_s > named.acknowledged_s + WEIGHTS_S
            if late and calm and arrival.weights < named.version:
                yield f"{arrival.request_id} ran on {arrival.weights}"


def fenced_orders(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """A fence has one holder, and accepted fences never fall."""
    holders: dict[int, str] = {}
    highest: dict[str, int] = {}
    for order in seen.orders:
        holder = holders.setdefault(order.fence, order.holder)
        if holder != order.holder:
            yield f"fence {order.fence}: {holder} and {order.holder}"
        if order.accepted and order.fence < highest.get(order.target, 0):
            yield f"{order.target} accepted fence {order.fence} late"
        if order.accepted:
            highest[order.target] = order.fence


def cancelled_work(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """Work ends soon after its caller has left, but for a few."""
    runs = _runs(seen)
    left = []
    over = []
    for call in seen.calls.values():
        if call.gave_up_s is None:
            continue
        end_s = call.gave_up_s + CANCEL_S
        if not seen.is_calm(call.sent_s - STABLE_S, end_s):
            continue
        for arrival in runs.get(call.id, []):
            ended_s = arrival.ended_s
            left.append(call.id)
            if ended_s is None or ended_s > end_s:
                over.append(call.id)
    if len(over) > max(FEW, len(left) // 4):
        yield f"{len(over)} of {len(left)} ran on: {over[:5]}"


def bounded_repeats(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """Repeats to a service stay within the budget of all gateways."""
    for service in operators.SERVICES:
        firsts: dict[str, float] = {}
        repeats = []
        for one in seen.arrivals:
            if one.service != service:
                continue
            if one.request_id in firsts:
                repeats.append(one.at_s)
            firsts.setdefault(one.request_id, one.at_s)
        for begin_s in repeats:
            end_s = begin_s + RETRY_WINDOW_S
            count = sum(begin_s <= at_s < end_s for at_s in repeats)
            requests = sum(begin_s <= at_s < end_s for at_s in firsts.values())
            if count > RETRY_RATIO * requests + RETRY_SLACK:
                yield f"{count} repeats to {service} for {requests} requests"
                break


def answers_around_stops(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """Planned work alone costs no answer that a process has read."""
    runs = _runs(seen)
    for call in seen.calls.values():
        if call.whole or call.gave_up_s is not None or not call.failure:
            continue
        ended_s = call.ended_s or call.sent_s
        if not seen.is_calm(call.sent_s - STABLE_S, ended_s):
            continue
        found = runs.get(call.id, [])
        if any(one.broke_off for one in found):
            continue
        if found or ended_s - call.sent_s > LOSS_SLACK_S:
            yield f"{call.id} at {call.gateway}: {call.failure}"


def recovery(seen: histories.History) -> collections.abc.Iterator[str]:
    """Callers are served again soon after the last fault."""
    if seen.recovered_s is None:
        yield "callers were not served again in time"


def process_ends(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """No process ends by itself, and each stops within its grace."""
    for end in seen.ends:
        if not end.expected:
            yield f"{end.name} ended by itself with code {end.code}"
        if end.took_s > GRACE_S:
            yield f"{end.name} took {end.took_s:.1f} s to stop"


def readable_logs(
    seen: histories.History,
) -> collections.abc.Iterator[str]:
    """Every line is a JSON object, and none tells of a fault of ours."""
    full = {one.subject for one in seen.disturbances if one.kind == "full_disk"}
    for name, lines in seen.lines.items():
        for line in lines:
            try:
                read = json.loads(line)
            except ValueError:
                yield f"{name} wrote {line[:160]!r}"
                continue
            message = read.get("message", "")
            if message == "replica stopped" and name in full:
                continue
            if "fault of the program" in message or "exc_info" in read:
                yield f"{name}: {line[:400]}"
    for name, text in seen.errors.items():
        if "Traceback" in text:
            yield f"{name} ended with a traceback: {text[-400:]}"


CHECKS = (
    at_most_once,
    truthful_refusals,
    whole_answers,
    unaltered_requests,
    newest_reads,
    kept_configuration,
    answered_changes,
    proper_requests,
    configuration_in_force,
    walled_cache,
    newest_weights,
    fenced_orders,
    cancelled_work,
    bounded_repeats,
    answers_around_stops,
    recovery,
    process_ends,
    readable_logs,
)


def check(seen: histories.History) -> list[Broken]:
    """Returns all promises that were broken."""
    found = []
    for one in CHECKS:
        for text in one(seen):
            found.append(Broken(one.__name__, text))
    return found
