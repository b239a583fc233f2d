"""Fake model engine: batching, prefix cache, streams, orders."""

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
MAX_KEPT_STREAMS = 4096


class OldFenceError(Exception):
    """Raised for an order with an old fencing number."""


class LoadFailedError(Exception):
    """Raised when weights could not be loaded."""


@attrs.define
class EngineSettings:
    """Behaviour of a fake engine.

    Attributes:
      model: Model that it has loaded at the start.
      version: Weight version at the start.
      slots: Runs at once.
      cache_blocks: Blocks of the prefix cache.
      block_bytes: Bytes of a block.
      prompt_token_s: Time to compute one prompt token.
      output_token_s: Time between output tokens.
      load_s: Time to load weights.
      time_scale: Factor on all times.
      checks_fence: Whether orders with an old fencing number are refused.
      event_lag_s: Delay of cache events.
      event_gap: Every so many events one is lost; 0 for none.
      load_lag_s: Age of the load report.
      block_read_s: Time to export one block.
      late_order_s: Time between taking an order and obeying it.
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
      settings: Behaviour; may be changed while it runs.
      version: Weight version in force.
      model: Loaded model.
      adapters: Loaded adapters.
      role: Role, "mixed", "prefill" or "decode".
      fence: Highest fencing number of an accepted order.
      orders: Accepted orders as (fence, kind, value).
      streams: Streams by request id.
      recomputed_tokens: Prompt tokens that were computed here.
      imported_blocks: Blocks that were written from outside.
      slots: Runs under way and those that wait.
      loading: Loads of weights under way.
      breaks: For each of the next streams, events after which it is cut.
      short_reads: How many of the next exported blocks lack their half.
      truncations: As `breaks`, but the answer ends as if it were whole.
      lose_order_answers: How many of the next orders take effect without an
        answer.
    """

    def __init__(
        self,
        settings: EngineSettings | None = None,
        fetch_weights: FetchWeights | None = None,
    ) -> None:
        """Starts idle; see `run`.

        Args:
          settings: Behaviour.
          fetch_weights: Takes model and version and returns whether the
            weight store gave them; None loads without a store.
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
        self._group: anyio.abc.TaskGroup | None = None
        self.slots = engine_slots.Slots(lambda: self.settings.slots)
        self._prefill = anyio.Lock()

    @contextlib.asynccontextmanager
    async def run(self) -> collections.abc.AsyncIterator[None]:
        """Runs streams while the context is open."""
        async with anyio.create_task_group() as group:
            self._group = group
            yield
            group.cancel_scope.cancel()

    def submit(
        self, submission: engine_stream.Submission
    ) -> engine_stream.Stream:
        """Starts a run; a second one with the same id joins the first."""
        known = self.streams.get(submission.request_id)
        if known is not None:
            return known
        if self._group is None:
            raise RuntimeError("engine does not run")
        if len(self.streams) >= MAX_KEPT_STREAMS:
            self._drop_finished()
        stream = engine_stream.Stream(submission)
        self.streams[submission.request_id] = stream
        self._group.start_soon(self._run, stream)
        return stream

    async def sleep(self, seconds: float) -> None:
        """Takes scaled time."""
        await anyio.sleep(seconds * self.settings.time_scale)

    async def apply_order(self, fence: int, kind: str, value: str) -> None:
        """Carries out an order.

        Args:
          fence: Fencing number of who gives it.
          kind: "model", "version", "adapter" or "role".
          value: Name of what is to be in force; with "model" this is
            "model@version".

        Raises:
          OldFenceError: If the engine checks and the number is old.
          LoadFailedError: If weights could not be loaded.
        """
        await self.sleep(self.settings.order_delay_s)
        if self.settings.checks_fence and fence < self.fence:
            raise OldFenceError(f"fence {fence} is older than {self.fence}")
        self.fence = max(self.fence, fence)
        self.orders.append((fence, kind, value))
        model, _, version = value.partition("@")
        if kind == "model":
            await self._load(model, version)
            self.model, self.version = model, version
        elif kind == "version":
            await self._load(self.model, value)
            self.version = value
        elif kind == "adapter":
            self.adapters.add(value)
        elif kind == "role":
            self.role = value

    def apply_order_later(self, fence: int, kind: str, value: str) -> None:
        """Carries out an order whose giver gets no answer."""
        if self._group is None:
            raise RuntimeError("engine does not run")
        self._group.start_soon(self.apply_order, fence, kind, value)

    async def _load(self, model: str, version: str) -> None:
        self.loading += 1
        try:
            fetch = self.fetch_weights
            if fetch is not None and not await fetch(model, version):
                raise LoadFailedError("the weight store refused")
            await self.sleep(self.settings.load_s)
        finally:
            self.loading -= 1

    def _drop_finished(self) -> None:
        for request_id in list(self.streams)[: MAX_KEPT_STREAMS // 2]:
            if self.streams[request_id].state in ("done", "cancelled"):
                del self.streams[request_id]

    async def _run(self, stream: engine_stream.Stream) -> None:
        with stream.scope:
            async with self.slots.take(stream.submission.priority):
                await self._generate(stream)
        if stream.state != "done":
            stream.state = "cancelled"
        stream.notify()

    async def _generate(self, stream: engine_stream.Stream) -> None:
        submission = stream.submission
        stream.version = self.version
        scope = tokens.Scope(
            submission.workspace,
            submission.deployment,
            stream.version,
            submission.adapter,
        )
        keys = tokens.block_keys(submission.cache_scope, submission.prompt)
        pinned = self.cache.find(keys)
        digests = [self.cache.slots[index].digest() for index in pinned]
        stream.cached_tokens = len(pinned) * tokens.BLOCK_TOKENS
        self.cache.touch(pinned)
        self._pin(pinned)
        stream.state = "running"
        stream.notify()
        try:
            digests += await self._compute(scope, submission, keys, pinned)
            tail = submission.prompt[len(keys) * tokens.BLOCK_TOKENS :]
            context = oracle.Context(scope, digests, tail)
            await self._decode(stream, context)
        finally:
            for index in pinned:
                self.cache.slots[index].pins -= 1

    def _pin(self, indexes: collections.abc.Iterable[int]) -> None:
        for index in indexes:
            self.cache.slots[index].pins += 1

    async def _compute(
        self,
        scope: tokens.Scope,
        submission: engine_stream.Submission,
        keys: list[bytes],
        pinned: list[int],
    ) -> list[bytes]:
        """Computes what is not cached; appends to `pinned`."""
        prompt = submission.prompt
        truths = tokens.block_keys(scope, prompt)[len(pinned) :]
        missing = keys[len(pinned) :]
        position = len(pinned) * tokens.BLOCK_TOKENS
        chunk_blocks = PREFILL_CHUNK_TOKENS // tokens.BLOCK_TOKENS
        async with self._prefill:
            for start in range(0, len(missing) + 1, chunk_blocks):
                batch = missing[start : start + chunk_blocks]
                end = position + len(batch) * tokens.BLOCK_TOKENS
                if start + chunk_blocks > len(missing):
                    end = len(prompt)
                await self._compute_chunk(
                    batch, truths[start:], pinned, end - position
                )
                position = end
        return truths

    async def _compute_chunk(
        self,
        keys: list[bytes],
        truths: list[bytes],
        pinned: list[int],
        count: int,
    ) -> None:
        """Computes `count` tokens and caches the blocks among them."""
        allocated = []
        for key, truth in zip(keys, truths, strict=False):
            index = self.cache.allocate(key)
            if index is None:
                continue
            self.cache.slots[index].truth = truth
            self.cache.slots[index].content = None
            self._pin([index])
            allocated.append((index, truth))
        pinned += [index for index, _ in allocated]
        try:
            await self.sleep(count * self.settings.prompt_token_s)
        except BaseException:
            for index, _ in allocated:
                self.cache.free(index)
            raise
        self.recomputed_tokens += count
        for index, truth in allocated:
            self.cache.seal(index, truth, None)

    async def _decode(
        self, stream: engine_stream.Stream, context: oracle.Context
    ) -> None:
        limit = stream.submission.max_tokens
        started_s = anyio.current_time()
        while len(stream.output) < limit:
            stream.output.append(context.next_token())
            step_s = self.settings.output_token_s * self.settings.time_scale
            elapsed_s = anyio.current_time() - started_s
            due = int(elapsed_s / step_s) if step_s else limit
            while len(stream.output) < min(due, limit):
                stream.output.append(context.next_token())
            if len(stream.output) == limit:
                break
            stream.notify()
            due_s = started_s + len(stream.output) * step_s
            await anyio.sleep_until(due_s)
        stream.state = "done"
        stream.notify()
