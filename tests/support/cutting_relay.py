"""TCP relay that can partition a process without closing connections."""

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
_CLOSED_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class CuttingRelay:
    """Forwards connections to `upstream` while neither end is partitioned.

    The relay identifies the process that opened a connection by its name,
    which the first message contains.

    Attributes:
      name: Name of the process behind this relay.
      partitioned_names: Names of the partitioned processes; shared by all
        relays.
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
        """Partitions the process: connections stay open but pass no bytes."""
        self.partitioned_names.add(self.name)

    async def handle(self, downstream: anyio.abc.ByteStream) -> None:
        """Relays one accepted connection until either end closes it."""
        try:
            async with downstream:
                await self._relay(downstream)
        except _CLOSED_ERRORS:
            return

    async def _relay(self, downstream: anyio.abc.ByteStream) -> None:
        first = await downstream.receive(_CHUNK_BYTES)
        endpoints = {self.name}
        endpoints.update(name for name in NAMES if name.encode() in first)
        await self._wait_until_connected(endpoints)
        upstream_stream = await anyio.connect_tcp(
            self.upstream.host, self.upstream.port
        )
        async with upstream_stream, anyio.create_task_group() as group:
            await upstream_stream.send(first)
            scope = group.cancel_scope
            group.start_soon(
                self._pump, downstream, upstream_stream, endpoints, scope
            )
            group.start_soon(
                self._pump, upstream_stream, downstream, endpoints, scope
            )

    async def _wait_until_connected(self, endpoints: set[str]) -> None:
        while endpoints & self.partitioned_names:
            await anyio.sleep(_POLL_S)

    async def _pump(
        self,
        source: anyio.abc.ByteStream,
        sink: anyio.abc.ByteStream,
        endpoints: set[str],
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive(_CHUNK_BYTES)
                await self._wait_until_connected(endpoints)
                await sink.send(data)
        except _CLOSED_ERRORS:
            scope.cancel()


@contextlib.asynccontextmanager
async def open_relay(
    upstream: address.Address,
    name: str = "upstream",
    partitioned_names: set[str] | None = None,
) -> collections.abc.AsyncIterator[CuttingRelay]:
    """Listens on a free local port until the context exits."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    bound = address.Address("127.0.0.1", port)
    partitioned = set() if partitioned_names is None else partitioned_names
    relay = CuttingRelay(bound, upstream, name, partitioned)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, relay.handle)
        try:
            yield relay
        finally:
            group.cancel_scope.cancel()
