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
    """Returns a run without violations that has these calls."""
    history = histories.History()
    history.calls = {call.id: call for call in calls}
    history.arrivals = list(arrivals)
    history.changes = [make_change(1, 1.0)]
    history.reads = [histories.Read("r", 30.0, operators.document(1))]
    history.faults_ended_s = 20.0
    history.recovered_s = 21.0
    history.lines = {"gateway-1": ['{"message": "started"}']}
    return history


def test_run_without_faults_has_no_violation() -> None:
    history = make_history(make_call(), arrivals=(make_arrival(),))
    assert promises.check(history) == []


def _repeated_run(history: histories.History) -> None:
    history.arrivals.append(make_arrival(target="u"))


def _copy_runs_beside(history: histories.History) -> None:
    history.arrivals[0].ended_s = 10.9
    copy = make_arrival(
        target="u", from_copy=True, began_s=10.4, ended_s=11.5, at_s=10.4
    )
    history.arrivals.append(copy)


def _refused_and_ran_later(history: histories.History) -> None:
    history.calls["a"] = make_call(status=429, ended_s=10.0)
    history.arrivals[0].at_s = 15.0
    history.arrivals[0].ended_s = None


def _ended_by_hang_up(history: histories.History) -> None:
    end = histories.ProcessEnd("g", -1, 5.0, expected=True, signal=15)
    history.ends.append(end)


def _refused_but_ran(history: histories.History) -> None:
    history.calls["a"] = make_call(status=503)


def _foreign_answer(history: histories.History) -> None:
    history.calls["a"] = make_call(identity="b")


def _short_answer(history: histories.History) -> None:
    history.calls["a"] = make_call(body=stand_ins.expected_body("a")[:-1])


def _unknown_request(history: histories.History) -> None:
    history.arrivals.append(make_arrival("b"))


def _altered_workspace(history: histories.History) -> None:
    history.arrivals[0].workspace = "clinic"


def _forwarded_key(history: histories.History) -> None:
    history.arrivals[0].key = "secret"


def _stale_read(history: histories.History) -> None:
    history.changes.append(make_change(2, 5.0))


def _other_content(history: histories.History) -> None:
    changed = {**operators.document(1), "routes": []}
    history.reads.append(histories.Read("r", 31.0, changed))


def _lost_configuration(history: histories.History) -> None:
    history.reads.clear()


def _refused_change(history: histories.History) -> None:
    history.changes.append(histories.Change(9, {}, 1.0, refused=409))


def _accepted_invalid_change(history: histories.History) -> None:
    history.invalid_accepted.append("{}")


def _unknown_route(history: histories.History) -> None:
    history.calls["b"] = make_call("b", status=404, seal="", whole=True)


def _old_service(history: histories.History) -> None:
    history.calls["b"] = make_call("b", path="/moved/")
    history.arrivals.append(make_arrival("b", route="/moved/", service="other"))


def _old_key(history: histories.History) -> None:
    key = operators.temporary_key(operators.VERSIONS_PER_KEY)
    history.calls["b"] = make_call("b", path="/read/", key=key)
    history.arrivals.append(make_arrival("b", route="/read/"))


def _turn(version: int) -> str:
    return operators.turn_path(operators.newest_turn(version))


def _pause_of_a_gateway(history: histories.History) -> None:
    pause = histories.InjectedFault("pause", "gateway-1", 6.0, 10.0)
    history.injected_faults.append(pause)


def _refused_by_an_old_version(history: histories.History) -> None:
    _pause_of_a_gateway(history)
    history.changes.append(make_change(4, 7.9))
    history.reads.clear()
    history.reads.append(histories.Read("r", 30.0, operators.document(4)))
    history.calls["b"] = make_call("b", status=404, path=_turn(4))


def _refused_with_a_new_key(history: histories.History) -> None:
    history.calls["b"] = make_call(
        "b", status=401, path="/read/", key=operators.temporary_key(1)
    )


