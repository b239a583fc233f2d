"""Model engines with the queue of their agents, in virtual time."""

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
GIVE_UP_S = 60.0


@attrs.define(eq=False)
class Run:
    """A request on its way.

    Attributes:
      request: The arrival.
      fetch_blocks: Leading blocks to have before it starts, by import.
      first_token_s: Time to first token from the scheduled arrival.
      computed_blocks: Prompt blocks that were computed.
      tokens_left: Prompt tokens that are still to be computed.
      refusal: Set when it was refused.
      is_wrong: Whether a token of its answer differed from the right one.
    """

    request: traces.Request
    fetch_blocks: int = 0
    first_token_s: float | None = None
    computed_blocks: int = 0
    tokens_left: int = 0
    refusal: verdict.Refusal | None = None
    is_wrong: bool = False


class Engine:
    """One engine with the queue of its agent.

    Attributes:
      member: Name and data centre.
      queue: Fair queue of the agent.
      reserved_tokens: Prompt tokens of reservations.
      running: Runs that decode.
      reported_tokens: Queued tokens as last reported.
      exports: Runs whose blocks wait to be exported.
      import_late: Imports what was pushed out while a run waited; returns
        the time that it takes in seconds.
      recent: Runs whose blocks were exported lately.
    """

    def __init__(
        self,
        member: rendezvous.Member,
        speed: sites.Engine,
        timeline: virtual_time.Timeline,
    ) -> None:
        """Starts idle with an empty cache."""
        self.member = member
        self.speed = speed
        self.reserved_tokens = 0
        self.running = 0
        self.reported_tokens = 0.0
        self.busy_s = 0.0
        self.exports: collections.deque[Run] = collections.deque()
        self.recent = recovery.RecentExports[Run]()
        self.import_late: collections.abc.Callable[[Run], float]
        self.import_late = lambda _: 0.0
        self.visits = returns.VisitTracker()
        self.queue = fair_queue.FairQueue[Run](
            timeline.clock,
            self._refuse,
            tokens_per_s=speed.prefill_tokens_per_s,
        )
        self.cache: collections.OrderedDict[bytes, bytes]
        self.cache = collections.OrderedDict()
        self._timeline = timeline
        self._prefill_until_s = 0.0
        self._prefilling = False

    def resident(self, keys: collections.abc.Sequence[bytes]) -> int:
        """Returns how many leading blocks the cache holds."""
        for count, key in enumerate(keys):
            if key not in self.cache:
                return count
        return len(keys)

    def queued_tokens(self) -> float:
        """Returns the prompt tokens ahead of a new run."""
        left_s = max(0.0, self._prefill_until_s - self._timeline.now_s)
        in_work = left_s * self.speed.prefill_tokens_per_s
        return self.queue.tokens + in_work + self.reserved_tokens

    def wait_ms(self, workspace: str) -> float:
        """Returns the expected wait of a new run."""
        left_s = max(0.0, self._prefill_until_s - self._timeline.now_s)
        left_s += self.reserved_tokens / self.speed.prefill_tokens_per_s
        return (left_s + self.queue.wait_s(workspace)) * 1000

    def insert(
        self,
        keys: collections.abc.Sequence[bytes],
        imported: collections.abc.Mapping[bytes, bytes] | None = None,
    ) -> None:
        """Puts blocks into the cache; the last ones are evicted first.

        Args:
          keys: Keys of the blocks.
          imported: Digests of those that were not computed here.
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
            deadline_s=self._timeline.now_s + GIVE_UP_S,
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
        import_s = self.import_late(run)
        run.computed_blocks = request.prompt_blocks - self.resident(prompt)
        run.tokens_left = max(1, run.computed_blocks) * tokens.BLOCK_TOKENS
        self.running += 1
        self.busy_s += RUN_OVERHEAD_S
        self.insert(prompt)
        run.is_wrong = not self._answers_right(request, prompt)
        self._compute(run, RUN_OVERHEAD_S + import_s)

    def _answers_right(
        self,
        request: traces.Request,
        prompt: collections.abc.Sequence[bytes],
    ) -> bool:
        """Compares the answer from what the cache holds, token by token."""
        scope = scope_of(request)
        held = [self.cache[key] for key in prompt]
        given = oracle.Context(scope, held, ())
        right = oracle.Context(scope, prompt, ())
        for _ in range(request.output_tokens):
            if given.next_token() != right.next_token():
                return False
        return True

    def _compute(self, run: Run, delay_s: float = 0.0) -> None:
        """Computes the next chunk of a prompt."""
        chunk = min(run.tokens_left, self.speed.chunk_tokens)
        run.tokens_left -= chunk
        chunk_s = chunk / self.speed.prefill_tokens_per_s
        self.busy_s += chunk_s
        self._prefilling = True
        left_s = run.tokens_left / self.speed.prefill_tokens_per_s
        now_s = self._timeline.now_s
        self._prefill_until_s = now_s + delay_s + chunk_s + left_s
        self._timeline.after(delay_s + chunk_s, lambda: self._look(run))

    def _look(self, run: Run) -> None:
        """Goes on after a chunk."""
        if run.tokens_left:
            self._compute(run)
            return
        self._first_token(run)

    def _first_token(self, run: Run) -> None:
        run.first_token_s = self._timeline.now_s - run.request.at_s
        self._prefilling = False
        decode_s = run.request.output_tokens * self.speed.decode_s_per_token
        self._timeline.after(decode_s, lambda: self._end(run))
        self._start_next()

    def _end(self, run: Run) -> None:
        self.running -= 1
        self.insert(run.request.keys)
        if len(self.exports) < MAX_PENDING_EXPORTS:
            self.exports.append(run)
        self._start_next()

    def _refuse(
        self, entry: fair_queue.Entry[Run], refusal: verdict.Refusal
    ) -> None:
        entry.item.refusal = refusal


def scope_of(request: traces.Request) -> tokens.Scope:
    """Returns the scope of a request's blocks."""
    return tokens.Scope(request.workspace, sites.DEPLOYMENT, "v1")
