"""Outgoing frames of a connection, coalesced into few writes."""

from __future__ import annotations

import logging

import anyio
import anyio.abc

logger = logging.getLogger(__name__)

MAX_PENDING_BYTES = 8 * 1024 * 1024
# Time of a write that is logged.
LATE_WRITE_S = 0.5
_MAX_WRITE_BYTES = 256 * 1024


class Outbox:
    """Queue of frames to be written to the socket.

    Attributes:
      taken: Number of frames passed to the socket, completely or partially.
      queued: Total number of frames ever queued.
      pending_bytes: Bytes in the queue.
      peer: Role and name of the peer, for logs.
    """

    def __init__(self, peer: str = "") -> None:
        """Starts empty."""
        self.peer = peer
        self.taken = 0
        self.queued = 0
        self.pending_bytes = 0
        self._frames: list[bytes] = []
        self._filled = anyio.Event()
        self._drained = anyio.Event()

    def put(self, data: bytes) -> int:
        """Queues a frame and returns its position, counted from 1."""
        self._frames.append(data)
        self.pending_bytes += len(data)
        self.queued += 1
        self._filled.set()
        return self.queued

    def was_taken(self, position: int) -> bool:
        """Returns whether any byte of the frame may have been sent."""
        return position <= self.taken

    async def wait_for_room(self) -> None:
        """Waits until fewer than `MAX_PENDING_BYTES` are pending."""
        while self.pending_bytes >= MAX_PENDING_BYTES:
            await self._drained.wait()

    async def write_to(self, stream: anyio.abc.ByteStream) -> None:
        """Writes frames until it is cancelled or the stream fails."""
        while True:
            if not self._frames:
                self._filled = anyio.Event()
                await self._filled.wait()
            batch = self._take_batch()
            began_s = anyio.current_time()
            await stream.send(b"".join(batch))
            self._log_if_late(anyio.current_time() - began_s)
            self._drained.set()
            self._drained = anyio.Event()

    def _log_if_late(self, took_s: float) -> None:
        if took_s <= LATE_WRITE_S:
            return
        logger.info(
            "a peer was slow to take what was sent",
            extra={
                "peer": self.peer,
                "took_ms": round(took_s * 1000),
                "waiting_bytes": self.pending_bytes,
            },
        )

    def _take_batch(self) -> list[bytes]:
        size = 0
        count = 0
        for data in self._frames:
            size += len(data)
            count += 1
            if size >= _MAX_WRITE_BYTES:
                break
        batch = self._frames[:count]
        del self._frames[:count]
        self.taken += count
        self.pending_bytes -= size
        return batch
