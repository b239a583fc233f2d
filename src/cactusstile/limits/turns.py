"""Turns of connections whose work takes long, one at a time."""

from __future__ import annotations

import anyio
import anyio.lowlevel
import attrs


@attrs.define
class Turns:
    """Turns, in order of arrival.

    Between two of them all other tasks run, so that work of many connections
    delays the others by one turn and not by all.

    Attributes:
      lock: Held by the one that is next.
    """

    lock: anyio.Lock = attrs.field(factory=anyio.Lock)

    async def take(self) -> None:
        """Waits until the caller may go on, to its next wait."""
        async with self.lock:
            await anyio.lowlevel.checkpoint()
