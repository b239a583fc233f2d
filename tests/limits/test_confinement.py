from __future__ import annotations

from cactusstile.limits import confinement


def test_workspace_is_confined_while_it_storms_on_busy_targets() -> None:
    now_s = 0.0
    confining = confinement.Confinement(lambda: now_s)
    for workspace in ("a", "b", "c"):
        confining.use.record(workspace, 1000)
    confining.use.record("storm", 10_000)
    assert not confining.is_confined("storm", "chat")
    for _ in range(100):
        confining.observe_waits("chat", [2000.0, 500.0])
    assert confining.is_confined("storm", "chat")
    assert not confining.is_confined("storm", "other")
    assert not confining.is_confined("a", "chat")
    # Callers that wait for a third of the targets request a third of the work.
    now_s = 20.0
    for workspace in ("a", "b", "c"):
        confining.use.record(workspace, 1000)
    confining.use.record("storm", 3000)
    assert confining.is_confined("storm", "chat")
    now_s = 60.0
    for workspace in ("a", "b", "c", "storm"):
        confining.use.record(workspace, 1000)
    assert not confining.is_confined("storm", "chat")
    assert not confining.confined


def test_storm_factor_of_zero_disables_confinement() -> None:
    confining = confinement.Confinement(lambda: 0.0, storm_factor=0.0)
    confining.use.record("a", 1)
    confining.use.record("storm", 10_000)
    for _ in range(100):
        confining.observe_waits("chat", [2000.0])
    assert not confining.is_confined("storm", "chat")
