from __future__ import annotations

import collections

import hypothesis
from hypothesis import strategies

from cactusstile.routing import candidates
from cactusstile.routing import rendezvous

MEMBERS = [
    rendezvous.Member(f"t{number}", f"dc{number % 4}") for number in range(9)
]
KEYS = [number.to_bytes(16, "little") for number in range(2000)]


@hypothesis.given(strategies.binary(min_size=1), strategies.data())
def test_rank_keeps_order_of_remaining_members_when_one_leaves(
    key: bytes, data: strategies.DataObject
) -> None:
    removed = data.draw(strategies.sampled_from(MEMBERS))
    remaining = [member for member in MEMBERS if member is not removed]
    expected = [m for m in rendezvous.rank(key, MEMBERS) if m is not removed]
    assert rendezvous.rank(key, remaining) == expected


def test_rank_distributes_keys_by_weight() -> None:
    members = [rendezvous.Member("a", weight=3), rendezvous.Member("b")]
    first_counts = collections.Counter(
        rendezvous.rank(key, members)[0].name for key in KEYS
    )
    assert 0.70 < first_counts["a"] / len(KEYS) < 0.80


@hypothesis.given(
    strategies.binary(min_size=1),
    strategies.dictionaries(
        strategies.sampled_from([m.name for m in MEMBERS]),
        strategies.integers(0, 90),
    ),
    strategies.integers(1, 4),
    strategies.sampled_from(["", "dc0", "dc3", "unknown"]),
)
def test_select_returns_distinct_members_below_the_load_bound(
    key: bytes, loads: dict[str, int], count: int, near: str
) -> None:
    homes = rendezvous.rank(key, MEMBERS)
    selected = candidates.select(homes, loads, count=count, near=near)
    assert len({member.name for member in selected}) == count
    bound = candidates.load_bound(MEMBERS, loads, candidates.LOAD_FACTOR)
    below_bound = [m for m in MEMBERS if loads.get(m.name, 0) < bound]
    selected_below_bound = [m for m in selected if loads.get(m.name, 0) < bound]
    assert len(selected_below_bound) == min(count, len(below_bound))


def test_select_bounds_load_of_a_single_hot_key() -> None:
    loads: collections.Counter[str] = collections.Counter()
    homes = rendezvous.rank(KEYS[0], MEMBERS)
    for placed in range(1, 901):
        best = candidates.select(homes, loads, count=1)
        loads[best[0].name] += 1
        mean = placed / len(MEMBERS)
        bound = max(candidates.MIN_LOAD_BOUND, candidates.LOAD_FACTOR * mean)
        assert max(loads.values()) <= bound + 1


def test_select_includes_member_in_the_data_centre_of_the_store() -> None:
    for key in KEYS[:50]:
        homes = rendezvous.rank(key, MEMBERS)
        selected = candidates.select(homes, {}, near="dc2")
        assert selected[0] == homes[0]
        assert any(member.data_centre == "dc2" for member in selected)
