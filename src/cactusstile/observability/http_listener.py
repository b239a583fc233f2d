"""HTTP listeners that run in the event loop of the embedding process."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import functools
import itertools
import logging
import socket
import ssl
import typing

import anyio
import anyio.abc
import anyio.lowlevel
import uvicorn

from cactusstile.limits import connections
from cactusstile.observability import accept_queue
from cactusstile.observability import draining
from cactusstile.observability import limited_protocol
from cactusstile.transport import address
from cactusstile.transport import binding
from cactusstile.transport import listeners

logger = logging.getLogger(__name__)

BACKLOG = 2048
MAX_HEADER_BYTES = 32 * 1024
# Buffers of the operating system for each accepted connection.
RECEIVE_BUFFER_BYTES = 32 * 1024
SEND_BUFFER_BYTES = 256 * 1024
HANDSHAKE_TIMEOUT_S = 5.0
MAX_ADMIN_CONNECTIONS = 64
ABORT_TIMEOUT_S = 1.0
# Longer than the round trip of a distant caller, whose handshake has begun.
ACCEPT_LINGER_S = 0.5


class CannotListenError(OSError):
    """Raised when an address cannot be bound; `errno` is the system's."""


class EmbeddedServer(uvicorn.Server):
    """Uvicorn server that leaves signal handling to the embedding process."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Iterator[None]:
        """Installs no signal handlers."""
        yield


class _Server(EmbeddedServer):
    """Server whose listener accepts the connections."""

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Opens no socket."""
        del sockets
        await self.lifespan.startup()
        self.servers = []
        self.started = True


class HttpListener:
    """A running HTTP listener.

    Attributes:
      bound: Address that the socket is bound to, with the actual port.
      limits: What the connections share.
      closing: Whether answers that begin now end their connection.
      stopped: Set once the server has stopped.
    """

    def __init__(
        self,
        bound_socket: socket.socket,
        app: typing.Any,
        tls: ssl.SSLContext | None,
        limits: limited_protocol.Limits,
    ) -> None:
        """Serves `app` at a bound socket; use `open_listener` instead."""
        host, port = bound_socket.getsockname()[:2]
        self.bound = address.Address(host, port)
        self.limits = limits
        self.closing = False
        self.stopped = anyio.Event()
        self._socket = bound_socket
        closing_app = draining.announce_close(app, lambda: self.closing)
        self._tls = tls
        self._accepting = anyio.CancelScope()
        self._accepted = anyio.Event()
        self._server = _Server(_configure(closing_app))

    def open_connections(self) -> int:
        """Returns the number of open connections."""
        return len(self._connections())

    async def drain(self) -> None:
        """Stops accepting connections and waits for open exchanges to finish.

        Closing the socket would reset connections in the accept queue, and
        closing idle connections at once would lose requests that are on their
        way. Therefore new connections are blocked first, the accept queue is
        emptied during `ACCEPT_LINGER_S`, and connections close once they have
        been idle for a while; see `draining`.
        """
        self.closing = True
        accept_queue.block_new_connections(self._socket)
        await anyio.sleep(ACCEPT_LINGER_S)
        await self._close_socket()
        await draining.close_when_idle(self._connections())
        self._server.should_exit = True
        await self.stopped.wait()

    async def abort(self) -> None:
        """Closes the sockets and aborts all connections and exchanges."""
        await self._close_socket()
        for connection in list(self._connections()):
            connection.transport.abort()
        tasks = self._server.server_state.tasks
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=ABORT_TIMEOUT_S)

    async def _close_socket(self) -> None:
        """Closes the listening socket once nothing waits for it."""
        self._accepting.cancel()
        with anyio.move_on_after(ABORT_TIMEOUT_S):
            await self._accepted.wait()
        self._socket.close()

    def _connections(self) -> set[draining.Connection]:
        """Returns the open connections, as the server updates them."""
        return typing.cast(
            "set[draining.Connection]", self._server.server_state.connections
        )

    async def serve(self) -> None:
        """Serves until drained or cancelled."""
        try:
            self._server.config.load()
            async with anyio.create_task_group() as group:
                group.start_soon(self._accept, group)
                await self._server.serve([])
                group.cancel_scope.cancel()
        finally:
            self.stopped.set()

    async def _accept(self, group: anyio.abc.TaskGroup) -> None:
        """Opens accepted connections in tasks of `group`."""
        with contextlib.ExitStack() as stack:
            stack.callback(self._accepted.set)
            stack.enter_context(self._accepting)
            opened = self.limits.open_connections
            for number in itertools.count(1):
                raw = await listeners.accept(self._socket)
                place = opened.open()
                if place is None:
                    with raw, contextlib.suppress(OSError):
                        raw.send(connections.FULL_ANSWER)
                else:
                    group.start_soon(self._open, raw, place)
                is_turn_over = number % connections.ACCEPTS_PER_TURN == 0
                if is_turn_over or opened.is_full():
                    await anyio.lowlevel.checkpoint()

    async def _open(self, raw: socket.socket, place: connections.Place) -> None:
        """Hands a connection over to the server, once TLS is agreed on.

        Until then, it gives way to new ones as an idle connection does.
        """
        protocol = limited_protocol.LimitedProtocol(
            self._server.config,
            self._server.server_state,
            self.limits,
            place,
        )
        timeout_s = None if self._tls is None else HANDSHAKE_TIMEOUT_S
        try:
            with anyio.CancelScope() as scope:
                place.give_way = scope.cancel
                await asyncio.get_running_loop().connect_accepted_socket(
                    lambda: protocol,
                    raw,
                    ssl=self._tls,
                    ssl_handshake_timeout=timeout_s,
                )
        except OSError as error:
            logger.debug("a connection was not opened: %s", error)
        finally:
            # Unset if the handshake failed or was given up.
            if protocol.transport is None:
                raw.close()
                self.limits.open_connections.close(place)


