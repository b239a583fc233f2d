"""TCP relay that can stop forwarding without closing: a silent cut."""

from __future__ import annotations

import contextlib
import typing

import anyio
import anyio.abc

from cactusstile.transport import address

if typing.TYPE_CHECKING:
    import collections.abc

NAMES = ("control-0", "control-1", "control-2")
_CHUNK_BYTES = 65_536
_POLL_S = 0.01
_GONE = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class CuttingRelay:
    """Forwards connections to `upstream` while it is not cut.

    Connections that a process opens are told by its name, which stands in
    its first message.

    Attributes:
      name: Name of the process behind this relay.
      cut_names: Names of processes that are cut off; shared by all relays.
      bound: Address that it listens on.
      upstream: Address that it forwards to.
    """

    def __init__(
        self,
        bound: address.Address,
        upstream: address.Address,
        name: str,
        partitioned_names: set[str],
    ) -> None:
        self.bound = bound
        self.upstream = upstream
        self.name = name
        self.partitioned_names = partitioned_names

    def cut(self) -> None:
        """Holds back bytes in both directions; connections stay open."""
        self.partitioned_names.add(self.name)

    async def handle(self, near: anyio.abc.ByteStream) -> None:
        try:
            async with near:
                await self._join(near)
        except _GONE:
            return

    async def _join(self, near: anyio.abc.ByteStream) -> None:
        first = await near.receive(_CHUNK_BYTES)
        ends = {self.name}
        ends.update(name for name in NAMES if name.encode() in first)
        await self._wait(ends)
        far = await anyio.connect_tcp(self.upstream.host, self.upstream.port)
        async with far, anyio.create_task_group() as group:
            await far.send(first)
            scope = group.cancel_scope
            group.start_soon(self._pump, near, far, ends, scope)
            group.start_soon(self._pump, far, near, ends, scope)

    async def _wait(self, ends: set[str]) -> None:
        while ends & self.partitioned_names:
            await anyio.sleep(_POLL_S)

    async def _pump(
        self,
        source: anyio.abc.ByteStream,
        sink: anyio.abc.ByteStream,
        ends: set[str],
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive(_CHUNK_BYTES)
                await self._wait(ends)
                await sink.send(data)
        except _GONE:
            scope.cancel()


@contextlib.asynccontextmanager
async def open_relay(
    upstream: address.Address,
    name: str = "upstream",
    partitioned_names: set[str] | None = None,
) -> collections.abc.AsyncIterator[CuttingRelay]:
    """Listens on a local port until the context is left."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    chosen = listener.extra(anyio.abc.SocketAttribute.local_port)
    bound = address.Address("127.0.0.1", chosen)
    cut = set() if partitioned_names is None else partitioned_names
    relay = CuttingRelay(bound, upstream, name, cut)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, relay.handle)
        try:
            yield relay
        finally:
            group.cancel_scope.cancel()
