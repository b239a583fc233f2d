"""Server side of the transport: accepts connections."""

from __future__ import annotations

import contextlib
import functools
import logging
import socket
import typing

import anyio
import anyio.abc
import attrs

from cactusstile import guards
from cactusstile.transport import address
from cactusstile.transport import binding
from cactusstile.transport import connection
from cactusstile.transport import exceptions
from cactusstile.transport import handshake
from cactusstile.transport import listeners

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.transport import incoming

logger = logging.getLogger(__name__)

HANDSHAKE_TIMEOUT_S = 3.0


@attrs.define
class Server:
    """A running server.

    Attributes:
      bound: Address on which the server listens, with the actual port.
      connections: Open connections that completed the handshake.
    """

    bound: address.Address
    connections: set[connection.Connection] = attrs.field(factory=set)


@attrs.frozen
class _Acceptor:
    """Accepts and serves connections of a server."""

    server: Server
    identity: handshake.Identity
    secrets: handshake.Secrets
    handlers: incoming.Handlers
    timing: connection.Timing | None
    guard: guards.Guard = attrs.field(
        factory=lambda: guards.Guard("accepted connections")
    )

    async def handle(self, raw: socket.socket) -> None:
        try:
            async with await _open_stream(raw) as byte_stream:
                await self._serve(byte_stream)
        except (exceptions.TransportError, TimeoutError) as error:
            logger.warning("rejected connection: %s", error)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            _ResetError,
        ):
            logger.debug("peer closed the connection during the handshake")

    async def accept(
        self, listener: socket.socket, group: anyio.abc.TaskGroup
    ) -> None:
        """Serves each connection of a listener in a task of its own."""
        while True:
            raw = await listeners.accept(listener, _configure)
            group.start_soon(self.guard.run, self.handle, raw)

    async def _serve(self, byte_stream: anyio.abc.ByteStream) -> None:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            peer, early, decoder = await handshake.accept(
                byte_stream, self.identity, self.secrets
            )
        opened = connection.Connection(
            byte_stream, peer, decoder, self.handlers, self.timing
        )
        self.server.connections.add(opened)
        try:
            await opened.run(early)
        finally:
            self.server.connections.discard(opened)


class _ResetError(Exception):
    """Raised for a connection that was reset before it was accepted."""


def _configure(raw: socket.socket) -> None:
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


async def _open_stream(raw: socket.socket) -> anyio.abc.SocketStream:
    """Returns the stream of a connection; closes it if that fails.

    Raises:
      _ResetError: The peer has reset the connection.
    """
    with contextlib.ExitStack() as stack:
        stack.callback(raw.close)
        try:
            opened = await anyio.abc.SocketStream.from_socket(raw)
        except (OSError, ValueError) as error:
            raise _ResetError(str(error)) from error
        stack.pop_all()
        return opened


async def _bind(listen: address.Address) -> socket.socket:
    try:
        raw = binding.bind(listen, socket.SOCK_STREAM)
        raw.listen(binding.BACKLOG_CONNECTIONS)
    except OSError as error:
        raise OSError(
            error.errno, f"cannot listen on {listen}: {error.strerror}"
        ) from error
    return raw


@contextlib.asynccontextmanager
async def open_server(
    listen: address.Address,
    identity: handshake.Identity,
    secrets: handshake.Secrets,
    handlers: incoming.Handlers,
    timing: connection.Timing | None = None,
) -> collections.abc.AsyncIterator[Server]:
    """Serves until the context exits, which closes all connections.

    Raises:
      OSError: If the address cannot be bound; the message contains the address.
    """
    listener = await binding.wait_until_free(functools.partial(_bind, listen))
    port = listener.getsockname()[1]
    server = Server(address.Address(listen.host, port))
    acceptor = _Acceptor(server, identity, secrets, handlers, timing)
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(acceptor.accept, listener, group)
            try:
                yield server
            finally:
                group.cancel_scope.cancel()
    finally:
        listener.close()
