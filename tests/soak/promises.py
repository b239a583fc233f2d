"""Checks the records of a run against the guarantees of the system."""

from __future__ import annotations

import collections.abc
import json
import signal

import attrs
from tests.soak import evacuation_promise
from tests.soak import history as histories
from tests.soak import limit_promise
from tests.soak import once_promise
from tests.soak import operators
from tests.soak import repeat_promise
from tests.soak import stand_ins
from tests.soak import version_promise

NOT_RUN_STATUSES = (408, 421, 429, 503)
REFUSED_KEY_STATUS = 401
UNKNOWN_STATUSES = (401, 403, 404)
OK = 200
# Bounds of the checked deployments; see `deploy/*.ini` and docs/PLATFORM.md.
STABLE_S = 3.0
GRACE_PERIOD_S = 8.0
CANCEL_TIMEOUT_S = 0.5
WEIGHTS_APPLY_S = 6.0
LOSS_SLACK_S = 0.2
RETRY_RATIO = 0.2
RETRY_SLACK = 50
RETRY_WINDOW_S = 10.0
# Number of abandoned requests that may run on before they are a violation.
MAX_LATE_CANCELS = 3


@attrs.frozen
class Violation:
    """A violated promise.

    Attributes:
      promise: Name of the check.
      text: What was seen.
    """

    promise: str
    text: str


