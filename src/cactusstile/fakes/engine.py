"""Fake model engine with batching, a prefix cache, streams and orders."""

from __future__ import annotations

import contextlib
import typing

import anyio
import anyio.abc
import attrs

from cactusstile import tokens
from cactusstile.fakes import engine_slots
from cactusstile.fakes import engine_stream
from cactusstile.fakes import kv_cache
from cactusstile.fakes import oracle

if typing.TYPE_CHECKING:
    import collections.abc

    FetchWeights = collections.abc.Callable[
        [str, str], collections.abc.Awaitable[bool]
    ]

PREFILL_CHUNK_TOKENS = 512
MAX_STORED_STREAMS = 4096


class OldFenceError(Exception):
    """Raised for an order with an outdated fencing number."""


class LoadFailedError(Exception):
    """Raised when weights cannot be loaded."""


@attrs.define
class EngineSettings:
    """Behaviour of a fake engine.

    Attributes:
      model: Name of the initially loaded model.
      version: Initial weight version.
      slots: Maximum number of concurrent runs.
      cache_blocks: Capacity of the prefix cache in blocks.
      block_bytes: Size of a block in bytes.
      prompt_token_s: Seconds to compute one prompt token.
      output_token_s: Seconds between output tokens.
      load_s: Seconds to load weights.
      time_scale: Factor applied to simulated durations.
      checks_fence: Whether orders with an outdated fencing number are refused.
      event_lag_s: Delay in seconds before a cache event is visible.
      event_gap: Drops each event whose sequence number is a multiple of this
        value; 0 drops none.
      load_lag_s: Age of the load report in seconds.
      block_read_s: Seconds to export one block.
      order_delay_s: Seconds between receiving an order and applying it.
    """

    model: str = "model"
    version: str = "v1"
    slots: int = 8
    cache_blocks: int = 2048
    block_bytes: int = 1024
    prompt_token_s: float = 0.0002
    output_token_s: float = 0.02
    load_s: float = 1.0
    time_scale: float = 1.0
    checks_fence: bool = True
    event_lag_s: float = 0.5
    event_gap: int = 0
    load_lag_s: float = 1.0
    block_read_s: float = 0.0
    order_delay_s: float = 0.0


