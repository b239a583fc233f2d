"""Limits the connections of a listener; if they are too many, some give way.

A connection that waits for its peer gives way to a new one: it holds nothing
that was promised. One whose request is being handled never does.
"""

from __future__ import annotations

import contextlib
import enum
import logging
import math
import resource
import typing

import anyio
import attrs

if typing.TYPE_CHECKING:
    import collections.abc

logger = logging.getLogger(__name__)

# Connections that are accepted before other tasks get a turn.
ACCEPTS_PER_TURN = 16
# Shorter waits for a peer are usual and give way to nobody.
MIN_WAIT_S = 1.0
LOG_INTERVAL_S = 10.0
# Callers' share of the descriptors; each may need one more, to a target.
CALLER_DESCRIPTOR_FRACTION = 3 / 8
# Share of a listener for administrators, operators or a balancer.
INTERNAL_DESCRIPTOR_FRACTION = 1 / 16
# Delay after which a caller may retry when there was no room for it.
FULL_RETRY_AFTER_S = 1
# Answer to a connection for which there is no place; nothing of it was read.
FULL_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n"
    b"retry-after: %d\r\ncontent-length: 0\r\n\r\n" % FULL_RETRY_AFTER_S
)


class Phase(enum.IntEnum):
    """What a connection waits for; lower ones give way first."""

    IDLE = 0
    READING = 1
    STALLED = 2
    BUSY = 3


@attrs.define(eq=False)
class Place:
    """The place of one open connection.

    Attributes:
      phase: What the connection waits for.
      since_s: Loop time since which it waits for that.
      held_bytes: Memory that its request takes.
      unsent_bytes: Memory of an answer that its peer does not take.
      was_served: Whether a request of it was answered.
      give_way: Ends the wait of the connection; None while it must stay.
      gave_way: Whether it was told to give way.
      released: Set once it has released its memory.
    """

    phase: Phase = Phase.IDLE
    since_s: float = attrs.field(factory=anyio.current_time)
    held_bytes: int = 0
    unsent_bytes: int = 0
    was_served: bool = False
    give_way: collections.abc.Callable[[], None] | None = None
    gave_way: bool = False
    released: anyio.Event = attrs.field(factory=anyio.Event)

    @contextlib.contextmanager
    def waiting(
        self, phase: Phase, limit_s: float = math.inf
    ) -> collections.abc.Iterator[anyio.CancelScope]:
        """Waits for the peer; the scope is cancelled to give way.

        Args:
          phase: What is awaited.
          limit_s: Time after which the scope is cancelled, in seconds.
        """
        before = (self.phase, self.since_s, self.give_way)
        with anyio.move_on_after(limit_s) as scope:
            self.phase = phase
            self.since_s = anyio.current_time()
            self.give_way = scope.cancel
            try:
                yield scope
            finally:
                self.phase, self.since_s, self.give_way = before
                if before[2] is None:
                    self.phase = Phase.BUSY

    def may_give_way(self) -> bool:
        """Returns whether the connection waits and was not told to end."""
        return self.give_way is not None and not self.gave_way


@attrs.define
class Connections:
    """The open connections of a listener.

    Attributes:
      max_connections: Maximum number of open connections.
      descriptor_fraction: Maximum fraction of the process's descriptors.
      places: Places of the open connections, in order of their arrival.
      refused: Number of connections for which there was no place.
      ended: Number of connections that gave way.
      logged_s: Loop time of the last log line.
    """

    max_connections: int
    descriptor_fraction: float
    places: dict[Place, None] = attrs.field(factory=dict)
    refused: int = 0
    ended: int = 0
    logged_s: float = -math.inf
    _leaving: int = 0
    _limit: int = 0

    def is_full(self) -> bool:
        """Returns whether the last connection took the last place."""
        return len(self.places) - self._leaving >= self._limit

    def limit(self) -> int:
        """Returns the number of connections that may be open now."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if descriptors == resource.RLIM_INFINITY:
            return self.max_connections
        share = int(descriptors * self.descriptor_fraction)
        return max(1, min(self.max_connections, share))

    def open(self) -> Place | None:
        """Returns a place for a new connection; None if there is none."""
        self._limit = self.limit()
        if self.is_full():
            victim = self._find_oldest()
            if victim is None:
                self.refused += 1
                self._log()
                return None
            self.end(victim)
        place = Place()
        self.places[place] = None
        return place

    def close(self, place: Place) -> None:
        """Frees the place of a connection that is closed."""
        del self.places[place]
        place.released.set()
        if place.gave_way:
            self._leaving -= 1

    def end(self, place: Place) -> None:
        """Has a connection that waits for its peer give way."""
        assert place.give_way is not None  # noqa: S101
        place.gave_way = True
        self._leaving += 1
        self.ended += 1
        self._log()
        place.give_way()

    def find_holder(self, phase: Phase, min_wait_s: float = 0) -> Place | None:
        """Returns who has held most for longest while it waits; None if none.

        Args:
          phase: What such a connection waits for.
          min_wait_s: Shortest time of a wait to be considered, in seconds.
        """
        now_s = anyio.current_time()
        found, most = None, -1.0
        for place in self.places:
            age_s = now_s - place.since_s
            if place.phase is not phase or age_s < min_wait_s:
                continue
            size = place.held_bytes + place.unsent_bytes
            if place.may_give_way() and size and size * age_s > most:
                found, most = place, size * age_s
        return found

    def counts(self) -> dict[str, int]:
        """Returns the number of connections by what became of them."""
        return {
            "open": len(self.places),
            "refused": self.refused,
            "gave_way": self.ended,
        }

    def _find_oldest(self) -> Place | None:
        """Returns who gives way to a new connection; None if nobody can.

        Connections that were never served go before all others, the one that
        waits longest first.
        """
        now_s = anyio.current_time()
        found, first = None, (True, math.inf, math.inf)
        for place in self.places:
            if not place.may_give_way():
                continue
            is_usual = now_s - place.since_s < MIN_WAIT_S
            if place.phase is Phase.STALLED and is_usual:
                continue
            order = (place.was_served, place.phase, place.since_s)
            if order < first:
                found, first = place, order
        return found

    def _log(self) -> None:
        now_s = anyio.current_time()
        if now_s - self.logged_s < LOG_INTERVAL_S:
            return
        self.logged_s = now_s
        logger.info("connections limited", extra=self.counts())
