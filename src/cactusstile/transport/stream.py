"""Flow control of open calls: receive buffers and credit for sending."""

from __future__ import annotations

import collections
import collections.abc

import anyio

from cactusstile.transport import exceptions
from cactusstile.transport import frame

WINDOW_BYTES = 1024 * 1024


class Inbox:
    """Received items of an open call that the caller has not consumed.

    Attributes:
      position: Position of the call's frame in the outbox.
      ended: Whether the final message or an error has been received.
      pings: Whether the connection pings a silent callee during the call.
      received_s: Loop time at which the bytes of the item that was consumed
        last were read.
    """

    def __init__(
        self, grant_credit: collections.abc.Callable[[int], None]
    ) -> None:
        """Creates an inbox that grants credit as items are consumed."""
        self.position = 0
        self.ended = False
        self.pings = True
        self.received_s = float("-inf")
        self._grant_credit = grant_credit
        self._items: collections.deque[tuple[object, int, float]] = (
            collections.deque()
        )
        self._buffered_bytes = 0
        self._consumed_bytes = 0
        self._final: object = None
        self._error: Exception | None = None
        self._changed = anyio.Event()

    def put(self, item: object, size: int, received_s: float) -> None:
        """Buffers an item.

        Args:
          item: The item.
          size: Size of its payload in bytes.
          received_s: Loop time at which its bytes were read.

        Raises:
          ProtocolError: If the peer exceeds its credit.
        """
        self._buffered_bytes += size
        if self._buffered_bytes > WINDOW_BYTES + frame.MAX_PAYLOAD_BYTES:
            raise exceptions.ProtocolError("peer exceeds its credit")
        self._items.append((item, size, received_s))
        self._changed.set()

    def finish(self, final: object) -> None:
        """Ends the call with its final message."""
        self._final = final
        self.ended = True
        self._changed.set()

    def fail(self, error: Exception) -> None:
        """Ends the call with an error, raised after the buffered items."""
        if self.ended:
            return
        self._error = error
        self.ended = True
        self._changed.set()

    async def receive(self) -> object | None:
        """Returns the next item; None at the end of the call.

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
        """Returns the next item if it has already arrived, else None."""
        return self._take() if self._items else None

    def _take(self) -> object:
        item, size, self.received_s = self._items.popleft()
        self._buffered_bytes -= size
        self._consumed_bytes += size
        if self._consumed_bytes >= WINDOW_BYTES // 2:
            self._grant_credit(self._consumed_bytes)
            self._consumed_bytes = 0
        return item

    async def result(self) -> object:
        """Returns the final message and discards unread items."""
        while await self.receive() is not None:
            continue
        return self._final


class Credit:
    """Number of bytes that the peer is ready to receive on a call."""

    def __init__(self) -> None:
        """Starts with a full window."""
        self.available_bytes = WINDOW_BYTES
        self._granted = anyio.Event()

    def grant(self, size: int) -> None:
        """Adds `size` bytes, up to a full window."""
        self.available_bytes = min(
            WINDOW_BYTES, self.available_bytes + max(0, size)
        )
        self._granted.set()

    async def spend(self, size: int) -> None:
        """Waits until any credit is available, then spends `size` bytes."""
        while self.available_bytes <= 0:
            self._granted = anyio.Event()
            await self._granted.wait()
        self.available_bytes -= size
