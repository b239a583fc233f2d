"""Current and recent runs of an agent, by workspace and request key."""

from __future__ import annotations

import hashlib
import logging
import typing

import anyio
import attrs

from cactusstile import verdict
from cactusstile.agent import messages
from cactusstile.transport import codec

if typing.TYPE_CHECKING:
    import collections.abc

logger = logging.getLogger(__name__)

RETENTION_S = 30.0
MAX_RUNS = 8192
MAX_BUFFERED_TOKENS = 4_000_000
COALESCE_INTERVAL_S = 0.02
DIGEST_BYTES = 16

FinalMessage: typing.TypeAlias = messages.RunEnd | messages.Refused
SendTokens: typing.TypeAlias = (
    "collections.abc.Callable[[object], collections.abc.Awaitable[None]]"
)


def content_digest(request: messages.Run) -> bytes:
    """Returns a digest of a run's content, equal for all attempts."""
    normalized = messages.Run(
        request_key=request.request_key,
        attempt=0,
        workspace=request.workspace,
        deployment=request.deployment,
        version="",
        adapter=request.adapter,
        tokens=request.tokens,
        max_tokens=request.max_tokens,
    )
    encoded = codec.encode(normalized)
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()


@attrs.define(eq=False)
class RunRecord:
    """One run and its output so far.

    Attributes:
      request: First `Run` received for the key.
      digest: Digest of the request's content.
      deadline_s: Time on the event loop's clock by which it must start.
      scope: Cancel scope of the run.
      batches: Output in order, without gaps.
      count: Number of output tokens, including those of earlier attempts.
      final: Final message; None until the run has ended.
      claimed: Whether the run is claimed and therefore must complete.
      followers: Number of callers that read the output.
      ended_s: Time on the event loop's clock at which the run ended; infinite
        before.
      ended: Set when the run has ended.
    """

    request: messages.Run
    digest: bytes
    deadline_s: float = float("inf")
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    batches: list[messages.RunTokens] = attrs.field(factory=list)
    count: int = 0
    final: FinalMessage | None = None
    claimed: bool = False
    followers: int = 0
    ended_s: float = float("inf")
    ended: anyio.Event = attrs.field(factory=anyio.Event)
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def key(self) -> tuple[str, str]:
        """Workspace and request key."""
        return self.request.workspace, self.request.request_key

    def append(self, tokens: tuple[int, ...], text: str) -> None:
        """Appends output tokens and their text."""
        self.batches.append(messages.RunTokens(self.count, tokens, text))
        self.count += len(tokens)
        self._notify()

    def finish(self, final: FinalMessage) -> None:
        """Ends the run; later calls have no effect."""
        if self.final is not None:
            return
        self.final = final
        self.ended_s = anyio.current_time()
        self.ended.set()
        self._notify()

    async def follow(self, next_index: int, send: SendTokens) -> FinalMessage:
        """Sends the output from `next_index` and returns the final message.

        The first batch may begin before `next_index`; the receiver discards
        the tokens that it already has.
        """
        position = self._find_batch(next_index)
        while True:
            batches = self.batches[position:]
            if batches:
                position += len(batches)
                await send(_merge_batches(batches))
            if position < len(self.batches):
                continue
            if self.final is not None:
                return self.final
            changed = self._changed
            if batches:
                with anyio.move_on_after(COALESCE_INTERVAL_S):
                    await self.ended.wait()
            if position == len(self.batches) and self.final is None:
                await changed.wait()

    def _find_batch(self, index: int) -> int:
        """Returns the position of the batch that contains token `index`."""
        for position, batch in enumerate(self.batches):
            if batch.first_index + len(batch.tokens) > index:
                return position
        return len(self.batches)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def _merge_batches(
    batches: collections.abc.Sequence[messages.RunTokens],
) -> messages.RunTokens:
    if len(batches) == 1:
        return batches[0]
    merged: list[int] = []
    for batch in batches:
        merged += batch.tokens
    text = "".join(batch.text for batch in batches)
    return messages.RunTokens(batches[0].first_index, tuple(merged), text)


class RunTable:
    """Runs of one agent that are live or ended within `RETENTION_S`.

    Attributes:
      live: Number of runs that have not ended yet.
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self.live = 0
        self._records: dict[tuple[str, str], RunRecord] = {}
        self._buffered_tokens = 0

    def __len__(self) -> int:
        """Returns the number of runs in the table."""
        return len(self._records)

    def get(self, workspace: str, request_key: str) -> RunRecord | None:
        """Returns a run, or None if it is not in the table."""
        return self._records.get((workspace, request_key))

    def add(self, record: RunRecord) -> None:
        """Adds a run.

        Raises:
          RefusedError: If the table is full; the request was not run.
        """
        self.expire()
        tokens = _count_tokens(record)
        is_full = len(self._records) >= MAX_RUNS
        if is_full or self._buffered_tokens + tokens > MAX_BUFFERED_TOKENS:
            raise verdict.refuse(
                verdict.Reason.OVERLOADED,
                "the agent holds too many runs; retry later",
                retry_after_s=1.0,
            )
        self._buffered_tokens += tokens
        self._records[record.key] = record
        self.live += 1

    def mark_ended(self, record: RunRecord) -> None:
        """Records the end of a run.

        A refused run is removed, so that a retry may run, unless the run was
        claimed.
        """
        self.live -= 1
        is_refused = isinstance(record.final, messages.Refused)
        if is_refused and not record.claimed:
            self._remove(record)

    def expire(self) -> None:
        """Removes runs that ended more than `RETENTION_S` ago."""
        cutoff_s = anyio.current_time() - RETENTION_S
        expired = [
            record
            for record in self._records.values()
            if record.ended_s < cutoff_s and not record.followers
        ]
        for record in expired:
            self._remove(record)

    def _remove(self, record: RunRecord) -> None:
        if self._records.get(record.key) is record:
            del self._records[record.key]
            self._buffered_tokens -= _count_tokens(record)


def _count_tokens(record: RunRecord) -> int:
    request = record.request
    return len(request.tokens) + request.max_tokens
