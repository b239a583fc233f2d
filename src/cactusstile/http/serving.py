"""State that the connections of one HTTP listener share."""

from __future__ import annotations

import math
import typing

import anyio
import attrs

from cactusstile.http import request_limits
from cactusstile.limits import connections
from cactusstile.limits import turns

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.http import messages
    from cactusstile.http import responder as responders

    Handler = collections.abc.Callable[
        [messages.Request, responders.Responder],
        collections.abc.Awaitable[None],
    ]

DEFAULT_MAX_CONNECTIONS = 1024
DEFAULT_HEAD_BYTES = 8 << 20
DEFAULT_UNSENT_BYTES = 16 << 20


def _default_connections() -> connections.Connections:
    return connections.Connections(
        DEFAULT_MAX_CONNECTIONS, connections.CALLER_DESCRIPTOR_FRACTION
    )


@attrs.define
class Serving:
    """State shared by all connections of a listener.

    Attributes:
      handle: Request handler.
      limits: Returns the limits in force.
      memory: Limit on buffered request bodies.
      heads: Limit on the heads of requests in progress.
      unsent: Limit on answers that callers do not take.
      open_connections: Open connections.
      turns: Turns of connections whose work takes long.
      stopping: Whether responses close their connections.
      takes_requests: Whether open connections may bring further requests.
      take_until_s: Loop time from which on requests that were read are refused,
        also if the process stood still at that time.
      skips_departed: Whether a request whose caller has left by then is not
        handled.
      open_requests: Number of requests in progress.
      accepting: Cancelled to stop accepting connections.
      finished: Set when no request is in progress any more.
    """

    handle: Handler
    limits: collections.abc.Callable[[], request_limits.CallerLimits]
    memory: request_limits.MemoryLimit
    heads: request_limits.MemoryLimit = attrs.field(
        factory=lambda: request_limits.MemoryLimit(DEFAULT_HEAD_BYTES)
    )
    unsent: request_limits.MemoryLimit = attrs.field(
        factory=lambda: request_limits.MemoryLimit(DEFAULT_UNSENT_BYTES)
    )
    open_connections: connections.Connections = attrs.field(
        factory=_default_connections
    )
    turns: turns.Turns = attrs.field(factory=turns.Turns)
    stopping: bool = False
    takes_requests: bool = True
    take_until_s: float = math.inf
    skips_departed: bool = False
    open_requests: int = 0
    accepting: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    finished: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def idle(self) -> list[connections.Place]:
        """Places of the connections that wait for a request."""
        return [
            place
            for place in self.open_connections.places
            if place.phase is connections.Phase.IDLE and place.give_way
        ]

    async def finish(self, timeout_s: float) -> None:
        """Waits until no request is in progress; answers close connections."""
        self.stopping = True
        self.close_idle()
        self.finished = anyio.Event()
        if self.open_requests:
            with anyio.move_on_after(timeout_s):
                await self.finished.wait()

    def end_request(self) -> None:
        """Counts a request that is no longer in progress."""
        self.open_requests -= 1
        if not self.open_requests:
            self.finished.set()

    def may_serve(self) -> bool:
        """Returns whether a request that was just read may be served."""
        is_early = anyio.current_time() < self.take_until_s
        return self.takes_requests and is_early

    def take_no_more(self) -> None:
        """Takes neither connections nor requests from now on.

        Each connection closes at the end of the answer that it is sent.
        """
        self.takes_requests = False
        self.accepting.cancel()
        self.close_idle()

    def close_idle(self) -> None:
        """Closes connections that wait for a request."""
        for place in self.idle:
            if place.give_way is not None:
                place.give_way()

    async def reserve(
        self,
        place: connections.Place,
        memory: request_limits.MemoryLimit,
        size: int,
    ) -> bool:
        """Reserves memory for a request; slow ones give way to it.

        Returns:
          Whether there is room.
        """
        while not memory.take(size):
            slow = self.open_connections.find_holder(
                connections.Phase.READING, min_wait_s=connections.MIN_WAIT_S
            )
            if slow is None or slow is place:
                return False
            self.open_connections.end(slow)
            await slow.released.wait()
        place.held_bytes += size
        return True

    def add_unsent(self, place: connections.Place, size: int) -> None:
        """Counts an answer that is not taken; some may have to give way."""
        place.unsent_bytes += size
        self.unsent.used_bytes += size
        # A single answer may exceed the limit.
        limit_bytes = max(self.unsent.limit_bytes, place.unsent_bytes)
        rest_bytes = self.unsent.used_bytes
        while rest_bytes > limit_bytes:
            holder = self.open_connections.find_holder(
                connections.Phase.STALLED
            )
            if holder is None:
                return
            rest_bytes -= holder.unsent_bytes
            self.open_connections.end(holder)

    def remove_unsent(self, place: connections.Place, size: int) -> None:
        """Counts an answer that was taken or given up."""
        place.unsent_bytes -= size
        self.unsent.used_bytes -= size
