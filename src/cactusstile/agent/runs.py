"""Runs that an agent knows, by workspace and request key."""

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

Final: typing.TypeAlias = messages.RunEnd | messages.Refused
SendTokens: typing.TypeAlias = (
    "collections.abc.Callable[[object], collections.abc.Awaitable[None]]"
)


def content_digest(request: messages.Run) -> bytes:
    """Returns a digest of what a run asks for, the same in all attempts."""
    bare = messages.Run(
        request_key=request.request_key,
        attempt=0,
        workspace=request.workspace,
        deployment=request.deployment,
        version="",
        adapter=request.adapter,
        tokens=request.tokens,
        max_tokens=request.max_tokens,
    )
    encoded = codec.encode(bare)
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()


@attrs.define(eq=False)
class RunRecord:
    """One run and its output so far.

    Attributes:
      request: First `Run` for the key.
      digest: Digest of the request's content.
      deadline_s: Time on the loop's clock by which it must start.
      scope: Cancels the run.
      batches: Output in order, without gaps.
      count: Output tokens, including those of earlier attempts.
      final: Final answer, once there is one.
      claimed: Whether the run is claimed and so must finish.
      followers: Callers that read the output.
      ended_s: Time of the end.
      ended: Set at the end.
    """

    request: messages.Run
    digest: bytes
    deadline_s: float = float("inf")
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    batches: list[messages.RunTokens] = attrs.field(factory=list)
    count: int = 0
    final: Final | None = None
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
        """Adds output tokens."""
        self.batches.append(messages.RunTokens(self.count, tokens, text))
        self.count += len(tokens)
        self._notify()

    def finish(self, final: Final) -> None:
        """Ends the run; only the first end counts."""
        if self.final is not None:
            return
        self.final = final
        self.ended_s = anyio.current_time()
        self.ended.set()
        self._notify()

    async def follow(self, next_index: int, send: SendTokens) -> Final:
        """Sends output from `next_index` on and returns the final answer.

        The first batch may begin before `next_index`; the receiver drops
        what it has.
        """
        position = self._find(next_index)
        while True:
            batches = self.batches[position:]
            if batches:
                position += len(batches)
                await send(_join(batches))
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

    def _find(self, index: int) -> int:
        """Returns the position of the batch that holds token `index`."""
        for position, batch in enumerate(self.batches):
            if batch.first_index + len(batch.tokens) > index:
                return position
        return len(self.batches)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def _join(
    batches: collections.abc.Sequence[messages.RunTokens],
) -> messages.RunTokens:
    if len(batches) == 1:
        return batches[0]
    joined: list[int] = []
    for batch in batches:
        joined += batch.tokens
    text = "".join(batch.text for batch in batches)
    return messages.RunTokens(batches[0].first_index, tuple(joined), text)


class RunTable:
    """Runs of one agent, live ones and those that ended a moment ago.

    Attributes:
      live: Number of runs that did not end yet.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.live = 0
        self._records: dict[tuple[str, str], RunRecord] = {}
        self._buffered_tokens = 0

    def __len__(self) -> int:
        """Returns the number of known runs."""
        return len(self._records)

    def get(self, workspace: str, request_key: str) -> RunRecord | None:
        """Returns a known run."""
        return self._records.get((workspace, request_key))

    def add(self, record: RunRecord) -> None:
        """Adds a run.

        Raises:
          RefusedError: If there is no room; the request was not run.
        """
        self.expire()
        tokens = _count_tokens(record)
        too_many = len(self._records) >= MAX_RUNS
        if too_many or self._buffered_tokens + tokens > MAX_BUFFERED_TOKENS:
            raise verdict.refuse(
                verdict.Reason.OVERLOADED,
                "the agent holds too many runs; retry later",
                retry_after_s=1.0,
            )
        self._buffered_tokens += tokens
        self._records[record.key] = record
        self.live += 1

    def settle(self, record: RunRecord) -> None:
        """Notes the end of a run.

        A run that was refused is forgotten, so that a retry may run, unless
        it was claimed.
        """
        self.live -= 1
        refused = isinstance(record.final, messages.Refused)
        if refused and not record.claimed:
            self._forget(record)

    def expire(self) -> None:
        """Forgets runs that ended long ago."""
        limit_s = anyio.current_time() - RETENTION_S
        expired = [
            record
            for record in self._records.values()
            if record.ended_s < limit_s and not record.followers
        ]
        for record in expired:
            self._forget(record)

    def _forget(self, record: RunRecord) -> None:
        if self._records.get(record.key) is record:
            del self._records[record.key]
            self._buffered_tokens -= _count_tokens(record)


def _count_tokens(record: RunRecord) -> int:
    request = record.request
    return len(request.tokens) + request.max_tokens
