"""HTTP server side: connections of callers."""

from __future__ import annotations

import contextlib
import logging
import typing

import anyio
import anyio.abc
import attrs
import h11

from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.http import request_limits
from cactusstile.http import responder as responders
from cactusstile.http import sockets
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    import collections.abc
    import socket

    Handler = collections.abc.Callable[
        [messages.Request, responders.Responder],
        collections.abc.Awaitable[None],
    ]

logger = logging.getLogger(__name__)

INTERNAL_IDLE_TIMEOUT_S = 60.0
# A body that arrives more slowly, after the idle timeout, is given up.
MIN_BODY_BYTES_PER_S = 1024
# Bytes that are read beyond the request in progress.
READ_AHEAD_BYTES = 16 << 10
# Time between two looks whether a caller, of whom no more is read, has left.
CALLER_CHECK_INTERVAL_S = 0.2
# Number of request bodies of maximum size that an internal listener buffers.
INTERNAL_MAX_BODIES = 4


@attrs.define
class Serving:
    """State shared by all connections of a listener.

    Attributes:
      handle: Request handler.
      limits: Returns the limits in force.
      memory: Limit on buffered request bodies.
      stopping: Whether responses close their connections.
      takes_requests: Whether open connections may bring further requests.
      idle: Cancel scopes of connections that wait for a request.
      open_requests: Number of requests in progress.
      connections: Number of open connections.
      accepting: Cancelled to stop accepting connections.
      finished: Set when no request is in progress any more.
    """

    handle: Handler
    limits: collections.abc.Callable[[], request_limits.CallerLimits]
    memory: request_limits.BodyMemory
    stopping: bool = False
    takes_requests: bool = True
    idle: set[anyio.CancelScope] = attrs.field(factory=set)
    open_requests: int = 0
    connections: int = 0
    accepting: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    finished: anyio.Event = attrs.field(factory=anyio.Event)

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

    def take_no_more(self) -> None:
        """Takes neither connections nor requests from now on.

        Each connection closes at the end of the answer that it is sent.
        """
        self.takes_requests = False
        self.accepting.cancel()
        self.close_idle()

    def close_idle(self) -> None:
        """Closes connections that wait for a request."""
        for scope in tuple(self.idle):
            scope.cancel()


