"""Bandwidth limits on real connections between agents and stores.

Agents reach the stores of other data centres through streams that limit the
transfer rate. All connections of a link share its bandwidth, in both
directions together.
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
      bytes_per_s: Bandwidth in bytes per second.
      passed_bytes: Number of bytes transferred so far.
      free_s: Time on the event loop's clock at which all accepted bytes are
        transferred.
    """

    bytes_per_s: float
    passed_bytes: int = 0
    free_s: float = 0.0

    async def carry(self, size: int) -> None:
        """Waits until the link has transferred `size` more bytes."""
        self.passed_bytes += size
        start_s = max(anyio.current_time(), self.free_s)
        self.free_s = start_s + size / self.bytes_per_s
        await anyio.sleep_until(self.free_s)


class ShapedStream(anyio.abc.ByteStream):
    """A byte stream over a limited link."""

    def __init__(self, stream: anyio.abc.ByteStream, link: Link) -> None:
        """Limits `stream` to the bandwidth of `link`."""
        self._stream = stream
        self._link = link

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Receives bytes and waits until the link has transferred them."""
        data = await self._stream.receive(max_bytes)
        await self._link.carry(len(data))
        return data

    async def send(self, item: bytes) -> None:
        """Waits until the link has transferred the bytes, then sends them."""
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
        """Attributes of the underlying stream."""
        return self._stream.extra_attributes


class ShapedLinks:
    """All limited links of a fleet.

    Attributes:
      links: Links by sorted pair of data centres.
    """

    def __init__(self, fleet: model.Fleet) -> None:
        """Creates the links that `fleet` declares."""
        self.links = {
            pair: Link(link.bytes_per_s) for pair, link in fleet.links.items()
        }
        self._store_data_centres = {
            store.agent: store.data_centre for store in fleet.stores()
        }

    def dial_from(self, data_centre: str) -> pool.Dial:
        """Returns a dial function for an agent in a data centre."""

        async def dial(target: address.Address) -> anyio.abc.ByteStream:
            stream = await pool.dial_tcp(target)
            store_data_centre = self._store_data_centres.get(
                target, data_centre
            )
            low, high = sorted((data_centre, store_data_centre))
            link = self.links.get((low, high))
            return stream if link is None else ShapedStream(stream, link)

        return dial

    def slow_down(self, factor: float) -> None:
        """Multiplies the bandwidth of all links."""
        for link in self.links.values():
            link.bytes_per_s *= factor

    def passed_bytes(self) -> int:
        """Returns the number of bytes transferred over all links."""
        return sum(link.passed_bytes for link in self.links.values())
