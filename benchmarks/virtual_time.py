"""Timeline of events in virtual time."""

from __future__ import annotations

import heapq
import itertools
import typing

if typing.TYPE_CHECKING:
    import collections.abc


class Timeline:
    """Events in virtual time.

    Attributes:
      now_s: Current virtual time in seconds.
    """

    def __init__(self) -> None:
        """Starts at 0."""
        self.now_s = 0.0
        self._events: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._sequence = itertools.count()

    def clock(self) -> float:
        """Returns the current virtual time in seconds."""
        return self.now_s

    def after(
        self, delay_s: float, action: collections.abc.Callable[[], None]
    ) -> None:
        """Schedules `action` after a delay in seconds."""
        event = (self.now_s + delay_s, next(self._sequence), action)
        heapq.heappush(self._events, event)

    def run(self, until_s: float) -> None:
        """Runs all events up to a time in seconds."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s
