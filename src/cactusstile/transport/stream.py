"""Open calls: the receiving side of a stream and the sending side's credit."""

from __future__ import annotations

import collections
import collections.abc

import anyio

from cactusstile.transport import exceptions
from cactusstile.transport import frame

WINDOW_BYTES = 1024 * 1024


class Inbox:
    """Items of one open call that wait for the caller.

    Attributes:
      position: Position of the call's frame in the outbox.
      ended: Whether the final message or an error has arrived.
      pings: Whether the connection pings a silent callee meanwhile.
    """

    def __init__(
        self, grant_credit: collections.abc.Callable[[int], None]
    ) -> None:
        """Sends credit back through `grant_credit` as items are consumed."""
        self.position = 0
        self.ended = False
        self.pings = True
        self._grant_credit = grant_credit
        self._items: collections.deque[tuple[object, int]] = collections.deque()
        self._buffered_bytes = 0
        self._consumed_bytes = 0
        self._final: object = None
        self._error: Exception | None = None
        self._changed = anyio.Event()

    def put(self, item: object, size: int) -> None:
        """Buffers an item.

        Raises:
          ProtocolError: If the peer sends beyond its credit.
        """
        self._buffered_bytes += size
        if self._buffered_bytes > WINDOW_BYTES + frame.MAX_PAYLOAD_BYTES:
            raise exceptions.ProtocolError("peer sends beyond its credit")
        self._items.append((item, size))
        self._changed.set()

    def finish(self, final: object) -> None:
        """Ends the call with its final message."""
        self._final = final
        self.ended = True
        self._changed.set()

    def fail(self, error: Exception) -> None:
        """Ends the call with an error, after the items that came before."""
        if self.ended:
            return
        self._error = error
        self.ended = True
        self._changed.set()

    async def receive(self) -> object | None:
        """Returns the next item, or None at the call's end.

        Raises:
          TransportError: If the call failed.
        """
        while not self._items:
            if self._error is not None:
                raise self._error
            if self.ended:
                return None
            self._changed = anyio.Event()
            await self._changed.wait()
        return self._take()

    def receive_ready(self) -> object | None:
        """Returns the next item if it has arrived already, else None."""
        return self._take() if self._items else None

    def _take(self) -> object:
        item, size = self._items.popleft()
        self._buffered_bytes -= size
        self._consumed_bytes += size
        if self._consumed_bytes >= WINDOW_BYTES // 2:
            self._grant_credit(self._consumed_bytes)
            self._consumed_bytes = 0
        return item

    async def result(self) -> object:
        """Returns the final message and drops items before it."""
        while await self.receive() is not None:
            continue
        return self._final


class Credit:
    """Bytes that the peer is ready to receive on one call."""

    def __init__(self) -> None:
        """Starts with a full window."""
        self.available_bytes = WINDOW_BYTES
        self._granted = anyio.Event()

    def grant(self, size: int) -> None:
        """Adds `size` bytes."""
        self.available_bytes = min(
            WINDOW_BYTES, self.available_bytes + max(0, size)
        )
        self._granted.set()

    async def spend(self, size: int) -> None:
        """Takes `size` bytes as soon as any credit is left."""
        while self.available_bytes <= 0:
            self._granted = anyio.Event()
            await self._granted.wait()
        self.available_bytes -= size
