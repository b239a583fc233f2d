"""Output of a run as the entry receives it: each token once, in order."""

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
    """Raised when tokens are missing before those that arrived."""


@attrs.define
class Progress:
    """What is known of one request over all its attempts.

    Attributes:
      max_tokens: Bound on the output.
      tokens: Output tokens received so far.
      version: Weight version of the run; empty until the first attempt.
      may_have_run: Whether any attempt may have started work.
      duplicates: Count of batches that were dropped.
      resumes: Count of resumptions.
    """

    max_tokens: int
    tokens: list[int] = attrs.field(factory=list)
    version: str = ""
    may_have_run: bool = False
    duplicates: int = 0
    resumes: int = 0

    def accept(self, batch: messages.RunTokens) -> str:
        """Takes over the batch if it is next and returns its text.

        A batch that is known already is dropped. One that is partly known
        cannot be split, as only its whole text is given.

        Raises:
          GapError: If the output must be resumed at the next token.
          RefusedError: If the run exceeds its bound.
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
        """Returns the end mark if it agrees with what was received.

        Raises:
          GapError: If tokens are missing.
          RefusedError: If it contradicts what was received.
        """
        if end.count > len(self.tokens):
            raise GapError
        if end.count < len(self.tokens):
            raise broken("the end mark counts fewer tokens than arrived")
        if self.version and end.version != self.version:
            raise broken("the run changed its weight version")
        return end


def broken(message: str) -> verdict.RefusedError:
    """Returns the refusal of a run whose stream contradicts itself."""
    return verdict.refuse(
        verdict.Reason.INTERNAL,
        f"{message}; the answer is not complete",
        verdict=verdict.Verdict.MAY_HAVE_RUN,
    )


async def relay(
    opened: connection.ClientStream,
    progress: Progress,
    sink: Sink,
    pacer: pacing.Pacer,
) -> messages.RunEnd:
    """Passes the text of a run's batches to `sink` until the run ends.

    Batches that wait already are passed on as one, so that a slow caller or
    a busy process costs fewer writes.

    Raises:
      GapError: If the output must be resumed.
      RefusedError: If the agent refused the run, or its stream is broken.
      TransportError: If the connection failed.
    """
    async for item in opened:
        gathered = _gather(opened, progress, item)
        if gathered.text:
            await sink(gathered.text)
        if gathered.has_gap:
            raise GapError
        if pacer.interval_s:
            await anyio.sleep(pacer.interval_s)
    final = await opened.result()
    if isinstance(final, messages.RunEnd):
        return progress.finish(final)
    if isinstance(final, messages.Refused):
        raise verdict.RefusedError(messages.to_refusal(final))
    raise exceptions.ProtocolError("unexpected end of a run")


@attrs.frozen
class _Gathered:
    """Text of batches in a row, and whether a gap follows."""

    text: str
    has_gap: bool = False


def _gather(
    opened: connection.ClientStream, progress: Progress, first: object
) -> _Gathered:
    """Takes over a batch and those that wait behind it."""
    parts = [_accept(first, progress)]
    size = len(parts[0])
    while size < MAX_COALESCED_CHARACTERS:
        waiting = opened.receive_ready()
        if waiting is None:
            break
        try:
            parts.append(_accept(waiting, progress))
        except GapError:
            return _Gathered("".join(parts), has_gap=True)
        size += len(parts[-1])
    return _Gathered("".join(parts))


def _accept(item: object, progress: Progress) -> str:
    if not isinstance(item, messages.RunTokens):
        raise exceptions.ProtocolError("unexpected item in a run")
    return progress.accept(item)
