"""Relays event streams: whole events, as they come, each once."""

from __future__ import annotations

from cactusstile import verdict
from cactusstile.gateway import exchange
from cactusstile.http import events
from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.http import responder as responders
from cactusstile.platform import headers


class Relay:
    """A stream towards a caller, fed by one target after the other.

    Attributes:
      splitter: Tells whole and new events apart.
      events: Count of the events that were passed on.
    """

    def __init__(
        self, responder: responders.Responder, last_event_id: int | None
    ) -> None:
        """Starts after the last event that the caller has, if any."""
        self.responder = responder
        self.splitter = events.EventSplitter(last_event_id)
        self.events = 0

    @property
    def started(self) -> bool:
        """Whether the caller has received any byte."""
        return self.responder.started

    async def feed(self, stream: exchange.OpenStream) -> None:
        """Relays a target's stream to its end.

        The head is sent with the first event, so that another target may
        still take over before it.

        Raises:
          AttemptError: The target broke it off.
          ConnectionEndedError: The caller left.
        """
        self.splitter.restart()
        while True:
            data = await self._read(stream)
            if data is None:
                break
            for event in self.splitter.feed(data):
                await self._start(stream.head)
                await self.responder.send(event)
                self.events += 1
        if self.splitter.remainder.strip():
            raise _broken("cut_event")
        await self._start(stream.head)
        await self.responder.finish()

    async def _read(self, stream: exchange.OpenStream) -> bytes | None:
        try:
            return await stream.connection.read_body()
        except exceptions.HttpError as error:
            raise _broken("stream_broken") from error

    async def _start(self, head: messages.ResponseHead) -> None:
        if self.started:
            return
        dropped = (b"content-length", headers.LOAD)
        fields = messages.end_to_end(head.headers, dropped)
        await self.responder.start(head.status, fields)


def _broken(reason: str) -> exchange.AttemptError:
    return exchange.AttemptError(reason, verdict.Verdict.MAY_HAVE_RUN)
