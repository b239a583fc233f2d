"""TCP relays on loopback that delay, reset, silence or cut connections."""

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

ANYONE = ""
CONNECT_TIMEOUT_S = 1.0
_POLL_S = 0.01
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)


@attrs.define
class Links:
    """State of all links of a site.

    Attributes:
      names: Names of processes, which stand in what they send first.
      held: Pairs of sender and receiver between which no byte passes;
        `ANYONE` stands for all.
      delays_s: Delay of each piece of bytes, by the process behind the relay.
    """

    names: tuple[str, ...] = ()
    held: set[tuple[str, str]] = attrs.field(factory=set)
    delays_s: dict[str, float] = attrs.field(factory=dict)

    def is_held(self, sender: str, receiver: str) -> bool:
        """Returns whether bytes from one process to another wait."""
        if not self.held:
            return False
        return bool(
            self.held
            & {(sender, receiver), (ANYONE, receiver), (sender, ANYONE)}
        )


@attrs.define(eq=False)
class _Pair:
    """A relayed connection.

    Attributes:
      near: Connection of the caller.
      caller: Name of the caller; `ANYONE` if it does not tell.
      silent: Whether its bytes are dropped from now on.
      far: Connection to the process behind the relay.
    """

    near: sockets.Socket
    caller: str = ANYONE
    silent: bool = False
    far: sockets.Socket | None = None

    def abort(self) -> None:
        """Resets both connections."""
        for one in (self.near, self.far):
            if one is None or one.raw.fileno() < 0:
                continue
            one.raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE
            )
            one.close()


@attrs.define
class Relay:
    """Forwards the connections to one process.

    Attributes:
      name: Name of the process behind it.
      upstream: Where that process listens.
      links: State of the links.
      pairs: Connections that are open.
    """

    name: str
    upstream: address.Address
    links: Links
    pairs: set[_Pair] = attrs.field(factory=set)

    def reset(self) -> None:
        """Resets all connections."""
        for pair in tuple(self.pairs):
            pair.abort()

    def silence(self) -> None:
        """Drops all further bytes of the connections that are open now."""
        for pair in self.pairs:
            pair.silent = True

    async def serve(self, listener: socket.socket) -> None:
        """Accepts connections until cancelled."""
        with listener:
            async with anyio.create_task_group() as group:
                while True:
                    near = await sockets.accept(listener)
                    group.start_soon(self._join, _Pair(near))

    async def _join(self, pair: _Pair) -> None:
        self.pairs.add(pair)
        with contextlib.ExitStack() as stack:
            stack.callback(self.pairs.discard, pair)
            stack.callback(pair.near.close)
            stack.enter_context(contextlib.suppress(exceptions.HttpError))
            first = await pair.near.receive()
            pair.caller = self._caller_of(first)
            await self._wait(pair.caller, self.name)
            far = await self._connect(pair)
            if far is None:
                return
            pair.far = far
            stack.callback(far.close)
            await self._relay(pair, far, first)

    def _caller_of(self, first: bytes) -> str:
        for name in self.links.names:
            if name.encode() in first:
                return name
        return ANYONE

    async def _connect(self, pair: _Pair) -> sockets.Socket | None:
        """Connects to the process; resets the caller if that fails."""
        try:
            return await sockets.connect(self.upstream, CONNECT_TIMEOUT_S)
        except exceptions.UnreachableError:
            pair.abort()
            return None

    async def _relay(
        self, pair: _Pair, far: sockets.Socket, first: bytes
    ) -> None:
        async with anyio.create_task_group() as group:

            async def pump(
                source: sockets.Socket,
                sink: sockets.Socket,
                ends: tuple[str, str],
                data: bytes,
            ) -> None:
                with contextlib.suppress(exceptions.HttpError, OSError):
                    await self._pump(pair, source, sink, ends, data)
                    sink.raw.shutdown(socket.SHUT_WR)
                    return
                pair.abort()
                group.cancel_scope.cancel()

            forth = (pair.caller, self.name)
            back = (self.name, pair.caller)
            group.start_soon(pump, pair.near, far, forth, first)
            group.start_soon(pump, far, pair.near, back, b"")

    async def _pump(
        self,
        pair: _Pair,
        source: sockets.Socket,
        sink: sockets.Socket,
        ends: tuple[str, str],
        data: bytes,
    ) -> None:
        """Passes bytes on until the source ends."""
        while True:
            if data and not pair.silent:
                await self._wait(*ends)
                await anyio.sleep(self.links.delays_s.get(self.name, 0.0))
                await sink.send(data)
            data = await source.receive()
            if not data:
                return

    async def _wait(self, sender: str, receiver: str) -> None:
        while self.links.is_held(sender, receiver):
            await anyio.sleep(_POLL_S)


def open_relay(
    name: str,
    bound: address.Address,
    upstream: address.Address,
    links: Links,
    group: anyio.abc.TaskGroup,
) -> Relay:
    """Listens at `bound` until `group` ends.

    Raises:
      OSError: The address cannot be bound.
    """
    relay = Relay(name, upstream, links)
    group.start_soon(relay.serve, sockets.listen(bound))
    return relay