@contextlib.asynccontextmanager
async def open_listener(
    app: typing.Any,
    listen: address.Address,
    tls: ssl.SSLContext | None = None,
    limits: limited_protocol.Limits | None = None,
) -> collections.abc.AsyncIterator[HttpListener]:
    """Serves `app` until the context is left, which aborts open exchanges.

    Call `HttpListener.drain` before leaving to let open exchanges finish.

    Args:
      app: ASGI application.
      listen: Address to listen on.
      tls: TLS context of the listener; None for plain HTTP.
      limits: Limits on all connections; None for those of pages that
        administrators read.

    Raises:
      CannotListenError: If the address cannot be bound.
    """
    bound_socket = await binding.wait_until_free(
        functools.partial(_bind, listen)
    )
    listener = HttpListener(bound_socket, app, tls, limits or _admin_limits())
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve)
        try:
            yield listener
        finally:
            group.cancel_scope.cancel()
            with anyio.CancelScope(shield=True):
                await listener.abort()


def _admin_limits() -> limited_protocol.Limits:
    opened = connections.Connections(
        MAX_ADMIN_CONNECTIONS, connections.INTERNAL_DESCRIPTOR_FRACTION
    )
    return limited_protocol.Limits(opened, all_in_turns=True)


def _configure(app: typing.Any) -> uvicorn.Config:
    return uvicorn.Config(
        app,
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        proxy_headers=False,
        ws="none",
        backlog=BACKLOG,
        timeout_keep_alive=int(limited_protocol.IDLE_TIMEOUT_S),
        http="h11",
        h11_max_incomplete_event_size=MAX_HEADER_BYTES,
    )


async def _bind(listen: address.Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
    # asyncio disables Nagle's algorithm only for sockets created with an
    # explicit TCP protocol number.
    bound_socket = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        bound_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        bound_socket.bind((listen.host, listen.port))
        bound_socket.listen(BACKLOG)
        bound_socket.setblocking(False)
    except OSError as error:
        bound_socket.close()
        raise CannotListenError(
            error.errno, f"cannot listen on {listen}: {error.strerror}"
        ) from error
    return bound_socket
