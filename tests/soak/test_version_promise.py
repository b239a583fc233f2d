from __future__ import annotations

import pytest
from tests.soak import history as histories
from tests.soak import operators
from tests.soak import plans
from tests.soak import promises
from tests.soak import test_promises


@pytest.mark.parametrize(
    ("subject", "acknowledged_s"), [("registry-1", 7.9), ("gateway-1", 8.1)]
)
def test_run_by_an_old_version_is_excused_without_control_or_for_two_seconds(
    subject: str, acknowledged_s: float
) -> None:
    history = test_promises.make_history(
        test_promises.make_call(), arrivals=(test_promises.make_arrival(),)
    )
    history.injected_faults.append(
        histories.InjectedFault("pause", subject, 6.0, 10.0)
    )
    path = operators.turn_path(operators.newest_turn(1) - operators.TURNS + 1)
    history.calls["b"] = test_promises.make_call("b", path=path)
    history.arrivals.append(test_promises.make_arrival("b", route=path))
    history.changes.append(test_promises.make_change(4, acknowledged_s))
    history.reads = [histories.Read("r", 30.0, operators.document(4))]
    assert promises.check(history) == []


def test_some_seeds_only_pause_gateways() -> None:
    for seed in range(1, 100):
        plan = plans.draw_plan(seed, ("r-1",), ("g-1", "g-2"), 10.0)
        others = [fault for fault in plan if fault.kind not in plans.ALWAYS]
        alone = all(fault.kind == "pause" for fault in others)
        assert alone == plans.has_pauses_alone(seed)
        if alone:
            assert {fault.subject for fault in others} <= {"g-1", "g-2"}
            assert len(others) >= 2