def _dropped_route(history: histories.History) -> None:
    _pause_of_a_gateway(history)
    path = operators.turn_path(operators.newest_turn(1) - operators.TURNS)
    history.calls["b"] = make_call("b", path=path)
    history.arrivals.append(make_arrival("b", route=path))


def _part_of_other_weights(history: histories.History) -> None:
    history.arrivals[0].reused = ((7, "bank"),)


def _part_of_isolated_workspace(history: histories.History) -> None:
    history.arrivals[0].reused = ((0, "clinic"),)


def _old_weights(history: histories.History) -> None:
    history.namings.append(histories.WeightsNaming(2, 1.0))
    history.arrivals[0].service = stand_ins.ENGINE
    history.arrivals[0].weights = 1


def _shared_fence(history: histories.History) -> None:
    history.orders = [
        histories.Order("e", "registry-1", 3, 1.0, True),
        histories.Order("e", "registry-2", 3, 2.0, True),
    ]


def _fallen_fence(history: histories.History) -> None:
    history.orders = [
        histories.Order("e", "registry-1", 3, 1.0, True),
        histories.Order("e", "registry-2", 2, 2.0, True),
    ]


def _runs_after_abandonment(history: histories.History) -> None:
    for number in range(8):
        name = f"left-{number}"
        history.calls[name] = make_call(name, status=0, abandoned_s=10.05)
        history.arrivals.append(make_arrival(name, ended_s=11.0))


def _too_many_repeats(history: histories.History) -> None:
    for number in range(80):
        name = f"again-{number}"
        history.calls[name] = make_call(name, path="/read/")
        for _ in range(2):
            history.arrivals.append(make_arrival(name, route="/read/"))


def _sent_on(history: histories.History) -> None:
    history.ended_by_request_s = [1.0, 2.0, 3.0]
    for number in range(4):
        call = make_call(
            f"r{number}", path="/read/", shared_content=histories.ENDS_TARGETS
        )
        history.calls[call.id] = call
        call.body = stand_ins.expected_body(call.id)
        call.seal = f"t/{call.id}"
        history.arrivals.append(
            make_arrival(
                call.id,
                at_s=6.5 + number,
                path="/read/" + histories.ENDS_TARGETS,
                body=f"body of {histories.ENDS_TARGETS}".encode(),
            )
        )


def _falsely_refused(history: histories.History) -> None:
    call = history.calls["a"]
    call.status, call.body = 503, b'{"error": {"code": "quarantined"}}'
    history.arrivals.clear()


def _beyond_limit(history: histories.History) -> None:
    history.limits.append(histories.NamedLimit("t", 1.0, 10.0))
    for number in range(13):
        name = f"more-{number}"
        history.calls[name] = make_call(name)
        at_s = 14.0 + number / 10
        history.arrivals.append(make_arrival(name, at_s=at_s, ended_s=at_s))


def _arrives_while_evacuated(history: histories.History) -> None:
    history.evacuations.append(histories.Evacuation("there", 6.0))
    history.arrivals[0].data_centre = "there"


def _interrupted_at_stop(history: histories.History) -> None:
    history.calls["a"] = make_call(status=0, failure="closed", whole=False)
    stop = histories.InjectedFault("terminate", "g", 9.0, 12.0, planned=True)
    history.injected_faults.append(stop)


def _stream_interrupted_at_stop(history: histories.History) -> None:
    _interrupted_at_stop(history)
    events = stand_ins.expected_event("a", 1)
    history.calls["a"] = make_call(
        tokens_out=3, body=events, failure="closed", whole=False
    )


def _not_served(history: histories.History) -> None:
    history.recovered_s = None


def _unexpected_exit(history: histories.History) -> None:
    history.ends.append(histories.ProcessEnd("g", 1, 5.0, expected=False))


def _slow_stop(history: histories.History) -> None:
    history.ends.append(histories.ProcessEnd("g", -9, 5.0, True, took_s=9.0))


def _non_json_line(history: histories.History) -> None:
    history.lines["gateway-1"].append("Exception ignored")


