"""Relays event streams: complete events, without delay, each exactly once."""

from __future__ import annotations

import typing

import anyio

from cactusstile import verdict
from cactusstile.gateway import exchange
from cactusstile.gateway import retries
from cactusstile.gateway.quarantine import quarantine
from cactusstile.http import events as http_events
from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.http import responder as responders
from cactusstile.platform import headers

if typing.TYPE_CHECKING:
    import collections.abc

_LINE_ENDS = b"\r\n"


class StreamRelay:
    """A stream to a caller, which successive targets may continue.

    Attributes:
      responder: Sends to the caller.
      on_begin: Called with its origin before the first event is passed on.
      splitter: Extracts complete events that were not sent before.
      events: Number of events sent to the caller.
      longest_gap_s: Longest time between two of them, in seconds.
      observer: Is told how far the current target's answer has come.
    """

    def __init__(
        self,
        responder: responders.Responder,
        last_event_id: int | None,
        on_begin: collections.abc.Callable[[retries.StreamOrigin], None],
        observer: quarantine.AnswerObserver,
    ) -> None:
        """Resumes after `last_event_id`; None starts from the beginning."""
        self.responder = responder
        self.on_begin = on_begin
        self.observer = observer
        self.splitter = http_events.EventSplitter(last_event_id)
        self.events = 0
        self.longest_gap_s = 0.0
        self._event_s: float | None = None

    @property
    def started(self) -> bool:
        """Whether the caller has received any byte."""
        return self.responder.started

    async def feed(
        self, stream: exchange.OpenStream, origin: retries.StreamOrigin
    ) -> None:
        """Relays the stream of a target at `origin` to its end.

        The head is sent with the first event, so that until then another target
        can still serve the request.

        Raises:
          AttemptError: The target's stream was interrupted.
          ConnectionEndedError: The caller closed its connection.
        """
        self.splitter.restart()
        while True:
            data = await self._read(stream)
            if data is None:
                break
            await self._pass_on(self._split(data), stream, origin)
        await self._pass_on(self.splitter.finish(), stream, origin)
        rest = bytes(self.splitter.remainder)
        # A resumed stream may have no events left.
        is_new = self.splitter.last_id is None and not self.events
        is_empty = is_new and not stream.is_framed
        if rest.strip(_LINE_ENDS) or is_empty:
            raise _interrupted("cut_event")
        self.observer.record_whole()
        await self._start(stream.head)
        # The LF of the last CR LF may have arrived after the event's end.
        await self.responder.send(self._mark() + rest)
        await self.responder.finish()

    async def _pass_on(
        self,
        events: collections.abc.Iterator[bytes],
        stream: exchange.OpenStream,
        origin: retries.StreamOrigin,
    ) -> None:
        for event in events:
            if not self.events:
                self.on_begin(origin)
            await self._start(stream.head)
            await self.responder.send(self._mark() + event)
            self.events += 1
            self._record_gap(anyio.current_time())
            self.observer.record_event()

    def _mark(self) -> bytes:
        """Returns the mark that precedes the next bytes to the caller."""
        return b"" if self.events else self.splitter.mark

    def _record_gap(self, now_s: float) -> None:
        if self._event_s is not None:
            gap_s = now_s - self._event_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._event_s = now_s

    async def _read(self, stream: exchange.OpenStream) -> bytes | None:
        try:
            return await stream.connection.read_body()
        except exceptions.HttpError as error:
            raise _interrupted("stream_broken") from error

    def _split(self, data: bytes) -> collections.abc.Iterator[bytes]:
        try:
            yield from self.splitter.feed(data)
        except exceptions.MalformedError as error:
            raise _interrupted("malformed") from error

    async def _start(self, head: messages.ResponseHead) -> None:
        if self.started:
            return
        dropped = headers.TARGET_ONLY_FIELDS | {b"content-length"}
        fields = messages.end_to_end(head.headers, dropped)
        await self.responder.start(head.status, fields)


def _interrupted(reason: str) -> exchange.AttemptError:
    return exchange.AttemptError(reason, verdict.Verdict.MAY_HAVE_RUN)
