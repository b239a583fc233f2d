"""Waiting requests in the order in which they get what they wait for."""

from __future__ import annotations

import bisect
import itertools
import typing

import anyio
import attrs

if typing.TYPE_CHECKING:
    import collections.abc

_T = typing.TypeVar("_T")

# Time between two tries of the first request. What it waits for may also become
# available at another gateway, which gives no signal here.
POLL_INTERVAL_S = 0.02


@attrs.define(order=True, eq=True)
class _Waiter:
    """A waiting request.

    Attributes:
      rank: The lowest rank comes first.
      number: Order of arrival within a rank.
      is_first: Set once no other request is before this one.
    """

    rank: int
    number: int
    is_first: anyio.Event = attrs.field(
        factory=anyio.Event, eq=False, order=False
    )


class Waitlist:
    """Waiting requests, by rank and arrival.

    Only the first one tries, so that a large request is not overtaken again
    and again by smaller ones.

    Attributes:
      tokens: Sum of what the waiting requests need, in tokens.
    """

    def __init__(self) -> None:
        """Creates an empty list."""
        self.tokens = 0
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()

    async def wait(
        self,
        rank: int,
        tokens: int,
        deadline_s: float,
        try_take: collections.abc.Callable[[], _T | None],
    ) -> _T | None:
        """Returns what `try_take` returned, or None at the deadline.

        A request that finds nobody before it tries at once, even if its
        deadline has passed.

        Args:
          rank: Requests of a lower rank come first.
          tokens: What the request needs.
          deadline_s: Loop time until which it waits.
          try_take: Tries to take what the request waits for; returns None if
            it is not available.
        """
        waiter = _Waiter(rank, next(self._numbers))
        bisect.insort(self._waiters, waiter)
        self.tokens += tokens
        try:
            while True:
                if self._waiters[0] is waiter:
                    taken = try_take()
                    if taken is not None:
                        return taken
                now_s = anyio.current_time()
                if now_s >= deadline_s:
                    return None
                await self._pause(waiter, now_s, deadline_s)
        finally:
            self.tokens -= tokens
            self._waiters.remove(waiter)
            if self._waiters:
                self._waiters[0].is_first.set()

    async def _pause(
        self, waiter: _Waiter, now_s: float, deadline_s: float
    ) -> None:
        """Waits for the next try, or until the deadline."""
        if self._waiters[0] is waiter:
            await anyio.sleep(min(POLL_INTERVAL_S, deadline_s - now_s))
            return
        # It may have been the first before, until a more urgent one came.
        waiter.is_first = anyio.Event()
        with anyio.CancelScope(deadline=deadline_s):
            await waiter.is_first.wait()
