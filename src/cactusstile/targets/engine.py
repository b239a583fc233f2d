"""Client of a model engine; site-specific differences are in its dialect."""

from __future__ import annotations

import contextlib
import typing

import attrs

from cactusstile import tokens
from cactusstile.targets import exceptions
from cactusstile.targets import http

if typing.TYPE_CHECKING:
    import collections.abc

CALL_TIMEOUT_S = 2.0
BLOCKS_TIMEOUT_S = 10.0
STREAM_IDLE_TIMEOUT_S = 120.0
WRITE_BATCH_BLOCKS = 256
NOT_FOUND = 404


@attrs.frozen
class Prompt:
    """Request to run a prompt at an engine.

    Attributes:
      request_id: Identity of the stream at the engine.
      model: Model to run.
      deployment: Deployment that the model serves.
      scope: Owner of the cached blocks that the run may use.
      tokens: Tokens of the prompt.
      max_tokens: Maximum number of output tokens.
      priority: Prompts with larger values start first.
    """

    request_id: str
    model: str
    deployment: str
    scope: tokens.Scope
    tokens: tuple[int, ...]
    max_tokens: int
    priority: int = 0


@attrs.frozen
class Started:
    """Start of a run at the engine.

    Attributes:
      version: Weight version that the run uses.
      cached_tokens: Prompt tokens found in the engine's cache.
    """

    version: str
    cached_tokens: int


@attrs.frozen
class Output:
    """Batch of output tokens.

    Attributes:
      first_index: Index of the first token in the output of this stream.
      tokens: Tokens in order.
      text: Text of the tokens.
    """

    first_index: int
    tokens: tuple[int, ...]
    text: str


@attrs.frozen
class Finished:
    """End of a run.

    Attributes:
      count: Number of output tokens of this stream.
      reason: "stop", "length" or "cancelled".
    """

    count: int
    reason: str


Event: typing.TypeAlias = Started | Output | Finished


@attrs.frozen
class Status:
    """State of an engine as reported by the engine.

    Attributes:
      model: Loaded model.
      version: Weight version in force.
      adapters: Loaded adapters.
      role: Role of the engine.
      slots: Maximum number of concurrent runs.
      block_bytes: Size of a KV block in bytes.
      loading: Number of weight loads in progress.
    """

    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    slots: int
    block_bytes: int
    loading: int = 0


@attrs.frozen
class BlockRef:
    """Location of a sealed block in an engine's memory.

    Attributes:
      slot: Number of the memory slot.
      generation: Generation of the slot; incremented whenever it is freed.
    """

    slot: int
    generation: int


@attrs.frozen
class Order:
    """Order to an engine to change its state.

    Attributes:
      fence: Fencing number of the issuer.
      kind: "model", "version", "adapter" or "role".
      value: Name of the required state; "model@version" for kind "model".
    """

    fence: int
    kind: str
    value: str


@attrs.frozen
class Dialect:
    """Requests and response parsers of one kind of engine, as functions."""

    complete: collections.abc.Callable[[Prompt], http.Request]
    resume: collections.abc.Callable[[str, int], http.Request]
    cancel: collections.abc.Callable[[str], http.Request]
    status: collections.abc.Callable[[], http.Request]
    order: collections.abc.Callable[[Order], http.Request]
    lookup: collections.abc.Callable[
        [collections.abc.Sequence[bytes]], http.Request
    ]
    read: collections.abc.Callable[
        [collections.abc.Sequence[BlockRef]], http.Request
    ]
    write: collections.abc.Callable[
        [
            collections.abc.Sequence[bytes],
            collections.abc.Sequence[bytes],
        ],
        http.Request,
    ]
    parse_event: collections.abc.Callable[[bytes], list[Event]]
    parse_status: collections.abc.Callable[[bytes], Status]
    parse_lookup: collections.abc.Callable[[bytes], list[BlockRef]]


