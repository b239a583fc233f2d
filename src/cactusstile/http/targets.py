"""Connections to targets: one request at a time, answers checked."""

from __future__ import annotations

import contextlib
import typing

import anyio
import attrs
import h11

from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.http import sockets
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    import collections.abc

    IsOurs = collections.abc.Callable[[messages.ResponseHead], bool]

MAX_HEAD_BYTES = 64 << 10
# Idle time after which a connection is closed when the target names none.
DEFAULT_IDLE_LIMIT_S = 4.0
# Part of the idle time that a target names within which it is used again.
IDLE_SHARE = 0.75
MAX_IDLE_PER_TARGET = 16
_METHODS_WITH_BODY = (b"POST", b"PUT", b"PATCH")
_KEEP_ALIVE = b"keep-alive"


class TargetConnection:
    """One connection to a target.

    Attributes:
      target: Address of the target.
      socket: The connection; tells how many bytes left.
      expires_s: Loop time after which it is not used again.
    """

    def __init__(self, target: address.Address, opened: sockets.Socket) -> None:
        """Takes over a fresh connection."""
        self.target = target
        self.socket = opened
        self.expires_s = float("inf")
        self._idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self._protocol = _new_protocol()
        self._event: h11.Request
        self._closing = False

    async def ask(
        self, request: messages.Request, is_ours: IsOurs
    ) -> messages.ResponseHead:
        """Sends a request and returns the head of its answer.

        A target may answer before it has read a long body. The rest is not
        sent then, and the connection serves no further request.

        Raises:
          ConnectionEndedError: The target closed or reset the connection.
          MalformedError: The target sent bytes that are no valid answer.
        """
        data = self._start(request)
        if len(data) <= sockets.RECEIVE_BYTES:
            await self.socket.send(data)
            return await self._read_head(is_ours)
        # Raised after the group has ended, which would wrap it otherwise.
        failure: exceptions.HttpError | None = None
        async with anyio.create_task_group() as group:
            self._closing = True
            group.start_soon(self._send_long, data)
            try:
                head = await self._read_head(is_ours)
            except exceptions.HttpError as error:
                failure = error
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return head

    async def _send_long(self, data: bytes) -> None:
        """Sends a long request; a failure shows in the answer."""
        with contextlib.suppress(exceptions.ConnectionEndedError):
            await self.socket.send(data)
            self._closing = False

    def _start(self, request: messages.Request) -> bytes:
        """Returns the bytes of a request, and starts a cycle for it."""
        headers = list(request.headers)
        if request.body or request.method in _METHODS_WITH_BODY:
            length = b"%d" % len(request.body)
            headers.append((b"content-length", length))
        self._event = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data = self._protocol.send(self._event) or b""
        if request.body:
            body = h11.Data(data=request.body)
            data += self._protocol.send(body) or b""
        return data + (self._protocol.send(h11.EndOfMessage()) or b"")

    async def _read_head(self, is_ours: IsOurs) -> messages.ResponseHead:
        """Returns the head of the answer; answers to others are dropped."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise exceptions.ConnectionEndedError("closed by the target")
            head = _decode_head(event)
            if is_ours(head):
                self._note(head)
                return head
            await self._drop_answer()

    async def read_body(self) -> bytes | None:
        """Returns the next part of the body; None once it is whole.

        Raises:
          ConnectionEndedError: The body was broken off.
          MalformedError: Its framing is not valid.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise exceptions.ConnectionEndedError("closed by the target")

    async def read_full_body(self, limit_bytes: int) -> bytes:
        """Returns the whole body; see `read_body`."""
        parts: list[bytes] = []
        size = 0
        while True:
            part = await self.read_body()
            if part is None:
                return b"".join(parts)
            size += len(part)
            if size > limit_bytes:
                raise exceptions.MalformedError("the answer is too large")
            parts.append(part)

    def finish(self) -> bool:
        """Returns whether another request may be sent on this connection."""
        done = (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )
        if not done or self._closing or self._protocol.trailing_data[0]:
            return False
        self._protocol.start_next_cycle()
        self.expires_s = anyio.current_time() + self._idle_limit_s
        return not self.socket.has_input()

    def close(self) -> None:
        """Closes the connection."""
        self.socket.close()

    def _note(self, head: messages.ResponseHead) -> None:
        """Notes how long the target keeps the connection."""
        connection = head.find(b"connection") or ""
        if "close" in connection.lower():
            self._closing = True
        for part in (head.find(_KEEP_ALIVE) or "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdecimal():
                self._idle_limit_s = int(value) * IDLE_SHARE

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                if self._protocol.trailing_data[1]:
                    text = "closed within an answer"
                    raise exceptions.ConnectionEndedError(text) from error
                raise exceptions.MalformedError(str(error)) from error
            if event is h11.PAUSED:
                raise exceptions.MalformedError("bytes after an answer")
            if event is not h11.NEED_DATA:
                return event
            self._receive(await self.socket.receive())

    def _receive(self, data: bytes) -> None:
        try:
            self._protocol.receive_data(data)
        except RuntimeError as error:
            raise exceptions.ConnectionEndedError(str(error)) from error

    async def _drop_answer(self) -> None:
        """Reads past a late answer to an earlier request."""
        while await self.read_body() is not None:
            continue
        waiting, ended = self._protocol.trailing_data
        if ended or self._protocol.their_state is not h11.DONE:
            raise exceptions.ConnectionEndedError("closed after a late answer")
        self._protocol = _new_protocol()
        self._protocol.send(self._event)
        if waiting:
            self._protocol.receive_data(waiting)


def _new_protocol() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _decode_head(event: h11.Response) -> messages.ResponseHead:
    headers = tuple(
        (bytes(name), bytes(value)) for name, value in event.headers
    )
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise exceptions.MalformedError("an answer with length and chunks")
    return messages.ResponseHead(event.status_code, headers)


@attrs.define
class Pool:
    """Idle connections by target.

    Attributes:
      idle: Connections that may be used again, the last used at the end.
      opened: Count of connections that were opened.
    """

    idle: dict[address.Address, list[TargetConnection]] = attrs.field(
        factory=dict
    )
    opened: int = 0

    async def take(
        self, target: address.Address, connect_timeout_s: float
    ) -> TargetConnection:
        """Returns an idle connection, or a new one.

        Raises:
          UnreachableError: None could be opened; nothing was sent.
        """
        waiting = self.idle.get(target, [])
        while waiting:
            found = waiting.pop()
            fresh = anyio.current_time() < found.expires_s
            if fresh and not found.socket.has_input():
                return found
            found.close()
        self.opened += 1
        opened = await sockets.connect(target, connect_timeout_s)
        return TargetConnection(target, opened)

    def give_back(self, connection: TargetConnection) -> None:
        """Keeps a connection for another request, or closes it."""
        waiting = self.idle.setdefault(connection.target, [])
        if len(waiting) < MAX_IDLE_PER_TARGET and connection.finish():
            waiting.append(connection)
            return
        connection.close()

    def sweep(self) -> None:
        """Closes connections that are past their time."""
        now_s = anyio.current_time()
        for target, waiting in tuple(self.idle.items()):
            kept = []
            for one in waiting:
                if now_s < one.expires_s and not one.socket.has_input():
                    kept.append(one)
                    continue
                one.close()
            if kept:
                self.idle[target] = kept
                continue
            del self.idle[target]

    def close(self) -> None:
        """Closes all idle connections."""
        for waiting in self.idle.values():
            for one in waiting:
                one.close()
        self.idle.clear()
