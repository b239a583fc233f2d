"""Two-level rendezvous hashing, for fleets of thousands of members.

Members are assigned to a fixed number of slots by the hash of their name. A
key ranks the slots first and then the members of the best slots, so the cost of
a ranking grows with the number of slots instead of the number of members. A
member that joins or leaves moves at most about twice the keys that it owns.
"""

from __future__ import annotations

import hashlib
import math
import typing

import attrs

from cactusstile.routing import rendezvous

if typing.TYPE_CHECKING:
    import collections.abc

SLOTS = 64
_MASK = (1 << 64) - 1
_MULTIPLIER = 0xBF58476D1CE4E5B9
_SECOND_MULTIPLIER = 0x94D049BB133111EB


@attrs.frozen
class _Slot:
    """Members of one slot.

    Attributes:
      seed: Hash of the slot number.
      weight: Sum of the members' weights.
      members: Pairs of the hash of a member's name and the member.
    """

    seed: int
    weight: float
    members: tuple[tuple[int, rendezvous.Member], ...]


class Table:
    """Ranking table over the members of one deployment."""

    def __init__(
        self, members: collections.abc.Iterable[rendezvous.Member]
    ) -> None:
        """Builds the table; members without weight receive no keys."""
        by_slot: dict[int, list[tuple[int, rendezvous.Member]]] = {}
        for member in members:
            if member.weight <= 0:
                continue
            seed = _hash(member.name.encode())
            by_slot.setdefault(seed % SLOTS, []).append((seed, member))
        self._slots = [
            _Slot(
                _hash(number.to_bytes(8, "little")),
                sum(member.weight for _, member in slot_members),
                tuple(slot_members),
            )
            for number, slot_members in sorted(by_slot.items())
        ]

    def first(self, key: bytes, count: int) -> list[rendezvous.Member]:
        """Returns the `count` highest-ranked members of `key`, at most all.

        >>> table = Table([rendezvous.Member("a"), rendezvous.Member("b")])
        >>> len(table.first(b"key", 3))
        2
        """
        seed = _hash(key)
        ranked = [
            (_score(seed ^ slot.seed, slot.weight), slot.seed, slot)
            for slot in self._slots
        ]
        ranked.sort(reverse=True)
        ranked_members: list[rendezvous.Member] = []
        for _, _, slot in ranked:
            if len(ranked_members) >= count:
                break
            ranked_members += _rank_members(seed, slot)
        return ranked_members[:count]


def _rank_members(seed: int, slot: _Slot) -> list[rendezvous.Member]:
    scored = [
        (_score(seed ^ member_seed, member.weight), member.name, member)
        for member_seed, member in slot.members
    ]
    scored.sort(reverse=True)
    return [member for _, _, member in scored]


def _hash(data: bytes) -> int:
    digest = hashlib.blake2b(data, digest_size=8).digest()
    return int.from_bytes(digest, "little")


def _score(seed: int, weight: float) -> float:
    mixed = ((seed ^ (seed >> 30)) * _MULTIPLIER) & _MASK
    mixed = ((mixed ^ (mixed >> 27)) * _SECOND_MULTIPLIER) & _MASK
    mixed ^= mixed >> 31
    return weight / -math.log((mixed + 1) / (_MASK + 2))