def truthful_refusals(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """A request that was refused as not run never runs."""
    runs = history.runs_by_request()
    for call in history.calls.values():
        if call.status not in NOT_RUN_STATUSES or call.is_repeatable:
            continue
        if call.id in runs:
            yield f"{call.id} was answered {call.status} and ran"


def whole_answers(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """A success is the unaltered answer of one target to the same request."""
    for call in history.calls.values():
        if call.status != OK:
            continue
        if call.identity != call.id or not call.seal.endswith(f"/{call.id}"):
            yield f"{call.id} got the answer {call.identity} ({call.seal})"
        expected = _expected_body(call)
        if not expected.startswith(call.body):
            yield f"{call.id} got other bytes than the target sent"
        if call.whole and call.body != expected:
            yield f"{call.id} got {len(call.body)} bytes that look whole"


def _expected_body(call: histories.Call) -> bytes:
    if not call.tokens_out:
        return stand_ins.expected_body(call.id)
    events = [
        stand_ins.expected_event(call.id, number + 1)
        for number in range(call.tokens_out)
    ]
    return b"".join(events)


def unaltered_requests(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """Requests reach targets unaltered, with the workspace of their key."""
    for arrival in history.arrivals:
        call = history.calls.get(arrival.request_id)
        if call is None:
            yield f"{arrival.target} got {arrival.request_id!r}, never sent"
            continue
        same = (
            arrival.path == call.path + call.content
            and arrival.body == f"body of {call.content}".encode()
            and arrival.workspace == call.workspace
        )
        if not same:
            yield f"{call.id} arrived altered at {arrival.target}"
        if arrival.key:
            yield f"{call.id} arrived with its caller's key"


def newest_reads(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """No read returns a version older than one acknowledged before it."""
    sent = {change.version: change.document for change in history.changes}
    for read in history.reads:
        version = read.document["version"]
        newest = version_promise.newest_acknowledged(history, read.sent_s)
        if version < newest:
            yield f"{read.registry} gave {version} after {newest}"
        if sent.get(version) != read.document:
            yield f"{read.registry} gave other content under {version}"


def kept_configuration(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """A configuration can be read after the last fault."""
    if not history.reads or history.reads[-1].sent_s < history.faults_ended_s:
        yield "no configuration could be read after the last fault"


def answered_changes(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """Valid changes are not refused; invalid ones are not accepted."""
    for change in history.changes:
        if change.refused:
            yield f"version {change.version} was answered {change.refused}"
    for text in history.invalid_accepted:
        yield f"an invalid configuration was acknowledged: {text[:80]}"


def proper_requests(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """Routes and keys of all versions are never refused as unknown."""
    for call in history.calls.values():
        if call.status not in UNKNOWN_STATUSES:
            continue
        if operators.is_permanent(call.path, call.key):
            yield f"{call.id} was answered {call.status} by {call.gateway}"


def walled_cache(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """Reused parts match the weights and stay in an isolated workspace."""
    for arrival in history.arrivals:
        for version, maker in arrival.reused:
            if version != arrival.weights:
                yield f"{arrival.request_id} used a part of weights {version}"
            isolated = "clinic" in (maker, arrival.workspace)
            if isolated and maker != arrival.workspace:
                yield f"{arrival.request_id} used a part that {maker} made"


def newest_weights(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """Without faults, no request runs on older weights after the bound."""
    for arrival in history.arrivals:
        if arrival.service != stand_ins.ENGINE or not arrival.ran:
            continue
        for naming in history.namings:
            fault_free = history.is_fault_free(
                naming.acknowledged_s - STABLE_S, arrival.at_s
            )
            late = arrival.at_s > naming.acknowledged_s + WEIGHTS_APPLY_S
            if late and fault_free and arrival.weights < naming.version:
                yield f"{arrival.request_id} ran on {arrival.weights}"


def fenced_orders(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """A fence has one holder; fences accepted by an engine never decrease."""
    holders: dict[int, str] = {}
    highest: dict[str, int] = {}
    for order in history.orders:
        holder = holders.setdefault(order.fence, order.holder)
        if holder != order.holder:
            yield f"fence {order.fence}: {holder} and {order.holder}"
        if order.accepted and order.fence < highest.get(order.target, 0):
            yield f"{order.target} accepted fence {order.fence} late"
        if order.accepted:
            highest[order.target] = order.fence


def cancelled_work(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """Runs end soon after callers abandon them, with few exceptions."""
    runs = history.runs_by_request()
    abandoned = []
    late = []
    for call in history.calls.values():
        if call.abandoned_s is None:
            continue
        end_s = call.abandoned_s + CANCEL_TIMEOUT_S
        if not history.is_fault_free(call.sent_s - STABLE_S, end_s):
            continue
        for arrival in runs.get(call.id, []):
            ended_s = arrival.ended_s
            abandoned.append(call.id)
            if ended_s is None or ended_s > end_s:
                late.append(call.id)
    if len(late) > max(MAX_LATE_CANCELS, len(abandoned) // 4):
        yield f"{len(late)} of {len(abandoned)} ran on: {late[:5]}"


def bounded_repeats(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """Retries to a service stay within the budget of all gateways."""
    for service in operators.SERVICES:
        firsts: dict[str, float] = {}
        repeats = []
        for arrival in history.arrivals:
            if arrival.service != service:
                continue
            if arrival.request_id in firsts:
                repeats.append(arrival.at_s)
            firsts.setdefault(arrival.request_id, arrival.at_s)
        for begin_s in repeats:
            end_s = begin_s + RETRY_WINDOW_S
            count = sum(begin_s <= at_s < end_s for at_s in repeats)
            requests = sum(begin_s <= at_s < end_s for at_s in firsts.values())
            if count > RETRY_RATIO * requests + RETRY_SLACK:
                yield f"{count} repeats to {service} for {requests} requests"
                break


def answers_around_stops(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """Planned operations interrupt no request that a process has read.

    A request that has reached the timeout of its route is ended by that.
    """
    runs = history.runs_by_request()
    for call in history.calls.values():
        if call.whole or call.abandoned_s is not None or not call.failure:
            continue
        ended_s = call.ended_s or call.sent_s
        if not history.is_fault_free(call.sent_s - STABLE_S, ended_s):
            continue
        if ended_s - call.sent_s >= operators.ROUTE_TIMEOUT_S:
            continue
        call_runs = runs.get(call.id, [])
        if any(run.failed_by_target for run in call_runs):
            continue
        if call_runs or ended_s - call.sent_s > LOSS_SLACK_S:
            yield f"{call.id} at {call.gateway}: {call.failure}"


def recovery(history: histories.History) -> collections.abc.Iterator[str]:
    """Callers are served again soon after the last fault."""
    if history.recovered_s is None:
        yield "callers were not served again in time"


def process_ends(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """Processes exit only when signalled, within the grace period."""
    for end in history.ends:
        if not end.expected:
            yield f"{end.name} ended by itself with code {end.code}"
        # Of the signals that a process may get, these alone end it.
        if end.signal and end.code not in (0, -signal.SIGKILL, -end.signal):
            yield f"{end.name} ended with {end.code} on signal {end.signal}"
        if end.took_s > GRACE_PERIOD_S:
            yield f"{end.name} took {end.took_s:.1f} s to stop"


def readable_logs(
    history: histories.History,
) -> collections.abc.Iterator[str]:
    """All log lines are JSON objects without internal errors."""
    with_full_disk = {
        fault.subject
        for fault in history.injected_faults
        if fault.kind == "full_disk"
    }
    for name, lines in history.lines.items():
        for line in lines:
            try:
                record = json.loads(line)
            except ValueError:
                yield f"{name} wrote {line[:160]!r}"
                continue
            message = record.get("message", "")
            if message == "replica stopped" and name in with_full_disk:
                continue
            if "fault of the program" in message or "exc_info" in record:
                yield f"{name}: {line[:400]}"
    for name, text in history.errors.items():
        if "Traceback" in text:
            yield f"{name} ended with a traceback: {text[-400:]}"


CHECKS = (
    once_promise.at_most_once,
    truthful_refusals,
    whole_answers,
    unaltered_requests,
    newest_reads,
    kept_configuration,
    answered_changes,
    proper_requests,
    version_promise.configuration_in_force,
    version_promise.newest_refusals,
    walled_cache,
    newest_weights,
    fenced_orders,
    cancelled_work,
    bounded_repeats,
    limit_promise.kept_limits,
    evacuation_promise.kept_evacuations,
    repeat_promise.spared_targets,
    repeat_promise.sound_requests_served,
    answers_around_stops,
    recovery,
    process_ends,
    readable_logs,
)


def check(history: histories.History) -> list[Violation]:
    """Returns all violations of promises."""
    violations = []
    for promise in CHECKS:
        for text in promise(history):
            violations.append(Violation(promise.__name__, text))
    return violations
