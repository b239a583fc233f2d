"""Simulated engines with the queue of their agents, in virtual time."""

from __future__ import annotations

import collections
import collections.abc
import typing

import attrs

from benchmarks import sites
from benchmarks import traces
from cactusstile import tokens
from cactusstile import verdict
from cactusstile.fakes import oracle
from cactusstile.limits import fair_queue
from cactusstile.store import recovery
from cactusstile.store import returns

if typing.TYPE_CHECKING:
    from benchmarks import virtual_time
    from cactusstile.routing import rendezvous

RUN_OVERHEAD_S = 0.005
MAX_PENDING_EXPORTS = 256
QUEUE_TIMEOUT_S = 60.0


@attrs.define(eq=False)
class Run:
    """A request being served.

    Attributes:
      request: Request of the trace.
      fetch_blocks: Number of leading blocks to import before the run starts.
      first_token_s: Seconds from the scheduled arrival to the first token.
      computed_blocks: Number of prompt blocks that the engine computed.
      remaining_tokens: Number of prompt tokens still to be computed.
      refusal: Reason of a refusal; None unless the run was refused.
      is_wrong: Whether the answer differed from the expected one.
    """

    request: traces.Request
    fetch_blocks: int = 0
    first_token_s: float | None = None
    computed_blocks: int = 0
    remaining_tokens: int = 0
    refusal: verdict.Refusal | None = None
    is_wrong: bool = False


