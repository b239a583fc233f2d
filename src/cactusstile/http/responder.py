"""Response to one request of a caller."""

from __future__ import annotations

import typing

import anyio
import h11

from cactusstile.http import messages
from cactusstile.http import sockets

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.limits import turns

UNAVAILABLE = 503
# Longer bodies are sent as they are, so that one that waits is held once.
LARGE_BODY_BYTES = 64 << 10
_STATUSES_WITHOUT_BODY = (204, 304)


class Listener(typing.Protocol):
    """What a response needs to know of its listener; see `serving.Serving`."""

    stopping: bool
    turns: turns.Turns


class Responder:
    """Writes the response to one request.

    Attributes:
      status: Status code that was sent; 0 before the response starts.
      started_s: Event loop time at which the response started; None before.
      finished: Whether the response is complete.
    """

    def __init__(
        self,
        socket: sockets.Socket,
        protocol: h11.Connection,
        request: messages.Request,
        serving: Listener,
    ) -> None:
        """Responds to `request` on the connection of the caller."""
        self.status = 0
        self.started_s: float | None = None
        self.finished = False
        self._socket = socket
        self._protocol = protocol
        self._without_body = request.method == b"HEAD"
        self._serving = serving

    @property
    def started(self) -> bool:
        """Whether the response has been started."""
        return self.started_s is not None

    async def respond(
        self,
        status: int,
        headers: collections.abc.Iterable[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Sends a complete response.

        Raises:
          ConnectionEndedError: The caller closed or reset the connection.
        """
        fields = list(headers)
        if messages.find(tuple(fields), b"content-length") is None:
            fields.append((b"content-length", b"%d" % len(body)))
        data = self._head(status, fields)
        if self._without_body:
            body = b""
        if len(body) > LARGE_BODY_BYTES:
            await self._socket.send(data)
            data = b""
        if body:
            part = self._protocol.send(h11.Data(data=body)) or b""
            data = data + part if data else part
        end = self._protocol.send(h11.EndOfMessage()) or b""
        await self._socket.send(data + end if end else data)
        self.finished = True

    async def start(
        self,
        status: int,
        headers: collections.abc.Iterable[tuple[bytes, bytes]],
    ) -> None:
        """Sends the head of a response whose body follows in parts."""
        await self._socket.send(self._head(status, list(headers)))

    async def send(self, data: bytes) -> None:
        """Sends a part of the body."""
        if self._without_body or not data:
            return
        await self._socket.send(self._protocol.send(h11.Data(data=data)) or b"")

    async def finish(self) -> None:
        """Completes the response."""
        await self._socket.send(self._protocol.send(h11.EndOfMessage()) or b"")
        self.finished = True

    async def take_turn(self) -> None:
        """Waits until a large answer may be made; see `limits.turns`."""
        await self._serving.turns.take()

    def can_continue(self) -> bool:
        """Returns whether the connection can serve another request.

        An interrupted response must close the connection, so that the caller
        can detect that it is incomplete.
        """
        return (
            self.finished
            and self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )

    def _head(self, status: int, headers: list[tuple[bytes, bytes]]) -> bytes:
        # What was sent ahead would not be answered any more.
        if self._serving.stopping and not self._protocol.trailing_data[0]:
            headers.append((b"connection", b"close"))
        if status in _STATUSES_WITHOUT_BODY:
            self._without_body = True
        self.started_s = anyio.current_time()
        self.status = status
        event = h11.Response(status_code=status, headers=headers)
        return self._protocol.send(event) or b""
