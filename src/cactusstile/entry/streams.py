"""Receiving of a run's output: each token exactly once and in order."""

from __future__ import annotations

import typing

import anyio
import attrs

from cactusstile import verdict
from cactusstile.agent import messages
from cactusstile.transport import exceptions

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.entry import pacing
    from cactusstile.transport import connection

    Sink = collections.abc.Callable[[str], collections.abc.Awaitable[None]]

MAX_COALESCED_CHARACTERS = 32 * 1024


class GapError(Exception):
    """Raised when tokens before the received ones are missing."""


@attrs.define
class Progress:
    """Progress of one request over all its attempts.

    Attributes:
      max_tokens: Maximum number of output tokens.
      tokens: Output tokens received so far.
      version: Weight version of the run; empty until the first attempt.
      may_have_run: Whether any attempt may have started work.
      duplicates: Number of dropped duplicate batches.
      resumes: Number of stream resumptions.
    """

    max_tokens: int
    tokens: list[int] = attrs.field(factory=list)
    version: str = ""
    may_have_run: bool = False
    duplicates: int = 0
    resumes: int = 0

    def accept(self, batch: messages.RunTokens) -> str:
        """Appends a batch that continues the output; returns its text.

        A batch that was already received is dropped. A batch that overlaps the
        received tokens cannot be split, since its text is not divided by
        token; the output must be resumed instead.

        Raises:
          GapError: If the output must be resumed at the next token.
          RefusedError: If the run exceeds `max_tokens`.
        """
        next_index = len(self.tokens)
        if batch.first_index + len(batch.tokens) <= next_index:
            self.duplicates += 1
            return ""
        if batch.first_index != next_index:
            raise GapError
        if next_index + len(batch.tokens) > self.max_tokens:
            raise broken("the run exceeds max_tokens")
        self.tokens += batch.tokens
        return batch.text

    def finish(self, end: messages.RunEnd) -> messages.RunEnd:
        """Returns `end` if it is consistent with the received output.

        Raises:
          GapError: If tokens are missing.
          RefusedError: If `end` contradicts the received output.
        """
        if end.count > len(self.tokens):
            raise GapError
        if end.count < len(self.tokens):
            raise broken("the end mark counts fewer tokens than arrived")
        if self.version and end.version != self.version:
            raise broken("the run changed its weight version")
        return end


def broken(message: str) -> verdict.RefusedError:
    """Returns the refusal of a run with an inconsistent stream."""
    return verdict.refuse(
        verdict.Reason.INTERNAL,
        f"{message}; the answer is not complete",
        verdict=verdict.Verdict.MAY_HAVE_RUN,
    )


async def relay(
    stream: connection.ClientStream,
    progress: Progress,
    sink: Sink,
    pacer: pacing.Pacer,
) -> messages.RunEnd:
    """Passes the text of a run's batches to `sink` until the run ends.

    Batches that are already queued are coalesced, so that a slow caller or a
    busy process causes fewer writes.

    Raises:
      GapError: If the output must be resumed.
      RefusedError: If the agent refused the run, or its stream is inconsistent.
      TransportError: If the connection failed or the agent violated the
        protocol.
    """
    async for item in stream:
        coalesced = _coalesce(stream, progress, item)
        if coalesced.text:
            await sink(coalesced.text)
        if coalesced.has_gap:
            raise GapError
        if pacer.interval_s:
            await anyio.sleep(pacer.interval_s)
    final = await stream.result()
    if isinstance(final, messages.RunEnd):
        return progress.finish(final)
    if isinstance(final, messages.Refused):
        raise verdict.RefusedError(messages.to_refusal(final))
    raise exceptions.ProtocolError("unexpected end of a run")


@attrs.frozen
class _CoalescedBatches:
    """Text of consecutive batches, and whether a gap follows them."""

    text: str
    has_gap: bool = False


def _coalesce(
    stream: connection.ClientStream, progress: Progress, first: object
) -> _CoalescedBatches:
    """Accepts a batch and those already queued behind it."""
    parts = [_accept(first, progress)]
    size = len(parts[0])
    while size < MAX_COALESCED_CHARACTERS:
        waiting = stream.receive_ready()
        if waiting is None:
            break
        try:
            parts.append(_accept(waiting, progress))
        except GapError:
            return _CoalescedBatches("".join(parts), has_gap=True)
        size += len(parts[-1])
    return _CoalescedBatches("".join(parts))


def _accept(item: object, progress: Progress) -> str:
    if not isinstance(item, messages.RunTokens):
        raise exceptions.ProtocolError("unexpected item in a run")
    return progress.accept(item)