class Engine:
    """One engine with the queue of its agent.

    Attributes:
      member: Name and data centre.
      queue: Fair queue of the agent.
      reserved_tokens: Prompt tokens covered by reservations.
      running: Number of runs that hold a slot.
      reported_tokens: Queued tokens in the latest load report.
      pending_exports: Runs whose blocks are still to be exported.
      import_at_start: Imports blocks evicted while a run was queued; returns
        the duration in seconds.
      recent_exports: Runs whose blocks were exported recently.
    """

    def __init__(
        self,
        member: rendezvous.Member,
        speed: sites.Engine,
        timeline: virtual_time.Timeline,
    ) -> None:
        """Creates an idle engine with an empty cache."""
        self.member = member
        self.speed = speed
        self.reserved_tokens = 0
        self.running = 0
        self.reported_tokens = 0.0
        self.busy_s = 0.0
        self.pending_exports: collections.deque[Run] = collections.deque()
        self.recent_exports = recovery.RecentExports[Run]()
        self.import_at_start: collections.abc.Callable[[Run], float]
        self.import_at_start = lambda _: 0.0
        self.visits = returns.VisitTracker()
        self.queue = fair_queue.FairQueue[Run](
            timeline.clock,
            self._record_refusal,
            tokens_per_s=speed.prefill_tokens_per_s,
        )
        self.cache: collections.OrderedDict[bytes, bytes]
        self.cache = collections.OrderedDict()
        self._timeline = timeline
        self._prefill_until_s = 0.0
        self._prefilling = False

    def resident(self, keys: collections.abc.Sequence[bytes]) -> int:
        """Returns the number of leading blocks in the cache."""
        for count, key in enumerate(keys):
            if key not in self.cache:
                return count
        return len(keys)

    def queued_tokens(self) -> float:
        """Returns the prompt tokens ahead of a new run."""
        remaining_s = max(0.0, self._prefill_until_s - self._timeline.now_s)
        in_progress_tokens = remaining_s * self.speed.prefill_tokens_per_s
        return self.queue.tokens + in_progress_tokens + self.reserved_tokens

    def wait_ms(self, workspace: str) -> float:
        """Returns the expected wait of a new run in milliseconds."""
        remaining_s = max(0.0, self._prefill_until_s - self._timeline.now_s)
        remaining_s += self.reserved_tokens / self.speed.prefill_tokens_per_s
        return (remaining_s + self.queue.wait_s(workspace)) * 1000

    def insert(
        self,
        keys: collections.abc.Sequence[bytes],
        imported: collections.abc.Mapping[bytes, bytes] | None = None,
    ) -> None:
        """Inserts blocks into the cache; the last ones are evicted first.

        Args:
          keys: Keys of the blocks.
          imported: Digests of imported blocks by key.
        """
        digests = imported or {}
        for key in reversed(keys):
            self.cache.setdefault(key, digests.get(key, key))
            self.cache.move_to_end(key)
        while len(self.cache) > self.speed.cache_blocks:
            self.cache.popitem(last=False)

    def submit(self, run: Run) -> None:
        """Queues a run."""
        request = run.request
        prompt = request.keys[: request.prompt_blocks]
        missing = request.prompt_blocks - self.resident(prompt)
        entry = fair_queue.Entry(
            request.workspace,
            max(1, missing) * tokens.BLOCK_TOKENS,
            run,
            deadline_s=self._timeline.now_s + QUEUE_TIMEOUT_S,
        )
        try:
            self.queue.push(entry)
        except verdict.RefusedError as error:
            run.refusal = error.refusal
        self._start_next()

    def _start_next(self) -> None:
        if self._prefilling:
            return
        if self.running >= self.speed.slots:
            return
        entry = self.queue.pop()
        if entry is None:
            return
        run = entry.item
        request = run.request
        prompt = request.keys[: request.prompt_blocks]
        import_s = self.import_at_start(run)
        run.computed_blocks = request.prompt_blocks - self.resident(prompt)
        run.remaining_tokens = max(1, run.computed_blocks) * tokens.BLOCK_TOKENS
        self.running += 1
        self.busy_s += RUN_OVERHEAD_S
        self.insert(prompt)
        run.is_wrong = not self._answers_correctly(request, prompt)
        self._compute(run, RUN_OVERHEAD_S + import_s)

    def _answers_correctly(
        self,
        request: traces.Request,
        prompt: collections.abc.Sequence[bytes],
    ) -> bool:
        """Returns whether the cached blocks produce the expected answer."""
        scope = scope_of(request)
        digests = [self.cache[key] for key in prompt]
        actual = oracle.Context(scope, digests, ())
        expected = oracle.Context(scope, prompt, ())
        for _ in range(request.output_tokens):
            if actual.next_token() != expected.next_token():
                return False
        return True

    def _compute(self, run: Run, delay_s: float = 0.0) -> None:
        """Computes the next chunk of a prompt."""
        chunk = min(run.remaining_tokens, self.speed.chunk_tokens)
        run.remaining_tokens -= chunk
        chunk_s = chunk / self.speed.prefill_tokens_per_s
        self.busy_s += chunk_s
        self._prefilling = True
        remaining_s = run.remaining_tokens / self.speed.prefill_tokens_per_s
        now_s = self._timeline.now_s
        self._prefill_until_s = now_s + delay_s + chunk_s + remaining_s
        self._timeline.after(
            delay_s + chunk_s, lambda: self._continue_prefill(run)
        )

    def _continue_prefill(self, run: Run) -> None:
        """Computes the next chunk, or finishes the prefill."""
        if run.remaining_tokens:
            self._compute(run)
            return
        self._finish_prefill(run)

    def _finish_prefill(self, run: Run) -> None:
        run.first_token_s = self._timeline.now_s - run.request.at_s
        self._prefilling = False
        decode_s = run.request.output_tokens * self.speed.decode_s_per_token
        self._timeline.after(decode_s, lambda: self._finish_run(run))
        self._start_next()

    def _finish_run(self, run: Run) -> None:
        self.running -= 1
        self.insert(run.request.keys)
        if len(self.pending_exports) < MAX_PENDING_EXPORTS:
            self.pending_exports.append(run)
        self._start_next()

    def _record_refusal(
        self, entry: fair_queue.Entry[Run], refusal: verdict.Refusal
    ) -> None:
        entry.item.refusal = refusal


def scope_of(request: traces.Request) -> tokens.Scope:
    """Returns the scope of a request's blocks."""
    return tokens.Scope(request.workspace, sites.DEPLOYMENT, "v1")
