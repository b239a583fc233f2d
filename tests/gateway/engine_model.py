"""Model of an engine that batches runs and preempts them without memory.

Each step decodes one token of every run and prefills a chunk of one prompt.
Prompts start by priority and arrival, as soon as their KV cache fits.
"""

from __future__ import annotations

import itertools

import anyio
import attrs

STEP_S = 0.0033
STEP_PER_RUN_S = 0.00008
PREFILL_TOKENS_PER_S = 125_000
CHUNK_TOKENS = 1024
TOKENS_PER_EVENT = 5


@attrs.define(eq=False)
class Run:
    """A request at an engine.

    Attributes:
      priority: 0 is served first.
      number: Order of arrival.
      tokens: Length of the prompt.
      output_tokens: Length of the answer.
      unread: Prompt tokens that are not prefilled yet.
      made: Tokens of the answer so far.
      longest_pause_s: Longest time between two events of the answer.
      first_event: Set at the first token.
      ended: Set at the last token.
    """

    priority: int
    number: int
    tokens: int
    output_tokens: int
    unread: int = 0
    made: int = 0
    longest_pause_s: float = 0.0
    event_s: float | None = None
    first_event: anyio.Event = attrs.field(factory=anyio.Event)
    ended: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def rank(self) -> tuple[int, int]:
        return (self.priority, self.number)

    def add_token(self, now_s: float) -> None:
        self.made += 1
        if self.made % TOKENS_PER_EVENT != 1:
            return
        if self.event_s is not None:
            pause_s = now_s - self.event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.event_s = now_s


@attrs.define(eq=False)
class Engine:
    """An engine.

    Attributes:
      capacity_tokens: Memory for KV cache.
      slots: Maximum of concurrent runs.
      running: Runs in memory.
      waiting: Requests that wait for memory or a slot.
      preempted: Number of preempted runs.
    """

    capacity_tokens: int
    slots: int = 64
    running: list[Run] = attrs.field(factory=list)
    waiting: list[Run] = attrs.field(factory=list)
    preempted: int = 0
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    def submit(self, priority: int, tokens: int, output_tokens: int) -> Run:
        run = Run(priority, next(self._numbers), tokens, output_tokens)
        self.waiting.append(run)
        return run

    def cancel(self, run: Run) -> None:
        for runs in (self.running, self.waiting):
            if run in runs:
                runs.remove(run)

    async def serve(self) -> None:
        while True:
            self._admit()
            chunk = self._prefill()
            step_s = STEP_S + STEP_PER_RUN_S * len(self.running)
            await anyio.sleep(step_s + chunk / PREFILL_TOKENS_PER_S)
            self._decode()

    def used_tokens(self) -> int:
        return sum(run.tokens + run.made for run in self.running)

    def _admit(self) -> None:
        for run in sorted(self.waiting, key=lambda run: run.rank):
            while not self._fits(run) and self._preempt_for(run):
                pass
            if not self._fits(run):
                return
            self.waiting.remove(run)
            run.unread = run.tokens + run.made
            self.running.append(run)

    def _fits(self, run: Run) -> bool:
        free = self.capacity_tokens - self.used_tokens()
        return len(self.running) < self.slots and run.tokens + run.made <= free

    def _preempt_for(self, run: Run) -> bool:
        last = max(self.running, key=lambda other: other.rank, default=None)
        if last is None or last.priority <= run.priority:
            return False
        self._preempt(last)
        return True

    def _preempt(self, run: Run) -> None:
        self.running.remove(run)
        self.waiting.append(run)
        self.preempted += 1

    def _prefill(self) -> int:
        unread = [run for run in self.running if run.unread]
        if not unread:
            return 0
        run = min(unread, key=lambda run: run.rank)
        chunk = min(CHUNK_TOKENS, run.unread)
        run.unread -= chunk
        return chunk

    def _decode(self) -> None:
        for run in list(self.running):
            if run.unread or run not in self.running:
                continue
            run.add_token(anyio.current_time())
            run.first_event.set()
            if run.made >= run.output_tokens:
                self.running.remove(run)
                run.ended.set()
            elif self.used_tokens() > self.capacity_tokens:
                self._preempt(max(self.running, key=lambda other: other.rank))
