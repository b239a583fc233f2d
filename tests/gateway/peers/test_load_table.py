from __future__ import annotations

import random

from cactusstile.gateway.peers import load_table

SENDERS = ("g1", "g2", "g3")
TARGETS = ("a", "b", "c", "d")
MAX_AGE_S = 0.9


def _draw_report(rng: random.Random) -> dict[str, load_table.Load]:
    return {
        target: load_table.Load(rng.randint(0, 2), rng.randint(0, 1) * 50, 0)
        for target in TARGETS
        if rng.random() < 0.7
    }


def test_totals_are_the_sums_of_the_last_reports() -> None:
    rng = random.Random(3)
    table = load_table.LoadTable()
    kept: dict[str, tuple[float, dict[str, load_table.Load]]] = {}
    for step in range(2000):
        now_s = step * 0.1
        sender = rng.choice(SENDERS)
        kept[sender] = (now_s, _draw_report(rng))
        table.replace(sender, kept[sender][1], now_s)
        if rng.random() < 0.3:
            oldest_s = now_s - MAX_AGE_S
            table.expire(oldest_s)
            kept = {key: one for key, one in kept.items() if one[0] >= oldest_s}
        expected: dict[str, load_table.Load] = {}
        for _, loads in kept.values():
            expected = load_table.add(expected, loads)
        for target in TARGETS:
            wanted = expected.get(target, load_table.NO_LOAD)
            found = table.totals.get(target, load_table.NO_LOAD)
            assert found == wanted, (step, target)
    assert set(table.totals) <= set(TARGETS)
