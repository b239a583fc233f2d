"""TCP relays on loopback that delay, reset, drop or block connections."""

from __future__ import annotations

import contextlib
import socket
import struct

import anyio
import anyio.abc
import attrs

from cactusstile.http import exceptions
from cactusstile.http import sockets
from cactusstile.transport import address

ANY_PROCESS = ""
CONNECT_TIMEOUT_S = 1.0
_POLL_S = 0.01
_STALLED_BACKLOG = 1
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)


@attrs.define
class Links:
    """State of all links of a site.

    Attributes:
      names: Names of processes. The first message of a connection contains
        the name of the process that opened it.
      blocked: Pairs of sender and receiver between which no bytes pass;
        `ANY_PROCESS` matches all.
      delays_s: Delay of each received chunk, by the process behind the relay.
    """

    names: tuple[str, ...] = ()
    blocked: set[tuple[str, str]] = attrs.field(factory=set)
    delays_s: dict[str, float] = attrs.field(factory=dict)

    def is_blocked(self, sender: str, receiver: str) -> bool:
        """Returns whether bytes from one process to another are blocked."""
        if not self.blocked:
            return False
        return bool(
            self.blocked
            & {
                (sender, receiver),
                (ANY_PROCESS, receiver),
                (sender, ANY_PROCESS),
            }
        )


@attrs.define(eq=False)
class _RelayedConnection:
    """A relayed connection.

    Attributes:
      downstream: Connection of the caller.
      caller: Name of the caller; `ANY_PROCESS` if it is not identified.
      silent: Whether further bytes are dropped.
      upstream: Connection to the process behind the relay; None before it is
        open.
    """

    downstream: sockets.Socket
    caller: str = ANY_PROCESS
    silent: bool = False
    upstream: sockets.Socket | None = None

    def abort(self) -> None:
        """Resets both connections."""
        for connection in (self.downstream, self.upstream):
            if connection is None or connection.raw.fileno() < 0:
                continue
            connection.raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE
            )
            connection.close()


@attrs.define
class Relay:
    """Forwards the connections to one process.

    Attributes:
      name: Name of the process behind the relay.
      upstream: Address that the process listens on.
      links: State of the links.
      connections: Open connections.
      accepts: Whether it accepts connections.
      listener: Its listener; None before it serves.
    """

    name: str
    upstream: address.Address
    links: Links
    accepts: bool = True
    listener: socket.socket | None = None
    connections: set[_RelayedConnection] = attrs.field(factory=set)

    def reset(self) -> None:
        """Resets all connections."""
        for relayed in tuple(self.connections):
            relayed.abort()

    def silence(self) -> None:
        """Drops all further bytes of the currently open connections."""
        for relayed in self.connections:
            relayed.silent = True

    def stall(self) -> None:
        """Accepts nothing and lets few connections wait, until `resume`."""
        self.accepts = False
        if self.listener is not None:
            self.listener.listen(_STALLED_BACKLOG)

    def resume(self) -> None:
        """Accepts connections again."""
        if self.listener is not None:
            self.listener.listen(sockets.BACKLOG_CONNECTIONS)
        self.accepts = True

    async def serve(self, listener: socket.socket) -> None:
        """Accepts connections until cancelled."""
        self.listener = listener
        with listener:
            async with anyio.create_task_group() as group:
                while True:
                    while not self.accepts:
                        await anyio.sleep(_POLL_S)
                    accepted = await sockets.accept(listener)
                    group.start_soon(self._handle, _RelayedConnection(accepted))

    async def _handle(self, relayed: _RelayedConnection) -> None:
        self.connections.add(relayed)
        with contextlib.ExitStack() as stack:
            stack.callback(self.connections.discard, relayed)
            stack.callback(relayed.downstream.close)
            stack.enter_context(contextlib.suppress(exceptions.HttpError))
            first = await relayed.downstream.receive()
            relayed.caller = self._caller_of(first)
            await self._wait_while_blocked(relayed.caller, self.name)
            upstream = await self._connect(relayed)
            if upstream is None:
                return
            relayed.upstream = upstream
            stack.callback(upstream.close)
            await self._relay(relayed, upstream, first)

    def _caller_of(self, first: bytes) -> str:
        for name in self.links.names:
            if name.encode() in first:
                return name
        return ANY_PROCESS

    async def _connect(
        self, relayed: _RelayedConnection
    ) -> sockets.Socket | None:
        """Connects to the process; resets the caller if that fails."""
        try:
            return await sockets.connect(self.upstream, CONNECT_TIMEOUT_S)
        except exceptions.UnreachableError:
            relayed.abort()
            return None

    async def _relay(
        self,
        relayed: _RelayedConnection,
        upstream: sockets.Socket,
        first: bytes,
    ) -> None:
        async with anyio.create_task_group() as group:

            async def pump(
                source: sockets.Socket,
                sink: sockets.Socket,
                endpoints: tuple[str, str],
                data: bytes,
            ) -> None:
                with contextlib.suppress(exceptions.HttpError, OSError):
                    await self._pump(relayed, source, sink, endpoints, data)
                    sink.raw.shutdown(socket.SHUT_WR)
                    return
                relayed.abort()
                group.cancel_scope.cancel()

            to_upstream = (relayed.caller, self.name)
            to_downstream = (self.name, relayed.caller)
            group.start_soon(
                pump, relayed.downstream, upstream, to_upstream, first
            )
            group.start_soon(
                pump, upstream, relayed.downstream, to_downstream, b""
            )

    async def _pump(
        self,
        relayed: _RelayedConnection,
        source: sockets.Socket,
        sink: sockets.Socket,
        endpoints: tuple[str, str],
        data: bytes,
    ) -> None:
        """Forwards bytes until the source ends."""
        while True:
            if data and not relayed.silent:
                await self._wait_while_blocked(*endpoints)
                await anyio.sleep(self.links.delays_s.get(self.name, 0.0))
                await sink.send(data)
            data = await source.receive()
            if not data:
                return

    async def _wait_while_blocked(self, sender: str, receiver: str) -> None:
        while self.links.is_blocked(sender, receiver):
            await anyio.sleep(_POLL_S)


def open_relay(
    name: str,
    bound: address.Address,
    upstream: address.Address,
    links: Links,
    group: anyio.abc.TaskGroup,
) -> Relay:
    """Opens a relay that listens on `bound` until `group` ends.

    Raises:
      OSError: The address cannot be bound.
    """
    relay = Relay(name, upstream, links)
    group.start_soon(relay.serve, sockets.listen(bound))
    return relay
