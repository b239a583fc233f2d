"""HTTP server side: connections of callers."""

from __future__ import annotations

import contextlib
import itertools
import logging
import math
import typing

import anyio
import anyio.abc
import anyio.lowlevel
import h11

from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.http import request_limits
from cactusstile.http import request_reader
from cactusstile.http import responder as responders
from cactusstile.http import serving as servings
from cactusstile.http import sockets
from cactusstile.limits import connections
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    import collections.abc
    import socket

logger = logging.getLogger(__name__)

INTERNAL_IDLE_TIMEOUT_S = 60.0
# Number of request bodies of maximum size that an internal listener buffers,
# and of answers that nobody takes.
INTERNAL_MAX_BODIES = 4
INTERNAL_MAX_CONNECTIONS = 256
# Time between two looks whether a caller, of whom no more is read, has left.
CALLER_CHECK_INTERVAL_S = 0.2
_GAVE_WAY = (responders.UNAVAILABLE, "the connection gave way to others")


class CallerConnection:
    """Connection of a caller.

    Attributes:
      socket: Socket of the connection.
      serving: State shared by all connections of the listener.
      place: Place of the connection among them.
      reader: Reads the requests.
    """

    def __init__(
        self,
        opened: sockets.Socket,
        serving: servings.Serving,
        place: connections.Place,
    ) -> None:
        """Takes ownership of an accepted connection; see `run`."""
        self.socket = opened
        self.serving = serving
        self.place = place
        self.reader = request_reader.RequestReader(opened, serving, place)
        self._answer_start_bytes = 0
        self._stalled_s = 0.0
        opened.stalled = self._stalled

    async def run(self) -> None:
        """Serves requests until either side closes the connection."""
        try:
            await self._run()
        finally:
            self.reader.release()

    async def _run(self) -> None:
        # One that was told to give way may have read a whole request before.
        while not self.place.gave_way:
            # What has arrived is answered, be it with a refusal.
            if not self.serving.takes_requests and not self._has_request():
                return
            if not await self._serve_next():
                await self._linger_at_stop()
                return
            self.reader.protocol.start_next_cycle()
            self.reader.update_limits()

    def _has_request(self) -> bool:
        """Returns whether bytes of a further request have arrived."""
        return self.reader.buffered_bytes() > 0 or self.socket.has_input()

    async def _linger_at_stop(self) -> None:
        """Lets the caller read its answer although it sends further requests.

        What arrives on a closed connection resets it, and a caller may discard
        what it has not read by then. The end of the stop ends this, too.
        """
        if self.serving.stopping and not self.place.gave_way:
            await self.socket.linger(math.inf)

    async def _serve_next(self) -> bool:
        """Serves the next request; returns whether the connection stays open.

        The request is gone on return, so that no idle connection holds one.
        """
        request = await self._read_request()
        if request is None:
            return False
        if self.serving.skips_departed and self.socket.has_ended():
            # Both waited here, if this process stood still.
            logger.info("a caller left before its request was handled")
            return False
        if not self.serving.may_serve():
            await self._refuse(responders.UNAVAILABLE, "this process stops")
            return False
        self.serving.open_requests += 1
        try:
            return await self._answer(request)
        finally:
            self.serving.end_request()
            self.reader.release()
            self.place.was_served = True

    async def _answer(self, request: messages.Request) -> bool:
        """Serves one request; returns whether the connection stays open."""
        self._answer_start_bytes = self.socket.bytes_sent
        self._stalled_s = 0.0
        responder = responders.Responder(
            self.socket, self.reader.protocol, request, self.serving
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_for_disconnect, group.cancel_scope)
            await self._handle(request, responder)
            group.cancel_scope.cancel()
        return responder.can_continue()

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
        room = request_reader.READ_AHEAD_BYTES - self.reader.buffered_bytes()
        while room > 0:
            try:
                data = await self.socket.receive(room)
            except exceptions.ConnectionEndedError:
                data = b""
            self.reader.protocol.receive_data(data)
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
        if self.reader.buffered_bytes():
            await self.serving.turns.take()
        elif not await self._wait_idle():
            return None
        status, text = _GAVE_WAY
        with self.place.waiting(connections.Phase.READING):
            try:
                return await self.reader.read()
            except TimeoutError:
                status, text = 408, "the request did not arrive in time"
            except exceptions.MalformedError as error:
                status, text = error.status, str(error)
        await self._refuse(status, text)
        return None

    async def _wait_idle(self) -> bool:
        """Waits for the start of a request; returns whether it arrived."""
        idle_s = self.reader.limits.idle_timeout_s
        with self.place.waiting(connections.Phase.IDLE, idle_s):
            data = await self.socket.receive(request_reader.READ_AHEAD_BYTES)
            self.reader.update_limits()
            self.reader.protocol.receive_data(data)
            return bool(data)
        return False

    @contextlib.contextmanager
    def _stalled(self, size: int) -> collections.abc.Iterator[None]:
        """Waits for a caller to take an answer; see `sockets.Socket.stalled`.

        Raises:
          ConnectionEndedError: The caller takes it too slowly.
        """
        sent_bytes = self.socket.bytes_sent - self._answer_start_bytes
        idle_s = self.reader.limits.idle_timeout_s
        earned_s = sent_bytes / request_reader.MIN_BODY_BYTES_PER_S
        limit_s = min(idle_s, idle_s + earned_s - self._stalled_s)
        begun_s = anyio.current_time()
        held_bytes = size + sockets.LISTENER_SEND_BUFFER_BYTES
        try:
            with self.place.waiting(
                connections.Phase.STALLED, limit_s
            ) as scope:
                self.place.since_s -= self._stalled_s
                self.serving.add_unsent(self.place, held_bytes)
                yield
        finally:
            self.serving.remove_unsent(self.place, held_bytes)
            self._stalled_s += anyio.current_time() - begun_s
        if scope.cancelled_caught:
            raise exceptions.ConnectionEndedError("the caller takes no answer")

    async def _refuse(self, status: int, text: str) -> None:
        """Responds to a request that is not served and ends the stream."""
        self.reader.release()
        if self.reader.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"connection", b"close"), (b"content-type", b"text/plain")]
        body = text.encode() + b"\n"
        headers.append((b"content-length", b"%d" % len(body)))
        if status == responders.UNAVAILABLE:
            headers.append(
                (b"retry-after", b"%d" % connections.FULL_RETRY_AFTER_S)
            )
        head = h11.Response(status_code=status, headers=headers)
        data = (
            (self.reader.protocol.send(head) or b"")
            + (self.reader.protocol.send(h11.Data(data=body)) or b"")
            + (self.reader.protocol.send(h11.EndOfMessage()) or b"")
        )
        logger.info("rejected request: %d %s", status, text)
        if self.place.gave_way:
            self.socket.send_now(data)
            return
        await self.socket.send(data)
        await self.socket.linger()


