"""HTTP client side: connections to targets, one request at a time."""

from __future__ import annotations

import collections.abc
import contextlib
import re
import typing

import anyio
import attrs
import h11

from cactusstile import event_loops
from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.http import sockets
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    ResponseMatcher = collections.abc.Callable[[messages.ResponseHead], bool]
    Reserve = collections.abc.Callable[[], collections.abc.Awaitable[None]]

MAX_HEAD_BYTES = 64 << 10
# Bodies up to this size are read without a reservation of memory.
UNRESERVED_BYTES = 64 << 10
# Interim (1xx) responses that may precede a response.
MAX_INTERIM_RESPONSES = 16
# Bytes of responses to earlier requests that may precede a response.
MAX_LATE_BYTES = 256 << 10
# Parts of a body that is read completely.
MAX_BODY_PARTS = 1 << 16
# Parts of responses that are read before other tasks get a turn.
PARTS_PER_TURN = 64
# Idle timeout of a connection if the target announces none.
DEFAULT_IDLE_LIMIT_S = 4.0
# Fraction of a target's announced idle timeout within which its connections are
# reused.
IDLE_REUSE_FRACTION = 0.75
MAX_IDLE_PER_TARGET = 16
# Requests that a connection remembers.
MAX_CARRIED_IDS = 32
_METHODS_WITH_BODY = (b"POST", b"PUT", b"PATCH")
_KEEP_ALIVE = b"keep-alive"
_SECONDS = re.compile(r"[0-9]{1,9}")
# Status line at the end of a line.
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}( [^\r\n]*)?$")