class Engine:
    """State of a fake engine.

    Attributes:
      settings: Behaviour; may be changed while the engine runs.
      version: Active weight version.
      model: Name of the loaded model.
      adapters: Names of the loaded adapters.
      role: "mixed", "prefill" or "decode".
      fence: Highest fencing number of an accepted order.
      orders: Accepted orders as (fence, kind, value).
      streams: Streams by request id.
      recomputed_tokens: Number of prompt tokens that this engine computed.
      imported_blocks: Number of blocks written over HTTP.
      slots: Running and waiting runs.
      loading: Number of weight loads in progress.
      breaks: For each of the next streams, the number of events after which
        its connection is aborted.
      reads_to_truncate: Number of upcoming exported blocks of which only the
        first half is sent.
      truncations: Like `breaks`, but the answer ends as if it were complete.
      order_answers_to_drop: Number of upcoming orders that take effect without
        an answer.
    """

    def __init__(
        self,
        settings: EngineSettings | None = None,
        fetch_weights: FetchWeights | None = None,
    ) -> None:
        """Creates an idle engine; `run` starts it.

        Args:
          settings: Behaviour.
          fetch_weights: Accepts model and version; returns whether the weight
            store transferred the weights. None loads without a store.
        """
        self.fetch_weights = fetch_weights
        self.loading = 0
        self.breaks: list[int] = []
        self.truncations: list[int] = []
        self.reads_to_truncate = 0
        self.order_answers_to_drop = 0
        self.settings = settings or EngineSettings()
        self.version = self.settings.version
        self.model = self.settings.model
        self.adapters: set[str] = set()
        self.role = "mixed"
        self.fence = 0
        self.orders: list[tuple[int, str, str]] = []
        self.streams: dict[str, engine_stream.Stream] = {}
        self.recomputed_tokens = 0
        self.imported_blocks = 0
        self.load_samples: list[tuple[float, int, int]] = []
        self.cache = kv_cache.KvCache(
            self.settings.cache_blocks,
            self.settings.block_bytes,
            anyio.current_time,
        )
        self._task_group: anyio.abc.TaskGroup | None = None
        self.slots = engine_slots.Slots(lambda: self.settings.slots)
        self._prefill_lock = anyio.Lock()

    @contextlib.asynccontextmanager
    async def run(self) -> collections.abc.AsyncIterator[None]:
        """Runs streams while the context is open."""
        async with anyio.create_task_group() as group:
            self._task_group = group
            yield
            group.cancel_scope.cancel()

    def submit(
        self, submission: engine_stream.Submission
    ) -> engine_stream.Stream:
        """Starts a run, or returns the existing stream of the same id."""
        existing = self.streams.get(submission.request_id)
        if existing is not None:
            return existing
        if self._task_group is None:
            raise RuntimeError("engine is not running")
        if len(self.streams) >= MAX_STORED_STREAMS:
            self._discard_finished_streams()
        stream = engine_stream.Stream(submission)
        self.streams[submission.request_id] = stream
        self._task_group.start_soon(self._run_stream, stream)
        return stream

    async def sleep(self, seconds: float) -> None:
        """Sleeps for `seconds` multiplied by the time scale."""
        await anyio.sleep(seconds * self.settings.time_scale)

    async def apply_order(self, fence: int, kind: str, value: str) -> None:
        """Applies an order.

        Args:
          fence: Fencing number of the sender.
          kind: "model", "version", "adapter" or "role".
          value: Name to activate; "model@version" if `kind` is "model".

        Raises:
          OldFenceError: If the engine checks fencing numbers and `fence` is
            outdated.
          LoadFailedError: If the weights cannot be loaded.
        """
        await self.sleep(self.settings.order_delay_s)
        if self.settings.checks_fence and fence < self.fence:
            raise OldFenceError(f"fence {fence} is older than {self.fence}")
        self.fence = max(self.fence, fence)
        self.orders.append((fence, kind, value))
        model, _, version = value.partition("@")
        if kind == "model":
            await self._load_weights(model, version)
            self.model, self.version = model, version
        elif kind == "version":
            await self._load_weights(self.model, value)
            self.version = value
        elif kind == "adapter":
            self.adapters.add(value)
        elif kind == "role":
            self.role = value

    def apply_order_later(self, fence: int, kind: str, value: str) -> None:
        """Applies an order in the background, without an answer."""
        if self._task_group is None:
            raise RuntimeError("engine is not running")
        self._task_group.start_soon(self.apply_order, fence, kind, value)

    async def _load_weights(self, model: str, version: str) -> None:
        self.loading += 1
        try:
            fetch = self.fetch_weights
            if fetch is not None and not await fetch(model, version):
                raise LoadFailedError("the weight store refused the transfer")
            await self.sleep(self.settings.load_s)
        finally:
            self.loading -= 1

    def _discard_finished_streams(self) -> None:
        for request_id in list(self.streams)[: MAX_STORED_STREAMS // 2]:
            if self.streams[request_id].state in ("done", "cancelled"):
                del self.streams[request_id]

    async def _run_stream(self, stream: engine_stream.Stream) -> None:
        with stream.scope:
            async with self.slots.acquire(stream.submission.priority):
                await self._run_prompt(stream)
        if stream.state != "done":
            stream.state = "cancelled"
        stream.notify()

    async def _run_prompt(self, stream: engine_stream.Stream) -> None:
        submission = stream.submission
        stream.version = self.version
        scope = tokens.Scope(
            submission.workspace,
            submission.deployment,
            stream.version,
            submission.adapter,
        )
        keys = tokens.block_keys(submission.cache_scope, submission.prompt)
        pinned_slots = self.cache.find_prefix(keys)
        digests = [self.cache.slots[index].digest() for index in pinned_slots]
        stream.cached_tokens = len(pinned_slots) * tokens.BLOCK_TOKENS
        self.cache.touch(pinned_slots)
        self._pin(pinned_slots)
        stream.state = "running"
        stream.notify()
        try:
            digests += await self._compute_missing_blocks(
                scope, submission, keys, pinned_slots
            )
            tail = submission.prompt[len(keys) * tokens.BLOCK_TOKENS :]
            context = oracle.Context(scope, digests, tail)
            await self._decode(stream, context)
        finally:
            for index in pinned_slots:
                self.cache.slots[index].pins -= 1

    def _pin(self, indexes: collections.abc.Iterable[int]) -> None:
        for index in indexes:
            self.cache.slots[index].pins += 1

    async def _compute_missing_blocks(
        self,
        scope: tokens.Scope,
        submission: engine_stream.Submission,
        keys: list[bytes],
        pinned_slots: list[int],
    ) -> list[bytes]:
        """Computes uncached blocks; appends their slots to `pinned_slots`."""
        prompt = submission.prompt
        content_keys = tokens.block_keys(scope, prompt)[len(pinned_slots) :]
        missing = keys[len(pinned_slots) :]
        position = len(pinned_slots) * tokens.BLOCK_TOKENS
        chunk_blocks = PREFILL_CHUNK_TOKENS // tokens.BLOCK_TOKENS
        async with self._prefill_lock:
            for start in range(0, len(missing) + 1, chunk_blocks):
                batch = missing[start : start + chunk_blocks]
                end = position + len(batch) * tokens.BLOCK_TOKENS
                if start + chunk_blocks > len(missing):
                    end = len(prompt)
                await self._compute_chunk(
                    batch, content_keys[start:], pinned_slots, end - position
                )
                position = end
        return content_keys

    async def _compute_chunk(
        self,
        keys: list[bytes],
        content_keys: list[bytes],
        pinned_slots: list[int],
        count: int,
    ) -> None:
        """Computes `count` tokens and caches the complete blocks among them."""
        allocated = []
        for key, content_key in zip(keys, content_keys, strict=False):
            index = self.cache.allocate(key)
            if index is None:
                continue
            self.cache.slots[index].content_key = content_key
            self.cache.slots[index].content = None
            self._pin([index])
            allocated.append((index, content_key))
        pinned_slots += [index for index, _ in allocated]
        try:
            await self.sleep(count * self.settings.prompt_token_s)
        except BaseException:
            for index, _ in allocated:
                self.cache.free(index)
            raise
        self.recomputed_tokens += count
        for index, content_key in allocated:
            self.cache.seal(index, content_key, None)

    async def _decode(
        self, stream: engine_stream.Stream, context: oracle.Context
    ) -> None:
        max_tokens = stream.submission.max_tokens
        started_s = anyio.current_time()
        while len(stream.output) < max_tokens:
            stream.output.append(context.next_token())
            step_s = self.settings.output_token_s * self.settings.time_scale
            elapsed_s = anyio.current_time() - started_s
            due_tokens = int(elapsed_s / step_s) if step_s else max_tokens
            while len(stream.output) < min(due_tokens, max_tokens):
                stream.output.append(context.next_token())
            if len(stream.output) == max_tokens:
                break
            stream.notify()
            due_s = started_s + len(stream.output) * step_s
            await anyio.sleep_until(due_s)
        stream.state = "done"
        stream.notify()
