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


def test_first_spreads_keys_over_many_members() -> None:
    arranged = table.Table(_members(100))
    held = collections.Counter(arranged.first(key, 1)[0].name for key in KEYS)
    mean = len(KEYS) / 100
    assert len(held) == 100
    assert max(held.values()) < 2 * mean


def test_first_moves_few_keys_when_member_leaves() -> None:
    members = _members(100)
    before = table.Table(members)
    after = table.Table(members[1:])
    gone = members[0].name
    moved = [key for key in KEYS if before.first(key, 1) != after.first(key, 1)]
    held = [key for key in KEYS if before.first(key, 1)[0].name == gone]
    assert set(held) <= set(moved)
    assert len(moved) <= 3 * len(KEYS) / 100


def test_first_follows_weights() -> None:
    arranged = table.Table(
        [rendezvous.Member("a", weight=3), rendezvous.Member("b")]
    )
    held = collections.Counter(arranged.first(key, 1)[0].name for key in KEYS)
    assert 0.72 < held["a"] / len(KEYS) < 0.78
