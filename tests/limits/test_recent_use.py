from __future__ import annotations

from cactusstile.limits import recent_use


def test_storm_is_distinguished_from_a_large_workspace_and_decays() -> None:
    now_s = 0.0
    use = recent_use.RecentUse(lambda: now_s)
    use.record("storm", 100)
    assert not use.is_storming("storm")
    for number in range(9):
        use.record(f"w{number}", 100)
    use.record("large", 300)
    assert not use.is_storming("large")
    use.record("shared", 2000, share=10.0)
    assert not use.is_storming("shared")
    use.record("storm", 2000)
    assert use.is_storming("storm")
    assert not use.is_storming("w1")
    now_s = 20 * recent_use.HALF_LIFE_S
    assert not use.is_storming("storm")