class TargetConnection:
    """Connection to a target.

    Attributes:
      target: Address of the target.
      socket: Underlying socket, which counts the bytes sent.
      expires_s: Event loop time after which the connection is not reused.
      carried: Ids of the last requests that were sent over it. A late copy of
        an answer could be taken for the next answer to the same id.
    """

    def __init__(self, target: address.Address, opened: sockets.Socket) -> None:
        """Takes ownership of a new connection."""
        self.target = target
        self.socket = opened
        self.expires_s = float("inf")
        self.carried: collections.deque[str] = collections.deque(
            maxlen=MAX_CARRIED_IDS
        )
        self._idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self._protocol = _new_protocol()
        self._event: h11.Request
        self._closing = False
        self._is_reused = False
        self._received_bytes = 0
        self._parts_in_turn = 0

    async def ask(
        self, request: messages.Request, is_match: ResponseMatcher
    ) -> messages.ResponseHead:
        """Sends a request and returns the head of the response.

        A target may respond before it has read a long body. The rest of the
        body is then not sent, and the connection is not reused.

        Args:
          request: The request.
          is_match: Returns whether a response belongs to this request.

        Raises:
          ConnectionEndedError: The target closed or reset the connection.
          MalformedError: The target sent an invalid response.
        """
        parts = self._start(request)
        if sum(map(len, parts)) <= sockets.RECEIVE_BYTES:
            await self.socket.send(b"".join(parts))
            return await self._read_head(is_match)
        # Raised after the task group exits, which would wrap it in a group.
        failure: exceptions.HttpError | None = None
        async with anyio.create_task_group() as group:
            self._closing = True
            group.start_soon(self._send_long, parts)
            try:
                head = await self._read_head(is_match)
            except exceptions.HttpError as error:
                failure = error
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return head

    async def _send_long(self, parts: list[bytes]) -> None:
        """Sends a long request; reading the response reports a failure.

        The socket remembers it: an end of stream after it is no proper end.
        """
        with contextlib.suppress(exceptions.ConnectionEndedError):
            for part in parts:
                await self.socket.send(part)
            self._closing = False

    def _start(self, request: messages.Request) -> list[bytes]:
        """Starts a request cycle; returns the request without a copy."""
        self._received_bytes = 0
        headers = list(request.headers)
        if request.body or request.method in _METHODS_WITH_BODY:
            length = b"%d" % len(request.body)
            headers.append((b"content-length", length))
        self._event = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        parts = [self._protocol.send(self._event) or b""]
        if request.body:
            body = h11.Data(data=request.body)
            parts.append(self._protocol.send(body) or b"")
        parts.append(self._protocol.send(h11.EndOfMessage()) or b"")
        return parts

    async def _read_head(
        self, is_match: ResponseMatcher
    ) -> messages.ResponseHead:
        """Returns the response head; discards responses to other requests."""
        interim_count = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                interim_count += 1
                if interim_count > MAX_INTERIM_RESPONSES:
                    raise exceptions.MalformedError(
                        "too many interim responses"
                    )
                continue
            if not isinstance(event, h11.Response):
                raise exceptions.ConnectionEndedError("closed by the target")
            self._check_joined(event)
            head = _decode_head(event)
            if is_match(head):
                self._record_keep_alive(head)
                return head
            await self._discard_response()

    def _check_joined(self, event: h11.Response) -> None:
        """Checks that no late response was cut off where a head begins.

        A target may also quote a status line; its connections serve once.

        Raises:
          MalformedError: It may have been.
        """
        lines = [event.reason, *(value for _, value in event.headers)]
        if not any(_STATUS_LINE.search(line) for line in lines):
            return
        self._closing = True
        if self._is_reused:
            raise exceptions.MalformedError("a head begins within another")

    async def read_body(self) -> bytes | None:
        """Returns the next part of the body; None after the last part.

        Raises:
          ConnectionEndedError: The target closed the connection within the
            body.
          MalformedError: The framing of the body is invalid.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise exceptions.ConnectionEndedError("closed by the target")

    async def read_full_body(
        self, limit_bytes: int, reserve: Reserve | None = None
    ) -> bytes:
        """Returns the complete body; see `read_body`.

        Args:
          limit_bytes: Maximum size of the body.
          reserve: Called once if the body exceeds `UNRESERVED_BYTES`, before
            more of it is read.

        Raises:
          MalformedError: The body exceeds `limit_bytes` or `MAX_BODY_PARTS`.
        """
        body = bytearray()
        for _ in range(MAX_BODY_PARTS):
            part = await self.read_body()
            if part is None:
                return bytes(body)
            body += part
            if len(body) > limit_bytes:
                raise exceptions.MalformedError("response body is too large")
            if reserve is not None and len(body) > UNRESERVED_BYTES:
                await reserve()
                reserve = None
        raise exceptions.MalformedError("response body has too many parts")

    def finish(self) -> bool:
        """Ends a request; returns whether the connection can be reused."""
        is_done = (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )
        if not is_done or self._closing or self._protocol.trailing_data[0]:
            return False
        self._protocol.start_next_cycle()
        self._is_reused = True
        self.expires_s = anyio.current_time() + self._idle_limit_s
        return not self.socket.has_input()

    def close(self) -> None:
        """Closes the connection."""
        self.socket.close()

    def _record_keep_alive(self, head: messages.ResponseHead) -> None:
        """Records the idle timeout that the target announces."""
        options = messages.find_list(head.headers, b"connection") or ""
        if "close" in options.lower():
            self._closing = True
        limits = messages.find_list(head.headers, _KEEP_ALIVE) or ""
        for part in limits.split(","):
            name, _, value = part.partition("=")
            is_timeout = name.strip().lower() == "timeout"
            if is_timeout and _SECONDS.fullmatch(value.strip()):
                self._idle_limit_s = int(value) * IDLE_REUSE_FRACTION

    async def _take_turn(self) -> None:
        """Lets other tasks run after many parts that were read at once."""
        self._parts_in_turn += 1
        if self._parts_in_turn > PARTS_PER_TURN:
            self._parts_in_turn = 0
            await event_loops.take_turn()

    async def _next_event(self) -> object:
        await self._take_turn()
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                if self._protocol.trailing_data[1]:
                    text = "closed within a response"
                    raise exceptions.ConnectionEndedError(text) from error
                raise exceptions.MalformedError(str(error)) from error
            if event is h11.PAUSED:
                raise exceptions.MalformedError(
                    "unexpected bytes after a response"
                )
            if event is not h11.NEED_DATA:
                return event
            self._receive(await self.socket.receive())

    def _receive(self, data: bytes) -> None:
        self._received_bytes += len(data)
        try:
            self._protocol.receive_data(data)
        except RuntimeError as error:
            raise exceptions.ConnectionEndedError(str(error)) from error

    async def _discard_response(self) -> None:
        """Discards a late response to an earlier request."""
        while await self.read_body() is not None:
            self._check_late_bytes()
        self._check_late_bytes()
        waiting, ended = self._protocol.trailing_data
        if ended or self._protocol.their_state is not h11.DONE:
            raise exceptions.ConnectionEndedError(
                "closed after a late response"
            )
        self._protocol = _new_protocol()
        self._protocol.send(self._event)
        if waiting:
            self._protocol.receive_data(waiting)

    def _check_late_bytes(self) -> None:
        if self._received_bytes > MAX_LATE_BYTES:
            raise exceptions.MalformedError("late responses are too large")


def _new_protocol() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _decode_head(event: h11.Response) -> messages.ResponseHead:
    headers = tuple(
        (bytes(name), bytes(value)) for name, value in event.headers
    )
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise exceptions.MalformedError(
            "response has both Content-Length and Transfer-Encoding"
        )
    return messages.ResponseHead(event.status_code, headers)


@attrs.define
class Pool:
    """Pool of idle connections by target.

    Attributes:
      idle: Reusable connections by target, most recently used last.
      opened: Number of connections opened so far.
    """

    idle: dict[address.Address, list[TargetConnection]] = attrs.field(
        factory=dict
    )
    opened: int = 0

    async def take(
        self, target: address.Address, connect_timeout_s: float
    ) -> TargetConnection:
        """Returns an idle connection, or a new one if there is none.

        Raises:
          UnreachableError: No connection could be opened; nothing was sent.
        """
        waiting = self.idle.get(target, [])
        while waiting:
            found = waiting.pop()
            is_fresh = anyio.current_time() < found.expires_s
            if is_fresh and not found.socket.has_input():
                return found
            found.close()
        return await self.open(target, connect_timeout_s)

    async def open(
        self, target: address.Address, connect_timeout_s: float
    ) -> TargetConnection:
        """Returns a new connection, which carried no request before.

        Raises:
          UnreachableError: No connection could be opened; nothing was sent.
        """
        self.opened += 1
        opened = await sockets.connect(target, connect_timeout_s)
        return TargetConnection(target, opened)

    def give_back(self, connection: TargetConnection) -> None:
        """Returns a connection to the pool, or closes it."""
        waiting = self.idle.setdefault(connection.target, [])
        if len(waiting) < MAX_IDLE_PER_TARGET and connection.finish():
            waiting.append(connection)
            return
        connection.close()

    def sweep(self) -> None:
        """Closes connections that have expired or were closed by the target."""
        now_s = anyio.current_time()
        for target, waiting in tuple(self.idle.items()):
            reusable = []
            for one in waiting:
                if now_s < one.expires_s and not one.socket.has_input():
                    reusable.append(one)
                    continue
                one.close()
            if reusable:
                self.idle[target] = reusable
                continue
            del self.idle[target]

    def close(self) -> None:
        """Closes all idle connections."""
        for waiting in self.idle.values():
            for one in waiting:
                one.close()
        self.idle.clear()
