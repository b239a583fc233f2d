from __future__ import annotations

from cactusstile.limits import confinement


def test_storm_is_confined_while_targets_are_busy_until_it_calms() -> None:
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
    # Callers who wait for a third of the targets ask for a third.
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


def test_factor_of_zero_confines_nobody() -> None:
    confining = confinement.Confinement(lambda: 0.0, storm_factor=0.0)
    confining.use.record("a", 1)
    confining.use.record("storm", 10_000)
    for _ in range(100):
        confining.observe_waits("chat", [2000.0])
    assert not confining.is_confined("storm", "chat")
