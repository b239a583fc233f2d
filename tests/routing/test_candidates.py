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
def test_rank_keeps_order_of_others_when_member_leaves(
    key: bytes, data: strategies.DataObject
) -> None:
    gone = data.draw(strategies.sampled_from(MEMBERS))
    rest = [member for member in MEMBERS if member is not gone]
    expected = [m for m in rendezvous.rank(key, MEMBERS) if m is not gone]
    assert rendezvous.rank(key, rest) == expected


def test_rank_follows_weights() -> None:
    members = [rendezvous.Member("a", weight=3), rendezvous.Member("b")]
    firsts = collections.Counter(
        rendezvous.rank(key, members)[0].name for key in KEYS
    )
    assert 0.70 < firsts["a"] / len(KEYS) < 0.80


@hypothesis.given(
    strategies.binary(min_size=1),
    strategies.dictionaries(
        strategies.sampled_from([m.name for m in MEMBERS]),
        strategies.integers(0, 90),
    ),
    strategies.integers(1, 4),
    strategies.sampled_from(["", "dc0", "dc3", "unknown"]),
)
def test_select_returns_different_members_under_the_bound(
    key: bytes, loads: dict[str, int], count: int, near: str
) -> None:
    homes = rendezvous.rank(key, MEMBERS)
    chosen = candidates.select(homes, loads, count=count, near=near)
    assert len({member.name for member in chosen}) == count
    bound = candidates.load_bound(MEMBERS, loads, candidates.LOAD_FACTOR)
    free = [m for m in MEMBERS if loads.get(m.name, 0) < bound]
    within = [m for m in chosen if loads.get(m.name, 0) < bound]
    assert len(within) == min(count, len(free))


def test_select_bounds_load_of_one_hot_key() -> None:
    loads: collections.Counter[str] = collections.Counter()
    homes = rendezvous.rank(KEYS[0], MEMBERS)
    for placed in range(1, 901):
        best = candidates.select(homes, loads, count=1)
        loads[best[0].name] += 1
        mean = placed / len(MEMBERS)
        bound = max(candidates.MIN_LOAD_BOUND, candidates.LOAD_FACTOR * mean)
        assert max(loads.values()) <= bound + 1


def test_select_includes_neighbour_of_the_store() -> None:
    for key in KEYS[:50]:
        homes = rendezvous.rank(key, MEMBERS)
        chosen = candidates.select(homes, {}, near="dc2")
        assert chosen[0] == homes[0]
        assert any(member.data_centre == "dc2" for member in chosen)
