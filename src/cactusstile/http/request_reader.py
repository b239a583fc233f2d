"""Reads the requests of one connection, within the limits of its listener."""

from __future__ import annotations

import math

import anyio
import h11

from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.http import request_limits
from cactusstile.http import serving as servings
from cactusstile.http import sockets
from cactusstile.limits import connections

# Bytes that are read beyond the request in progress.
READ_AHEAD_BYTES = 16 << 10
# A body that arrives more slowly, after the idle timeout, is given up.
MIN_BODY_BYTES_PER_S = 1024
# Parts of bodies that are read before other connections get their turn.
PARTS_PER_TURN = 64
# Longer heads are parsed in turns.
LONG_HEAD_BYTES = 4 << 10


class RequestReader:
    """Reads requests from the connection of a caller.

    Attributes:
      socket: Socket of the connection.
      protocol: State of the connection by HTTP/1.1.
      serving: State shared by all connections of the listener.
      place: Place of the connection among them.
      limits: Limits of the request that is read.
    """

    def __init__(
        self,
        opened: sockets.Socket,
        serving: servings.Serving,
        place: connections.Place,
    ) -> None:
        """Reads from `opened`; see `read`."""
        self.socket = opened
        self.serving = serving
        self.place = place
        self.limits: request_limits.CallerLimits = serving.limits()
        self.protocol = _new_protocol(self.limits)
        self._body_bytes = 0
        self._head_bytes = 0
        self._parts_in_turn = 0
        self._turns_s = 0.0

    def update_limits(self) -> None:
        """Applies the limits in force to the next request."""
        before, self.limits = self.limits, self.serving.limits()
        is_same = before.max_header_bytes == self.limits.max_header_bytes
        if not is_same and not self.buffered_bytes():
            self.protocol = _new_protocol(self.limits)

    def buffered_bytes(self) -> int:
        """Returns the number of bytes read beyond the request in progress."""
        return len(self.protocol.trailing_data[0])

    def release(self) -> None:
        """Gives back the memory of the request that was read."""
        self.serving.memory.give_back(self._body_bytes)
        self.serving.heads.give_back(self._head_bytes)
        self._body_bytes = self._head_bytes = 0
        self.place.held_bytes = 0
        if self.place.gave_way:
            self.place.released.set()

    async def read(self) -> messages.Request | None:
        """Returns the next request; None if the caller ended the connection.

        Raises:
          MalformedError: The request is refused.
          ConnectionEndedError: The caller closed the connection in the middle
            of a request.
          TimeoutError: The request did not arrive in time.
        """
        received_s = anyio.current_time()
        with anyio.fail_after(self.limits.header_timeout_s) as scope:
            head = await self._read_head(scope)
        if head is None:
            return None
        body = await self._read_body(head)
        return messages.Request(
            bytes(head.method),
            bytes(head.target),
            tuple((bytes(name), bytes(value)) for name, value in head.headers),
            body,
            received_s,
        )

    async def _read_head(self, scope: anyio.CancelScope) -> h11.Request | None:
        await self._reserve_head(self.buffered_bytes())
        while True:
            if self._head_bytes > LONG_HEAD_BYTES:
                await self._take_turn(scope)
            event = self._parse()
            if event is not h11.NEED_DATA:
                break
            room = self.limits.max_header_bytes + 1 - self._head_bytes
            data = await self._receive(max(1, min(room, READ_AHEAD_BYTES)))
            await self._reserve_head(len(data))
        if not isinstance(event, h11.Request):
            return None
        await self._check_head(event)
        return event

    async def _check_head(self, head: h11.Request) -> None:
        size = sum(len(name) + len(value) for name, value in head.headers)
        if size + len(head.target) > self.limits.max_header_bytes:
            raise exceptions.MalformedError("the header is too large", 431)
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            raise exceptions.MalformedError(
                "send either a length or chunks, not both"
            )
        await self._count_head(messages.memory_bytes(head.headers))

    async def _count_head(self, size: int) -> None:
        """Reserves what a parsed head takes, in place of what was read."""
        read_bytes = self._head_bytes
        if size > read_bytes:
            await self._reserve_head(size - read_bytes)
            return
        self.serving.heads.give_back(read_bytes - size)
        self.place.held_bytes -= read_bytes - size
        self._head_bytes = size

    async def _reserve_head(self, size: int) -> None:
        heads = self.serving.heads
        if not await self.serving.reserve(self.place, heads, size):
            raise exceptions.MalformedError("requests fill the memory", 503)
        self._head_bytes += size

    async def _read_body(self, head: h11.Request) -> bytes:
        declared = int(dict(head.headers).get(b"content-length", b"0"))
        if declared > self.limits.max_body_bytes:
            raise exceptions.MalformedError("the body is too large", 413)
        body = bytearray()
        idle_s = self.limits.idle_timeout_s
        begun_s = anyio.current_time()
        self._turns_s = 0.0
        while True:
            taken_s = anyio.current_time() - begun_s - self._turns_s
            rest_s = idle_s + len(body) / MIN_BODY_BYTES_PER_S - taken_s
            with anyio.fail_after(min(idle_s, rest_s)) as scope:
                event = await self._next_event(scope)
            if not isinstance(event, h11.Data):
                break
            await self._reserve_body(len(body), len(event.data))
            body += event.data
        return bytes(body)

    async def _reserve_body(self, read_bytes: int, size: int) -> None:
        if read_bytes + size > self.limits.max_body_bytes:
            raise exceptions.MalformedError("the body is too large", 413)
        memory = self.serving.memory
        if not await self.serving.reserve(self.place, memory, size):
            raise exceptions.MalformedError("bodies fill the memory", 503)
        self._body_bytes += size

    async def _take_turn(self, scope: anyio.CancelScope) -> None:
        """Takes a turn; its time does not count as the caller's."""
        begun_s = anyio.current_time()
        scope.deadline, deadline_s = math.inf, scope.deadline
        await self.serving.turns.take()
        waited_s = anyio.current_time() - begun_s
        self._turns_s += waited_s
        scope.deadline = deadline_s + waited_s

    async def _next_event(self, scope: anyio.CancelScope) -> object:
        """Returns the next h11 event of a body.

        Args:
          scope: Limits the time in which it has to arrive.
        """
        self._parts_in_turn += 1
        if self._parts_in_turn > PARTS_PER_TURN:
            self._parts_in_turn = 0
            await self._take_turn(scope)
        while True:
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            if self.protocol.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                await self.socket.send(self.protocol.send(interim) or b"")
            await self._receive(READ_AHEAD_BYTES)

    def _parse(self) -> object:
        """Returns the next h11 event.

        Raises:
          MalformedError: The bytes are not a valid request.
        """
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            raise exceptions.MalformedError(str(error), status) from error

    async def _receive(self, limit_bytes: int) -> bytes:
        """Receives more bytes of a request.

        Raises:
          ConnectionEndedError: The caller closed the connection.
        """
        data = await self.socket.receive(limit_bytes)
        if not data:
            raise exceptions.ConnectionEndedError("closed by the caller")
        self._parts_in_turn = 0
        self.protocol.receive_data(data)
        return data


def _new_protocol(limits: request_limits.CallerLimits) -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
    )
