"""Weighted rendezvous hashing over the live members.

The home targets of a key are the members that rank first for it. Processes
with the same members compute the same ranking without a shared index. When a
member leaves, only the keys for which it ranked first move; when a member
joins, only the keys for which it now ranks first move.
"""

from __future__ import annotations

import hashlib
import math
import typing

import attrs

if typing.TYPE_CHECKING:
    import collections.abc

_HASH_BITS = 64


@attrs.frozen
class Member:
    """A target that keys can be assigned to.

    Attributes:
      name: Name of the target.
      data_centre: Data centre of the target's VM.
      weight: Relative fraction of the keys; members at or below 0 receive
        none.
    """

    name: str
    data_centre: str = ""
    weight: float = 1.0


def rank(key: bytes, members: collections.abc.Iterable[Member]) -> list[Member]:
    """Returns the members ranked for `key`, the home target first.

    >>> members = [Member("a"), Member("b"), Member("c")]
    >>> first = rank(b"key", members)[0]
    >>> rank(b"key", reversed(members))[0] == first
    True
    """
    scored = [
        (_score(key, member), member.name, member)
        for member in members
        if member.weight > 0
    ]
    scored.sort(reverse=True)
    return [member for _, _, member in scored]


def _score(key: bytes, member: Member) -> float:
    digest = hashlib.blake2b(
        member.name.encode(), digest_size=_HASH_BITS // 8, key=key[:64]
    )
    number = int.from_bytes(digest.digest(), "little")
    uniform = (number + 0.5) / 2.0**_HASH_BITS
    return -member.weight / math.log(min(uniform, 1 - 2.0**-53))
