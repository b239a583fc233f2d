"""Limit on the large answers that a gateway holds while it relays them."""

from __future__ import annotations

import contextlib
import functools
import sys
import typing

import anyio
import attrs

from cactusstile.http import messages
from cactusstile.http import targets

if typing.TYPE_CHECKING:
    import collections.abc

# Limit of an answer that is buffered completely before it is relayed.
MAX_ANSWER_BYTES = 8 << 20


@attrs.define
class AnswerMemory:
    """Memory for large answers; who needs more waits in order of arrival.

    Attributes:
      limit_bytes: Maximum size of all answers.
      used_bytes: Size of the answers that are held.
      turn: Held by the one that waits for room.
      freed: Set when an answer is no longer held.
    """

    limit_bytes: int = sys.maxsize
    used_bytes: int = 0
    turn: anyio.Lock = attrs.field(factory=anyio.Lock)
    freed: anyio.Event = attrs.field(factory=anyio.Event)

    def has_room(self, size: int) -> bool:
        """Returns whether `size` bytes are free."""
        return self.used_bytes + size <= self.limit_bytes

    @contextlib.contextmanager
    def hold(self) -> collections.abc.Iterator[Holding]:
        """Returns memory for the answer of one attempt; exit releases it."""
        holding = Holding(self)
        try:
            yield holding
        finally:
            self.used_bytes -= holding.size
            self.freed.set()


@attrs.define
class Holding:
    """Memory for one answer.

    Attributes:
      memory: Where it was taken from.
      size: Bytes that were taken.
    """

    memory: AnswerMemory
    size: int = 0

    async def take(self, size: int) -> None:
        """Waits until `size` bytes, at most the limit, are free.

        It is called once an attempt: one that held a part and waited for more
        could wait for another one that does the same.
        """
        memory = self.memory
        size = min(size, memory.limit_bytes)
        if memory.turn.locked() or not memory.has_room(size):
            async with memory.turn:
                while not memory.has_room(size):
                    memory.freed = anyio.Event()
                    await memory.freed.wait()
        # Without a wait nothing ends an answer that arrived in a pause of this
        # process in which its time ran out.
        memory.used_bytes += size
        self.size += size

    async def read_body(
        self,
        connection: targets.TargetConnection,
        head: messages.ResponseHead,
    ) -> bytes:
        """Returns the body of an answer; waits for memory if it is large.

        Raises:
          HttpError: The connection failed or the body is malformed or too
            large.
        """
        declared_bytes = int(head.find(b"content-length") or MAX_ANSWER_BYTES)
        size = min(declared_bytes, MAX_ANSWER_BYTES)
        reserve = functools.partial(self.take, size)
        return await connection.read_full_body(MAX_ANSWER_BYTES, reserve)
