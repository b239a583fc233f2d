from __future__ import annotations

import collections

import hypothesis
from hypothesis import strategies

from cactusstile.routing import rendezvous
from cactusstile.routing import table

KEYS = [number.to_bytes(16, "little") for number in range(4000)]


def _members(count: int) -> list[rendezvous.Member]:
    return [rendezvous.Member(f"engine-{number}") for number in range(count)]


@hypothesis.given(strategies.binary(), strategies.integers(0, 200))
def test_first_returns_each_member_once(key: bytes, count: int) -> None:
    members = _members(count)
    homes = table.Table(members).first(key, count)
    assert sorted(home.name for home in homes) == sorted(
        member.name for member in members
    )
    assert table.Table(reversed(members)).first(key, count) == homes


def test_first_distributes_keys_evenly_over_many_members() -> None:
    ranking = table.Table(_members(100))
    keys_per_member = collections.Counter(
        ranking.first(key, 1)[0].name for key in KEYS
    )
    mean = len(KEYS) / 100
    assert len(keys_per_member) == 100
    assert max(keys_per_member.values()) < 2 * mean


def test_first_moves_few_keys_when_a_member_leaves() -> None:
    members = _members(100)
    before = table.Table(members)
    after = table.Table(members[1:])
    removed = members[0].name
    moved = [key for key in KEYS if before.first(key, 1) != after.first(key, 1)]
    removed_member_keys = [
        key for key in KEYS if before.first(key, 1)[0].name == removed
    ]
    assert set(removed_member_keys) <= set(moved)
    assert len(moved) <= 3 * len(KEYS) / 100


def test_first_distributes_keys_by_weight() -> None:
    ranking = table.Table(
        [rendezvous.Member("a", weight=3), rendezvous.Member("b")]
    )
    keys_per_member = collections.Counter(
        ranking.first(key, 1)[0].name for key in KEYS
    )
    assert 0.72 < keys_per_member["a"] / len(KEYS) < 0.78
