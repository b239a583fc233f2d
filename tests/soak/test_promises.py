from __future__ import annotations

import collections.abc
import json

import pytest
from tests.soak import history as histories
from tests.soak import operators
from tests.soak import promises
from tests.soak import stand_ins


def make_call(request_id: str = "a", **changes: object) -> histories.Call:
    fields: dict[str, object] = {
        "id": request_id,
        "gateway": "gateway-1",
        "path": "/write/",
        "workspace": "bank",
        "key": operators.WORKSPACES["bank"],
        "sent_s": 10.0,
        "ended_s": 10.1,
        "status": 200,
        "identity": request_id,
        "seal": f"t/{request_id}",
        "body": stand_ins.expected_body(request_id),
        "whole": True,
    }
    return histories.Call(**{**fields, **changes})  # type: ignore[arg-type]


def make_arrival(request_id: str = "a", **changes: object) -> histories.Arrival:
    path = changes.pop("route", "/write/")
    fields: dict[str, object] = {
        "request_id": request_id,
        "target": "t",
        "service": "plain",
        "at_s": 10.01,
        "ran": True,
        "ended_s": 10.05,
        "workspace": "bank",
        "path": f"{path}{request_id}",
        "body": f"body of {request_id}".encode(),
    }
    return histories.Arrival(**{**fields, **changes})  # type: ignore[arg-type]


def make_change(version: int, acknowledged_s: float) -> histories.Change:
    return histories.Change(
        version, operators.document(version), 0.0, acknowledged_s
    )


def make_history(
    *calls: histories.Call, arrivals: tuple[histories.Arrival, ...] = ()
) -> histories.History:
    """Returns a run in which all went well, with these calls."""
    seen = histories.History()
    seen.calls = {one.id: one for one in calls}
    seen.arrivals = list(arrivals)
    seen.changes = [make_change(1, 1.0)]
    seen.reads = [histories.Read("r", 30.0, operators.document(1))]
    seen.healed_s = 20.0
    seen.recovered_s = 21.0
    seen.lines = {"gateway-1": ['{"message": "started"}']}
    return seen


def test_run_without_faults_breaks_nothing() -> None:
    seen = make_history(make_call(), arrivals=(make_arrival(),))
    assert promises.check(seen) == []


def _twice(seen: histories.History) -> None:
    seen.arrivals.append(make_arrival(target="u"))


def _refused_but_ran(seen: histories.History) -> None:
    seen.calls["a"] = make_call(status=503)


def _foreign_answer(seen: histories.History) -> None:
    seen.calls["a"] = make_call(identity="b")


def _short_answer(seen: histories.History) -> None:
    seen.calls["a"] = make_call(body=stand_ins.expected_body("a")[:-1])


def _never_sent(seen: histories.History) -> None:
    seen.arrivals.append(make_arrival("b"))


def _altered(seen: histories.History) -> None:
    seen.arrivals[0].workspace = "clinic"


def _with_key(seen: histories.History) -> None:
    seen.arrivals[0].key = "secret"


def _old_read(seen: histories.History) -> None:
    seen.changes.append(make_change(2, 5.0))


def _other_content(seen: histories.History) -> None:
    changed = {**operators.document(1), "routes": []}
    seen.reads.append(histories.Read("r", 31.0, changed))


def _lost_configuration(seen: histories.History) -> None:
    seen.reads.clear()


def _refused_change(seen: histories.History) -> None:
    seen.changes.append(histories.Change(9, {}, 1.0, refused=409))


def _invalid_taken(seen: histories.History) -> None:
    seen.invalid_accepted.append("{}")


def _unknown_route(seen: histories.History) -> None:
    seen.calls["b"] = make_call("b", status=404, seal="", whole=True)


def _old_service(seen: histories.History) -> None:
    seen.calls["b"] = make_call("b", path="/moved/")
    seen.arrivals.append(make_arrival("b", route="/moved/", service="other"))


def _old_key(seen: histories.History) -> None:
    key = operators.passing_key(operators.KEY_STEPS)
    seen.calls["b"] = make_call("b", path="/read/", key=key)
    seen.arrivals.append(make_arrival("b", route="/read/"))


def _stale_part(seen: histories.History) -> None:
    seen.arrivals[0].reused = ((7, "bank"),)


def _foreign_part(seen: histories.History) -> None:
    seen.arrivals[0].reused = ((0, "clinic"),)


def _old_weights(seen: histories.History) -> None:
    seen.namings.append(histories.Naming(2, 1.0))
    seen.arrivals[0].service = stand_ins.ENGINE
    seen.arrivals[0].weights = 1


