"""A set that gives random members at constant cost."""

from __future__ import annotations

import random
import typing

T = typing.TypeVar("T")


class Sampler(typing.Generic[T]):
    """Members in no order.

    >>> sampler = Sampler(random.Random(1))
    >>> sampler.add("a")
    >>> sampler.add("b")
    >>> sampler.discard("a")
    >>> sampler.sample(2)
    ['b', 'b']
    """

    def __init__(self, rng: random.Random) -> None:
        """Draws with `rng`."""
        self._random = rng
        self._members: list[T] = []
        self._places: dict[T, int] = {}

    def __len__(self) -> int:
        """Returns the number of members."""
        return len(self._members)

    def add(self, member: T) -> None:
        """Adds a member, unless it is one."""
        if member not in self._places:
            self._places[member] = len(self._members)
            self._members.append(member)

    def discard(self, member: T) -> None:
        """Removes a member, if it is one."""
        place = self._places.pop(member, None)
        if place is None:
            return
        last = self._members.pop()
        if last != member:
            self._members[place] = last
            self._places[last] = place

    def sample(self, count: int) -> list[T]:
        """Returns `count` members, some perhaps more than once."""
        return self._random.choices(self._members, k=count)
