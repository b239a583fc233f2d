"""Limited links between agents and stores, shaped on real connections.

Agents reach the stores of other data centres through streams that pass bytes
at the bandwidth of the link, both directions together, as all connections of
a link share it.
"""

from __future__ import annotations

import typing

import anyio
import anyio.abc
import attrs

from cactusstile.state import model
from cactusstile.transport import pool

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.transport import address


@attrs.define
class Link:
    """A link between two data centres.

    Attributes:
      bytes_per_s: Bandwidth.
      passed_bytes: Bytes that went over it.
      free_s: Time on the loop's clock at which it has passed what it took.
    """

    bytes_per_s: float
    passed_bytes: int = 0
    free_s: float = 0.0

    async def carry(self, size: int) -> None:
        """Returns once `size` bytes are through."""
        self.passed_bytes += size
        start_s = max(anyio.current_time(), self.free_s)
        self.free_s = start_s + size / self.bytes_per_s
        await anyio.sleep_until(self.free_s)


class ShapedStream(anyio.abc.ByteStream):
    """A byte stream over a limited link."""

    def __init__(self, stream: anyio.abc.ByteStream, link: Link) -> None:
        """Passes the bytes of `stream` at the speed of `link`."""
        self._stream = stream
        self._link = link

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Returns received bytes once the link has passed them."""
        data = await self._stream.receive(max_bytes)
        await self._link.carry(len(data))
        return data

    async def send(self, item: bytes) -> None:
        """Sends bytes once the link has passed them."""
        await self._link.carry(len(item))
        await self._stream.send(item)

    async def send_eof(self) -> None:
        """Ends the sending direction."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Closes the stream."""
        await self._stream.aclose()

    @property
    def extra_attributes(
        self,
    ) -> collections.abc.Mapping[
        typing.Any, collections.abc.Callable[[], typing.Any]
    ]:
        """Attributes of the stream beneath."""
        return self._stream.extra_attributes


class ShapedLinks:
    """All limited links of a fleet.

    Attributes:
      links: Links by sorted pair of data centres.
    """

    def __init__(self, fleet: model.Fleet) -> None:
        """Shapes the links that `fleet` declares."""
        self.links = {
            pair: Link(link.bytes_per_s) for pair, link in fleet.links.items()
        }
        self._store_sides = {
            store.agent: store.data_centre for store in fleet.stores()
        }

    def dial_from(self, data_centre: str) -> pool.Dial:
        """Returns what opens streams for an agent in a data centre."""

        async def dial(target: address.Address) -> anyio.abc.ByteStream:
            stream = await pool.dial_tcp(target)
            far = self._store_sides.get(target, data_centre)
            low, high = sorted((data_centre, far))
            link = self.links.get((low, high))
            return stream if link is None else ShapedStream(stream, link)

        return dial

    def slow_down(self, factor: float) -> None:
        """Multiplies the bandwidth of all links."""
        for link in self.links.values():
            link.bytes_per_s *= factor

    def passed_bytes(self) -> int:
        """Returns the bytes that went over all links."""
        return sum(link.passed_bytes for link in self.links.values())