def _shared_fence(seen: histories.History) -> None:
    seen.orders = [
        histories.Order("e", "registry-1", 3, 1.0, True),
        histories.Order("e", "registry-2", 3, 2.0, True),
    ]


def _fallen_fence(seen: histories.History) -> None:
    seen.orders = [
        histories.Order("e", "registry-1", 3, 1.0, True),
        histories.Order("e", "registry-2", 2, 2.0, True),
    ]


def _runs_on(seen: histories.History) -> None:
    for number in range(8):
        name = f"left-{number}"
        seen.calls[name] = make_call(name, status=0, gave_up_s=10.05)
        seen.arrivals.append(make_arrival(name, ended_s=11.0))


def _too_many_repeats(seen: histories.History) -> None:
    for number in range(80):
        name = f"again-{number}"
        seen.calls[name] = make_call(name, path="/read/")
        for _ in range(2):
            seen.arrivals.append(make_arrival(name, route="/read/"))


def _cut_at_stop(seen: histories.History) -> None:
    seen.calls["a"] = make_call(status=0, failure="closed", whole=False)
    stop = histories.Disturbance("terminate", "g", 9.0, 12.0, planned=True)
    seen.disturbances.append(stop)


def _stream_cut_at_stop(seen: histories.History) -> None:
    _cut_at_stop(seen)
    events = stand_ins.expected_event("a", 1)
    seen.calls["a"] = make_call(
        tokens_out=3, body=events, failure="closed", whole=False
    )


def _not_served(seen: histories.History) -> None:
    seen.recovered_s = None


def _own_end(seen: histories.History) -> None:
    seen.ends.append(histories.ProcessEnd("g", 1, 5.0, expected=False))


def _slow_stop(seen: histories.History) -> None:
    seen.ends.append(histories.ProcessEnd("g", -9, 5.0, True, took_s=9.0))


def _torn_line(seen: histories.History) -> None:
    seen.lines["gateway-1"].append("Exception ignored")


def _program_fault(seen: histories.History) -> None:
    line = {"message": "a request failed by a fault of the program"}
    seen.lines["gateway-1"].append(json.dumps(line))


def _traceback(seen: histories.History) -> None:
    seen.errors["gateway-1"] = "Traceback (most recent call last):"


@pytest.mark.parametrize(
    ("spoil", "promise"),
    [
        (_twice, "at_most_once"),
        (_refused_but_ran, "truthful_refusals"),
        (_foreign_answer, "whole_answers"),
        (_short_answer, "whole_answers"),
        (_never_sent, "unaltered_requests"),
        (_altered, "unaltered_requests"),
        (_with_key, "unaltered_requests"),
        (_old_read, "newest_reads"),
        (_other_content, "newest_reads"),
        (_lost_configuration, "kept_configuration"),
        (_refused_change, "answered_changes"),
        (_invalid_taken, "answered_changes"),
        (_unknown_route, "proper_requests"),
        (_old_service, "configuration_in_force"),
        (_old_key, "configuration_in_force"),
        (_stale_part, "walled_cache"),
        (_foreign_part, "walled_cache"),
        (_old_weights, "newest_weights"),
        (_shared_fence, "fenced_orders"),
        (_fallen_fence, "fenced_orders"),
        (_runs_on, "cancelled_work"),
        (_too_many_repeats, "bounded_repeats"),
        (_cut_at_stop, "answers_around_stops"),
        (_stream_cut_at_stop, "answers_around_stops"),
        (_not_served, "recovery"),
        (_own_end, "process_ends"),
        (_slow_stop, "process_ends"),
        (_torn_line, "readable_logs"),
        (_program_fault, "readable_logs"),
        (_traceback, "readable_logs"),
    ],
)
def test_broken_promise_is_found(
    spoil: collections.abc.Callable[[histories.History], None], promise: str
) -> None:
    seen = make_history(make_call(), arrivals=(make_arrival(),))
    spoil(seen)
    assert {one.promise for one in promises.check(seen)} == {promise}


def test_fault_excuses_only_what_it_may() -> None:
    seen = make_history(
        make_call(status=0, failure="reset", whole=False),
        arrivals=(make_arrival(),),
    )
    seen.disturbances.append(histories.Disturbance("reset", "g", 9.0, 9.0))
    assert promises.check(seen) == []
    seen.arrivals.append(make_arrival(target="u"))
    assert [one.promise for one in promises.check(seen)] == ["at_most_once"]
