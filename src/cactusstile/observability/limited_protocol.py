"""Uvicorn's HTTP protocol, within limits over all connections of a listener."""

from __future__ import annotations

import asyncio
import functools
import typing

import anyio
import attrs
import h11
from uvicorn.protocols.http import h11_impl

from cactusstile.limits import connections
from cactusstile.limits import turns

if typing.TYPE_CHECKING:
    import uvicorn
    from uvicorn import server as uvicorn_server

# More bytes than this of a head or of chunks are parsed in turns.
PART_BYTES = 2 << 10
CHECK_INTERVAL_S = 5.0
CLOSE_TIMEOUT_S = 1.0
# Longest waits for a request, for the rest of one, and for a caller to take an
# answer.
IDLE_TIMEOUT_S = 75.0
READ_TIMEOUT_S = 35.0
STALL_TIMEOUT_S = 35.0
_TIMEOUTS_S = {
    connections.Phase.IDLE: IDLE_TIMEOUT_S,
    connections.Phase.READING: READ_TIMEOUT_S,
    connections.Phase.STALLED: STALL_TIMEOUT_S,
}


@attrs.frozen
class Limits:
    """What the connections of a listener share.

    Attributes:
      open_connections: Open connections.
      all_in_turns: Whether each request takes a turn, as for pages that take
        long to make; else those that were sent ahead do.
      turns: Turns of connections whose work takes long.
    """

    open_connections: connections.Connections
    all_in_turns: bool = False
    turns: turns.Turns = attrs.field(factory=turns.Turns)


class LimitedProtocol(h11_impl.H11Protocol):
    """Connection that holds a place among those of its listener.

    Attributes:
      limits: What the connections of the listener share.
      place: Place of the connection.
      waiting: Received bytes that wait for a turn.
    """

    def __init__(
        self,
        config: uvicorn.Config,
        state: uvicorn_server.ServerState,
        limits: Limits,
        place: connections.Place,
    ) -> None:
        """Serves a connection that is not open yet."""
        super().__init__(config, state, {})
        self.limits = limits
        self.place = place
        self.waiting = bytearray()
        self._inner_app = self.app
        self.app = self._run_app
        self._feeder: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._unsent_bytes = 0
        self._unsent_since_s = 0.0

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Begins to wait for a request."""
        super().connection_made(transport)
        # It was the handshake that gave way.
        self.place.give_way = None
        self._show_phase()
        self._check()

    def connection_lost(self, exc: Exception | None) -> None:
        """Frees the place."""
        super().connection_lost(exc)
        self.waiting.clear()
        if self._feeder is not None:
            self._feeder.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self.limits.open_connections.close(self.place)

    def data_received(self, data: bytes) -> None:
        """Parses bytes at once if that takes no long time, else in turns."""
        is_quick = len(data) <= PART_BYTES or self._has_plain_body()
        if is_quick and self._feeder is None:
            super().data_received(data)
            self._show_phase()
            return
        self.waiting += data
        self.transport.pause_reading()
        if self._feeder is None:
            self._feeder = asyncio.ensure_future(self._feed())

    def on_response_complete(self) -> None:
        """Lets go of the request and begins to wait for the next one."""
        self.headers = []
        self.scope = self.cycle.scope = typing.cast("typing.Any", {})
        super().on_response_complete()
        self.place.was_served = True
        self._show_phase()

    def pause_writing(self) -> None:
        """Waits for the caller to take an answer."""
        super().pause_writing()
        self._show_phase()

    def resume_writing(self) -> None:
        """Goes on with the answer."""
        super().resume_writing()
        self._show_phase()

    def _has_plain_body(self) -> bool:
        """Returns whether a body of declared length is being received."""
        if self.conn.their_state is not h11.SEND_BODY:
            return False
        return any(name == b"content-length" for name, _ in self.headers)

    async def _feed(self) -> None:
        """Parses the waiting bytes, a part a turn."""
        while self.waiting and not self.transport.is_closing():
            await self.limits.turns.take()
            size = len(self.waiting)
            if self.conn.their_state is h11.SEND_BODY:
                size = PART_BYTES
            part = bytes(self.waiting[:size])
            del self.waiting[:size]
            super().data_received(part)
            self._show_phase()
        self._feeder = None
        if not self.flow.read_paused and not self.transport.is_closing():
            self.transport.resume_reading()

    async def _run_app(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        is_ahead = bool(self.waiting or self.conn.trailing_data[0])
        if self.limits.all_in_turns or is_ahead:
            await self.limits.turns.take()
        await self._inner_app(scope, receive, send)

    def _show_phase(self) -> None:
        """Records what the connection waits for now."""
        phase = self._find_phase()
        if phase is self.place.phase and self.place.give_way is not None:
            return
        self.place.phase = phase
        self.place.since_s = anyio.current_time()
        self.place.give_way = None
        if phase is not connections.Phase.BUSY:
            self.place.give_way = functools.partial(self._give_way, phase)

    def _find_phase(self) -> connections.Phase:
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            has_begun = (
                self.conn.their_state is h11.IDLE
                and (self.conn.trailing_data[0])
            )
            phases = connections.Phase
            return phases.READING if has_begun else phases.IDLE
        if self.flow.write_paused:
            return connections.Phase.STALLED
        if cycle.more_body:
            return connections.Phase.READING
        return connections.Phase.BUSY

    def _give_way(self, phase: connections.Phase) -> None:
        """Ends the connection; a request that is not whole gets a promise."""
        if phase is connections.Phase.STALLED:
            self.transport.abort()
            return
        has_answer = self.cycle is not None and self.cycle.response_started
        if phase is connections.Phase.READING and not has_answer:
            self.transport.write(connections.FULL_ANSWER)
        self.transport.close()
        # Closing waits for a peer to take what is left.
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CLOSE_TIMEOUT_S, self.transport.abort)

    def _check(self) -> None:
        """Ends the connection if it has waited for too long; repeats."""
        limit_s = _TIMEOUTS_S.get(self.place.phase)
        waited_s = anyio.current_time() - self.place.since_s
        if limit_s is not None and waited_s > limit_s:
            self._give_way(self.place.phase)
            return
        if self._has_stalled_answer():
            self._give_way(connections.Phase.STALLED)
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _has_stalled_answer(self) -> bool:
        """Returns whether the caller stopped taking a complete answer."""
        now_s = anyio.current_time()
        size = self.transport.get_write_buffer_size()
        is_complete = self.place.phase is connections.Phase.IDLE
        if not is_complete or size != self._unsent_bytes:
            self._unsent_bytes = size
            self._unsent_since_s = now_s
        return size > 0 and now_s - self._unsent_since_s > STALL_TIMEOUT_S