class EngineClient:
    """Client of one engine."""

    def __init__(self, target: http.HttpTarget, dialect: Dialect) -> None:
        """Creates a client that calls `target` in `dialect`."""
        self._target = target
        self._dialect = dialect

    @contextlib.asynccontextmanager
    async def open_run(
        self, prompt: Prompt
    ) -> collections.abc.AsyncIterator[collections.abc.AsyncIterator[Event]]:
        """Starts a run and yields its events.

        Raises:
          TargetStatusError: If the engine answers with an error status.
          TargetError: If the engine is unreachable or the stream breaks.
        """
        async with self._open(self._dialect.complete(prompt)) as events:
            yield events

    @contextlib.asynccontextmanager
    async def open_resumed(
        self, request_id: str, next_index: int
    ) -> collections.abc.AsyncIterator[collections.abc.AsyncIterator[Event]]:
        """Resumes the stream of a run and yields its further events.

        Args:
          request_id: Identity of the stream at the engine.
          next_index: Index of the first output token to return.

        Raises:
          TargetStatusError: If the engine answers with an error status.
          TargetError: If the engine is unreachable or the stream breaks.
        """
        request = self._dialect.resume(request_id, next_index)
        async with self._open(request) as events:
            yield events

    async def cancel(self, request_id: str) -> None:
        """Cancels a run; an unknown run is treated as already cancelled."""
        request = self._dialect.cancel(request_id)
        try:
            await self._target.call_ok(request, timeout_s=CALL_TIMEOUT_S)
        except exceptions.TargetStatusError as error:
            if error.status != NOT_FOUND:
                raise

    async def status(self) -> Status:
        """Returns the engine's state."""
        response = await self._target.call_ok(
            self._dialect.status(), timeout_s=CALL_TIMEOUT_S
        )
        return _parse_response(self._dialect.parse_status, response.body)

    async def order(self, order: Order, *, timeout_s: float) -> None:
        """Sends an order and waits until the engine has executed it."""
        request = self._dialect.order(order)
        await self._target.call_ok(request, timeout_s=timeout_s)

    async def lookup(
        self, keys: collections.abc.Sequence[bytes]
    ) -> list[BlockRef]:
        """Returns the locations of the leading blocks that are sealed."""
        if not keys:
            return []
        response = await self._target.call_ok(
            self._dialect.lookup(keys), timeout_s=CALL_TIMEOUT_S
        )
        return _parse_response(self._dialect.parse_lookup, response.body)

    async def read(self, places: collections.abc.Sequence[BlockRef]) -> bytes:
        """Returns the concatenated contents of blocks, unverified."""
        response = await self._target.call_ok(
            self._dialect.read(places), timeout_s=BLOCKS_TIMEOUT_S
        )
        return response.body

    async def write(
        self,
        keys: collections.abc.Sequence[bytes],
        contents: collections.abc.Sequence[bytes],
    ) -> None:
        """Writes blocks to the engine's cache."""
        for start in range(0, len(keys), WRITE_BATCH_BLOCKS):
            end = start + WRITE_BATCH_BLOCKS
            request = self._dialect.write(keys[start:end], contents[start:end])
            await self._target.call_ok(request, timeout_s=BLOCKS_TIMEOUT_S)

    @contextlib.asynccontextmanager
    async def _open(
        self, request: http.Request
    ) -> collections.abc.AsyncIterator[collections.abc.AsyncIterator[Event]]:
        async with self._target.open_events(
            request, timeout_s=STREAM_IDLE_TIMEOUT_S
        ) as received:
            yield self._events(received)

    async def _events(
        self, received: collections.abc.AsyncIterator[bytes]
    ) -> collections.abc.AsyncIterator[Event]:
        async for data in received:
            for event in _parse_response(self._dialect.parse_event, data):
                yield event


_T = typing.TypeVar("_T")


def _parse_response(
    parse: collections.abc.Callable[[bytes], _T], data: bytes
) -> _T:
    try:
        return parse(data)
    except exceptions.MALFORMED as error:
        raise exceptions.TargetError(
            f"the target's answer is malformed: {error!r}", sent=True
        ) from error
