"""Cost of ranking the members for a key, flat and in two levels.

Run: python -m benchmarks.homes_cost
"""

from __future__ import annotations

import json
import time

from cactusstile.routing import candidates
from cactusstile.routing import rendezvous
from cactusstile.routing import table

MEMBER_COUNTS = (9, 100, 1300, 7800)
RANKED_COUNT = 16
KEYS = [number.to_bytes(16, "little") for number in range(200)]


def _measure(count: int) -> dict[str, float]:
    members = [
        rendezvous.Member(f"engine-{number}", f"dc{number % 9}")
        for number in range(count)
    ]
    started = time.perf_counter()
    for key in KEYS[:20]:
        candidates.select(rendezvous.rank(key, members), {})
    flat_s = (time.perf_counter() - started) / 20
    started = time.perf_counter()
    member_table = table.Table(members)
    built_s = time.perf_counter() - started
    started = time.perf_counter()
    for key in KEYS:
        ranked_members = member_table.first(key, RANKED_COUNT)
        candidates.select(ranked_members, {})
    two_level_s = (time.perf_counter() - started) / len(KEYS)
    return {
        "members": count,
        "flat_us": flat_s * 1e6,
        "two_level_us": two_level_s * 1e6,
        "build_table_ms": built_s * 1e3,
    }


def main() -> None:
    """Prints one line for each number of members."""
    for count in MEMBER_COUNTS:
        print(json.dumps(_measure(count)))


if __name__ == "__main__":
    main()