def _internal_error(history: histories.History) -> None:
    line = {"message": "a request failed by a fault of the program"}
    history.lines["gateway-1"].append(json.dumps(line))


def _traceback(history: histories.History) -> None:
    history.errors["gateway-1"] = "Traceback (most recent call last):"


@pytest.mark.parametrize(
    ("spoil", "promise"),
    [
        (_repeated_run, "at_most_once"),
        (_copy_runs_beside, "at_most_once"),
        (_refused_but_ran, "truthful_refusals"),
        (_refused_and_ran_later, "truthful_refusals"),
        (_foreign_answer, "whole_answers"),
        (_short_answer, "whole_answers"),
        (_unknown_request, "unaltered_requests"),
        (_altered_workspace, "unaltered_requests"),
        (_forwarded_key, "unaltered_requests"),
        (_stale_read, "newest_reads"),
        (_other_content, "newest_reads"),
        (_lost_configuration, "kept_configuration"),
        (_refused_change, "answered_changes"),
        (_accepted_invalid_change, "answered_changes"),
        (_unknown_route, "proper_requests"),
        (_old_service, "configuration_in_force"),
        (_old_key, "configuration_in_force"),
        (_dropped_route, "configuration_in_force"),
        (_refused_by_an_old_version, "newest_refusals"),
        (_refused_with_a_new_key, "newest_refusals"),
        (_part_of_other_weights, "walled_cache"),
        (_part_of_isolated_workspace, "walled_cache"),
        (_old_weights, "newest_weights"),
        (_shared_fence, "fenced_orders"),
        (_fallen_fence, "fenced_orders"),
        (_runs_after_abandonment, "cancelled_work"),
        (_too_many_repeats, "bounded_repeats"),
        (_beyond_limit, "kept_limits"),
        (_arrives_while_evacuated, "kept_evacuations"),
        (_sent_on, "spared_targets"),
        (_falsely_refused, "sound_requests_served"),
        (_interrupted_at_stop, "answers_around_stops"),
        (_stream_interrupted_at_stop, "answers_around_stops"),
        (_not_served, "recovery"),
        (_unexpected_exit, "process_ends"),
        (_slow_stop, "process_ends"),
        (_ended_by_hang_up, "process_ends"),
        (_non_json_line, "readable_logs"),
        (_internal_error, "readable_logs"),
        (_traceback, "readable_logs"),
    ],
)
def test_violated_promise_is_found(
    spoil: collections.abc.Callable[[histories.History], None], promise: str
) -> None:
    history = make_history(make_call(), arrivals=(make_arrival(),))
    spoil(history)
    assert {violation.promise for violation in promises.check(history)} == {
        promise
    }


def test_fault_excuses_a_lost_answer_but_not_a_repeated_run() -> None:
    history = make_history(
        make_call(status=0, failure="reset", whole=False),
        arrivals=(make_arrival(),),
    )
    history.injected_faults.append(
        histories.InjectedFault("reset", "g", 9.0, 9.0)
    )
    assert promises.check(history) == []
    history.arrivals.append(make_arrival(target="u"))
    assert [violation.promise for violation in promises.check(history)] == [
        "at_most_once"
    ]


@pytest.mark.parametrize(("took_s", "count"), [(3.9, 1), (4.0, 0)])
def test_stream_that_its_route_ended_counts_as_cut_off_by_a_stop(
    took_s: float, count: int
) -> None:
    history = make_history(make_call(), arrivals=(make_arrival(),))
    _stream_interrupted_at_stop(history)
    history.calls["a"].ended_s = 10.0 + took_s
    assert len(promises.check(history)) == count


def test_run_may_go_on_from_its_copy_once_it_has_stopped() -> None:
    first = make_arrival(began_s=10.01, ended_s=10.5)
    copy = make_arrival(
        target="u", from_copy=True, at_s=10.3, began_s=10.3, ended_s=11.0
    )
    history = make_history(make_call(), arrivals=(first, copy))
    assert promises.check(history) == []
