"""Slots of the fake engine: bounds concurrent runs, by priority."""

from __future__ import annotations

import contextlib
import heapq
import itertools
import typing

import anyio

if typing.TYPE_CHECKING:
    import collections.abc


class Slots:
    """Running runs and a priority queue of waiting ones.

    Attributes:
      running: Number of runs that hold a slot.
    """

    def __init__(self, limit: collections.abc.Callable[[], int]) -> None:
        """Creates free slots; `limit` returns the maximum of running runs."""
        self.running = 0
        self._limit = limit
        self._waiting: list[tuple[int, int, anyio.Event]] = []
        self._sequence = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of runs that wait for a slot."""
        return len(self._waiting)

    @contextlib.asynccontextmanager
    async def acquire(
        self, priority: int
    ) -> collections.abc.AsyncIterator[None]:
        """Holds a slot while the context is open; highest priority first."""
        if self.running < self._limit():
            self.running += 1
        else:
            await self._wait(priority)
        try:
            yield
        finally:
            self._release()

    async def _wait(self, priority: int) -> None:
        entry = (-priority, next(self._sequence), anyio.Event())
        heapq.heappush(self._waiting, entry)
        try:
            await entry[2].wait()
        except BaseException:
            if entry not in self._waiting:
                self._release()
                raise
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)
            raise

    def _release(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
            return
        self.running -= 1
