"""TCP relay that can stop forwarding without closing: a silent cut."""

from __future__ import annotations

import contextlib
import typing

import anyio
import anyio.abc

from cactusstile.transport import address

if typing.TYPE_CHECKING:
    import collections.abc

_CHUNK_BYTES = 65_536
_GONE = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class CuttingRelay:
    """Forwards connections to `upstream` while it is not cut.

    Attributes:
      bound: Address that it listens on.
      upstream: Address that it forwards to.
      is_cut: Whether bytes are held back, in both directions.
    """

    def __init__(
        self, bound: address.Address, upstream: address.Address
    ) -> None:
        self.bound = bound
        self.upstream = upstream
        self.is_cut = False
        self._healed = anyio.Event()

    def cut(self) -> None:
        """Stops forwarding; connections stay open."""
        self.is_cut = True

    def heal(self) -> None:
        """Forwards again, also what was held back."""
        self.is_cut = False
        self._healed.set()
        self._healed = anyio.Event()

    async def handle(self, near: anyio.abc.ByteStream) -> None:
        try:
            async with near:
                await self._join(near)
        except _GONE:
            return

    async def _join(self, near: anyio.abc.ByteStream) -> None:
        await self._wait()
        far = await anyio.connect_tcp(self.upstream.host, self.upstream.port)
        async with far, anyio.create_task_group() as group:
            group.start_soon(self._pump, near, far, group.cancel_scope)
            group.start_soon(self._pump, far, near, group.cancel_scope)

    async def _wait(self) -> None:
        while self.is_cut:
            await self._healed.wait()

    async def _pump(
        self,
        source: anyio.abc.ByteStream,
        sink: anyio.abc.ByteStream,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive(_CHUNK_BYTES)
                await self._wait()
                await sink.send(data)
        except _GONE:
            scope.cancel()


@contextlib.asynccontextmanager
async def open_relay(
    upstream: address.Address, port: int = 0
) -> collections.abc.AsyncIterator[CuttingRelay]:
    """Listens on a local port until the context is left."""
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=port
    )
    chosen = listener.extra(anyio.abc.SocketAttribute.local_port)
    relay = CuttingRelay(address.Address("127.0.0.1", chosen), upstream)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, relay.handle)
        try:
            yield relay
        finally:
            group.cancel_scope.cancel()