class CallerConnection:
    """Connection of a caller."""

    def __init__(self, opened: sockets.Socket, serving: Serving) -> None:
        """Takes ownership of an accepted connection; see `run`."""
        self.socket = opened
        self.serving = serving
        self.limits = serving.limits()
        self.protocol = self._new_protocol()
        self.reserved_bytes = 0

    def _new_protocol(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.limits.max_header_bytes,
        )

    async def run(self) -> None:
        """Serves requests until either side closes the connection."""
        try:
            await self._run()
        finally:
            self._release()

    async def _run(self) -> None:
        while self.serving.takes_requests:
            self.limits = self.serving.limits()
            request = await self._read_request()
            if request is None:
                return
            self.serving.open_requests += 1
            try:
                keep_open = await self._answer(request)
            finally:
                self.serving.end_request()
                self._release()
            if not keep_open:
                return
            self.protocol.start_next_cycle()

    def _release(self) -> None:
        self.serving.memory.give_back(self.reserved_bytes)
        self.reserved_bytes = 0

    async def _answer(self, request: messages.Request) -> bool:
        """Serves one request; returns whether the connection stays open."""
        responder = responders.Responder(
            self.socket, self.protocol, request, self._is_stopping
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_for_disconnect, group.cancel_scope)
            await self._handle(request, responder)
            group.cancel_scope.cancel()
        return responder.can_continue()

    def _is_stopping(self) -> bool:
        return self.serving.stopping

    async def _handle(
        self, request: messages.Request, responder: responders.Responder
    ) -> None:
        try:
            await self.serving.handle(request, responder)
        except exceptions.ConnectionEndedError as error:
            logger.debug("caller closed the connection: %s", error)
        except Exception:
            logger.exception("a request failed by a fault of the program")
            if not responder.started:
                with contextlib.suppress(exceptions.ConnectionEndedError):
                    await responder.respond(500, (), b"internal error\n")

    async def _watch_for_disconnect(self, scope: anyio.CancelScope) -> None:
        """Cancels the request handler if the caller closes the connection."""
        room = READ_AHEAD_BYTES - len(self.protocol.trailing_data[0])
        while room > 0:
            try:
                data = await self.socket.receive(room)
            except exceptions.ConnectionEndedError:
                data = b""
            self.protocol.receive_data(data)
            if not data:
                scope.cancel()
                return
            room -= len(data)
        while True:
            if self.socket.has_ended():
                scope.cancel()
                return
            await anyio.sleep(CALLER_CHECK_INTERVAL_S)

    async def _read_request(self) -> messages.Request | None:
        """Returns the next request; None if the connection is to be closed."""
        if not self.protocol.trailing_data[0] and not await self._wait_idle():
            return None
        received_s = anyio.current_time()
        try:
            with anyio.fail_after(self.limits.header_timeout_s):
                head = await self._read_head()
            if head is None:
                return None
            body = await self._read_body(head)
        except TimeoutError:
            await self._refuse(408, "the request did not arrive in time")
            return None
        except exceptions.MalformedError as error:
            await self._refuse(error.status, str(error))
            return None
        return messages.Request(
            bytes(head.method),
            bytes(head.target),
            tuple((bytes(name), bytes(value)) for name, value in head.headers),
            body,
            received_s,
        )

    async def _wait_idle(self) -> bool:
        """Waits for the start of a request; returns whether it arrived."""
        with anyio.move_on_after(self.limits.idle_timeout_s) as scope:
            self.serving.idle.add(scope)
            try:
                data = await self.socket.receive()
            finally:
                self.serving.idle.discard(scope)
            self.protocol.receive_data(data)
            return bool(data)
        return False

    async def _read_head(self) -> h11.Request | None:
        event = await self._next_event()
        if not isinstance(event, h11.Request):
            return None
        size = sum(len(name) + len(value) for name, value in event.headers)
        if size + len(event.target) > self.limits.max_header_bytes:
            raise exceptions.MalformedError("the header is too large", 431)
        names = [name for name, _ in event.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            raise exceptions.MalformedError(
                "send either a length or chunks, not both"
            )
        return event

    async def _read_body(self, head: h11.Request) -> bytes:
        declared = dict(head.headers).get(b"content-length", b"0")
        if int(declared) > self.limits.max_body_bytes:
            raise exceptions.MalformedError("the body is too large", 413)
        body = bytearray()
        idle_s = self.limits.idle_timeout_s
        begun_s = anyio.current_time()
        while True:
            now_s = anyio.current_time()
            due_s = begun_s + idle_s + len(body) / MIN_BODY_BYTES_PER_S
            with anyio.fail_after(min(idle_s, due_s - now_s)):
                event = await self._next_event()
            if not isinstance(event, h11.Data):
                break
            size = len(body) + len(event.data)
            if size > self.limits.max_body_bytes:
                raise exceptions.MalformedError("the body is too large", 413)
            if not self.serving.memory.take(len(event.data)):
                raise exceptions.MalformedError("bodies fill the memory", 503)
            self.reserved_bytes += len(event.data)
            body += event.data
        return bytes(body)

    async def _next_event(self) -> object:
        """Returns the next h11 event of a request.

        Raises:
          MalformedError: The bytes are not a valid request.
          ConnectionEndedError: The caller closed the connection in the middle
            of a request.
        """
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                raise exceptions.MalformedError(str(error), status) from error
            if event is not h11.NEED_DATA:
                return event
            if self.protocol.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                await self.socket.send(self.protocol.send(interim) or b"")
            data = await self.socket.receive()
            if not data:
                raise exceptions.ConnectionEndedError("closed by the caller")
            self.protocol.receive_data(data)

    async def _refuse(self, status: int, text: str) -> None:
        """Responds to a malformed request with an error and ends the stream."""
        self._release()
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"connection", b"close"), (b"content-type", b"text/plain")]
        body = text.encode() + b"\n"
        headers.append((b"content-length", b"%d" % len(body)))
        if status == responders.UNAVAILABLE:
            headers.append((b"retry-after", b"1"))
        head = h11.Response(status_code=status, headers=headers)
        data = (
            (self.protocol.send(head) or b"")
            + (self.protocol.send(h11.Data(data=body)) or b"")
            + (self.protocol.send(h11.EndOfMessage()) or b"")
        )
        logger.info("rejected malformed request: %d %s", status, text)
        await self.socket.send(data)
        await self.socket.linger()


async def serve_listener(
    listener: socket.socket, serving: Serving, group: anyio.abc.TaskGroup
) -> None:
    """Accepts connections and serves each in a task of `group`.

    Returns and closes the listener when `serving.accepting` is cancelled.
    """
    with listener, serving.accepting:
        while True:
            opened = await sockets.accept(listener)
            group.start_soon(_serve, opened, serving)


async def open_listener(
    place: address.Address,
    serving: Serving,
    group: anyio.abc.TaskGroup,
    closers: contextlib.ExitStack,
) -> None:
    """Listens at `place` and serves connections in tasks of `group`.

    Args:
      place: Address to listen on.
      serving: State shared by the connections.
      group: Task group of the listener and its connections.
      closers: Closes the listener on exit. It must exit after `group`, since
        accepting on a closed listener fails.

    Raises:
      OSError: The address cannot be bound; the message contains the address.
    """
    listener = await sockets.listen_when_free(place)
    closers.callback(listener.close)
    group.start_soon(serve_listener, listener, serving, group)


async def _serve(opened: sockets.Socket, serving: Serving) -> None:
    """Serves one connection and closes it."""
    serving.connections += 1
    with contextlib.ExitStack() as stack:
        stack.callback(opened.close)
        stack.enter_context(
            contextlib.suppress(exceptions.ConnectionEndedError)
        )
        stack.callback(_count_closed, serving)
        try:
            await CallerConnection(opened, serving).run()
        except exceptions.ConnectionEndedError:
            raise
        except Exception:
            # An error in one connection must not end the process.
            logger.exception("a connection failed by a fault of the program")


def _count_closed(serving: Serving) -> None:
    serving.connections -= 1


def internal_serving(handle: Handler, max_body_bytes: int = 1 << 20) -> Serving:
    """Returns the shared state of a listener for internal use."""
    limits = request_limits.CallerLimits(
        max_body_bytes=max_body_bytes, idle_timeout_s=INTERNAL_IDLE_TIMEOUT_S
    )
    memory = request_limits.BodyMemory(INTERNAL_MAX_BODIES * max_body_bytes)
    return Serving(handle, lambda: limits, memory)