async def serve_listener(
    listener: socket.socket,
    serving: servings.Serving,
    group: anyio.abc.TaskGroup,
) -> None:
    """Accepts connections and serves each in a task of `group`.

    Returns and closes the listener when `serving.accepting` is cancelled, and
    accepts before what waited until then: closing would reset it.
    """
    with listener:
        with serving.accepting:
            for number in itertools.count(1):
                _begin(await sockets.accept(listener), serving, group)
                is_turn_over = number % connections.ACCEPTS_PER_TURN == 0
                if is_turn_over or serving.open_connections.is_full():
                    await anyio.lowlevel.checkpoint()
        while (opened := sockets.accept_waiting(listener)) is not None:
            _begin(opened, serving, group)


def _begin(
    opened: sockets.Socket,
    serving: servings.Serving,
    group: anyio.abc.TaskGroup,
) -> None:
    """Serves a connection in a task of `group`, if there is a place for it."""
    place = serving.open_connections.open()
    if place is None:
        opened.send_now(connections.FULL_ANSWER)
        opened.close()
        return
    group.start_soon(_serve, opened, serving, place)


async def open_listener(
    place: address.Address,
    serving: servings.Serving,
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


async def _serve(
    opened: sockets.Socket,
    serving: servings.Serving,
    place: connections.Place,
) -> None:
    """Serves one connection and closes it."""
    with contextlib.ExitStack() as stack:
        stack.callback(serving.open_connections.close, place)
        stack.callback(opened.close)
        stack.enter_context(
            contextlib.suppress(exceptions.ConnectionEndedError)
        )
        try:
            await CallerConnection(opened, serving, place).run()
        except exceptions.ConnectionEndedError:
            raise
        except Exception:
            # An error in one connection must not end the process.
            logger.exception("a connection failed by a fault of the program")


def internal_serving(
    handle: servings.Handler, max_body_bytes: int = 1 << 20
) -> servings.Serving:
    """Returns the shared state of a listener for internal use."""
    limits = request_limits.CallerLimits(
        max_body_bytes=max_body_bytes, idle_timeout_s=INTERNAL_IDLE_TIMEOUT_S
    )
    limit_bytes = INTERNAL_MAX_BODIES * max_body_bytes
    return servings.Serving(
        handle,
        lambda: limits,
        request_limits.MemoryLimit(limit_bytes),
        unsent=request_limits.MemoryLimit(limit_bytes),
        open_connections=connections.Connections(
            INTERNAL_MAX_CONNECTIONS,
            connections.INTERNAL_DESCRIPTOR_FRACTION,
        ),
    )
