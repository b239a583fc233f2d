"""A set that supports random sampling in constant time."""

from __future__ import annotations

import random
import typing

T = typing.TypeVar("T")


class Sampler(typing.Generic[T]):
    """Unordered set with random sampling.

    >>> sampler = Sampler(random.Random(1))
    >>> sampler.add("a")
    >>> sampler.add("b")
    >>> sampler.discard("a")
    >>> sampler.sample(2)
    ['b', 'b']
    """

    def __init__(self, rng: random.Random) -> None:
        """Starts empty; samples with `rng`."""
        self._random = rng
        self._members: list[T] = []
        self._indexes: dict[T, int] = {}

    def __len__(self) -> int:
        """Returns the number of members."""
        return len(self._members)

    def add(self, member: T) -> None:
        """Adds a member if it is absent."""
        if member not in self._indexes:
            self._indexes[member] = len(self._members)
            self._members.append(member)

    def discard(self, member: T) -> None:
        """Removes a member if it is present."""
        index = self._indexes.pop(member, None)
        if index is None:
            return
        last = self._members.pop()
        if last != member:
            self._members[index] = last
            self._indexes[last] = index

    def sample(self, count: int) -> list[T]:
        """Returns `count` random members, drawn with replacement."""
        return self._random.choices(self._members, k=count)
