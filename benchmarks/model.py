"""A fast model of engines, stores and links in virtual time.

Just enough to weigh decisions: the routing, queueing, eviction and transfer
code is the product's own; only the engine's speed, the links and the wire are
stood in for. Deterministic by trace and seed.
"""

from __future__ import annotations

import collections
import collections.abc
import typing

import attrs

from benchmarks import sites
from benchmarks import traces
from benchmarks import virtual_time
from cactusstile import tokens
from cactusstile import verdict
from cactusstile.limits import fair_queue
from cactusstile.limits import recent_use
from cactusstile.limits import token_bucket
from cactusstile.routing import rendezvous
from cactusstile.routing import table
from cactusstile.store import block_store
from cactusstile.store import blocks
from cactusstile.store import client
from cactusstile.store import exceptions
from cactusstile.store import location
from cactusstile.store import recovery
from cactusstile.store import returns
from cactusstile.store import transfer

SCALED_BLOCK = b"\0" * 64
RUN_OVERHEAD_S = 0.005
REPORT_INTERVAL_S = 1.0
EXPORT_INTERVAL_S = 1.0
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
    """

    request: traces.Request
    fetch_blocks: int = 0
    first_token_s: float | None = None
    computed_blocks: int = 0
    tokens_left: int = 0
    refusal: verdict.Refusal | None = None


class Engine:
    """One engine with the queue of its agent.

    Attributes:
      member: Name and data centre.
      queue: Fair queue of the agent.
      reserved_tokens: Prompt tokens of reservations.
      running: Runs that decode.
      reported_tokens: Queued tokens as last reported.
      exports: Runs whose blocks wait to be exported.
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
        self.visits = returns.VisitTracker()
        self.queue = fair_queue.FairQueue[Run](
            timeline.clock,
            self._refuse,
            tokens_per_s=speed.prefill_tokens_per_s,
        )
        self.cache: collections.OrderedDict[bytes, None]
        self.cache = collections.OrderedDict()
        self._timeline = timeline
        self._prefill_until_s = 0.0
        self._prefilling = False
        self._paused: collections.deque[Run] = collections.deque()

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

    def insert(self, keys: collections.abc.Sequence[bytes]) -> None:
        """Puts blocks into the cache; the last ones are evicted first."""
        for key in reversed(keys):
            self.cache[key] = None
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
        if self._paused:
            oldest = self._paused[0].request.workspace
            if not self.queue.should_yield(oldest):
                self._compute(self._paused.popleft())
                return
        if self.running >= self.speed.slots + len(self._paused):
            return
        entry = self.queue.pop()
        if entry is None:
            return
        run = entry.item
        request = run.request
        prompt = request.keys[: request.prompt_blocks]
        run.computed_blocks = request.prompt_blocks - self.resident(prompt)
        run.tokens_left = max(1, run.computed_blocks) * tokens.BLOCK_TOKENS
        self.running += 1
        self.busy_s += RUN_OVERHEAD_S
        self.insert(prompt)
        self._compute(run, RUN_OVERHEAD_S)

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
        """Goes on after a chunk, unless the run should give way."""
        if not run.tokens_left:
            self._first_token(run)
            return
        if self.queue.should_yield(run.request.workspace):
            self._paused.append(run)
            self._prefilling = False
            self._start_next()
            return
        self._compute(run)

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


class Store:
    """One store; its blocks are scaled down, its links are not."""

    def __init__(
        self,
        member: rendezvous.Member,
        site: sites.Site,
        timeline: virtual_time.Timeline,
        value: block_store.Value | None = None,
    ) -> None:
        """Starts empty; both tiers are modelled as one."""
        self.member = member
        self.alive = True
        self.value = value
        count = site.store_memory_blocks + site.store_disk_blocks
        bounds = block_store.Bounds(count * len(SCALED_BLOCK), 0)
        self.kept = block_store.BlockStore(bounds, timeline.clock, value=value)

    def leading(self, request: traces.Request) -> list[block_store.Record]:
        """Returns the blocks kept of a prompt."""
        if not self.alive:
            return []
        prompt = request.keys[: request.prompt_blocks]
        return self.kept.leading(scope_of(request), prompt)

    def keep(
        self, request: traces.Request, first: int, end: int, recompute_us: int
    ) -> None:
        """Keeps blocks of a prompt."""
        scope = scope_of(request)
        for position in range(first, end):
            key = request.keys[position]
            parent = request.keys[position - 1] if position else b""
            checksum = blocks.checksum(scope, key, SCALED_BLOCK)
            block = blocks.Block(
                key, parent, position, SCALED_BLOCK, checksum, recompute_us
            )
            try:
                self.kept.keep(scope, block)
            except exceptions.RejectedBlockError:
                return


def scope_of(request: traces.Request) -> tokens.Scope:
    """Returns the scope of a request's blocks."""
    return tokens.Scope(request.workspace, sites.DEPLOYMENT, "v1")


class World:
    """Everything of one site.

    Attributes:
      fetched_bytes: Bytes over limited links towards engines.
      exported_bytes: Bytes over limited links towards stores.
      local_bytes: Bytes of both kinds inside data centres.
    """

    def __init__(
        self, site: sites.Site, value: block_store.Value | None = None
    ) -> None:
        """Builds an idle site."""
        self.site = site
        self.timeline = virtual_time.Timeline()
        self.use = recent_use.RecentUse(self.timeline.clock)
        self.table = table.Table(site.engines)
        self.engines = {
            member.name: Engine(member, site.engine, self.timeline)
            for member in site.engines
        }
        self.stores = {
            member.name: Store(member, site, self.timeline, value)
            for member in site.stores
        }
        self.links = {
            pair: token_bucket.TokenBucket(
                link.bytes_per_s, self.timeline.clock, price_per_gb=link.price
            )
            for pair, link in site.links.items()
        }
        self.fetched_bytes = 0
        self.exported_bytes = 0
        self.local_bytes = 0

    def lose_store(self, name: str) -> None:
        """Kills a store; agents tell after some failures in a row."""
        old = self.stores[name]
        self.stores[name] = Store(
            old.member, self.site, self.timeline, old.value
        )
        self.stores[name].alive = False

        def recover() -> None:
            for engine in self.engines.values():
                engine.exports.extend(engine.recent.take(name))

        failures = client.LOST_AFTER_FAILURES
        self.timeline.after(failures * client.AVOID_FAILED_S, recover)

    def link(
        self, one: rendezvous.Member, other: rendezvous.Member
    ) -> token_bucket.TokenBucket | None:
        """Returns the limited link between two members, if there is one."""
        low, high = sorted((one.data_centre, other.data_centre))
        return self.links.get((low, high))

    def store_of(self, request: traces.Request) -> Store | None:
        """Returns the live store that a prompt belongs to."""
        live = [s.member for s in self.stores.values() if s.alive]
        ranked = location.rank_stores(request.prefix_key, live, self.table)
        return self.stores[ranked[0].name] if ranked else None

    def fetch(self, engine: Engine, run: Run) -> float:
        """Imports kept blocks; returns the time that it takes in seconds."""
        store = self.store_of(run.request)
        if store is None:
            return 0.0
        found = store.leading(run.request)[: run.fetch_blocks]
        resident = engine.resident(run.request.keys[: len(found)])
        wanted = found[resident:]
        if not wanted:
            return 0.0
        size = len(wanted) * sites.BLOCK_BYTES
        link = self.link(engine.member, store.member)
        delay_s = transfer.transfer_ms(size, link) / 1000
        if link is not None:
            link.try_take(size, float("inf"))
            self.fetched_bytes += size
        else:
            self.local_bytes += size
        for record in wanted:
            store.kept.visit(record)
        keys = run.request.keys[: len(found)]
        self.timeline.after(delay_s, lambda: engine.insert(keys))
        return delay_s

    def export(
        self, engine: Engine, run: Run, is_worthwhile: ExportRule
    ) -> bool:
        """Exports the blocks of a finished run that its store lacks.

        Returns:
          Whether the run is settled; False to try again later.
        """
        request = run.request
        store = self.store_of(request)
        if store is None:
            return True
        engine.recent.note(request.prefix_key, store.member.name, run)
        held = engine.resident(request.keys)
        first = len(store.kept.leading(scope_of(request), request.keys))
        if held <= first:
            return True
        link = self.link(engine.member, store.member)
        verdict_now = is_worthwhile(engine, run, held - first, link)
        if verdict_now is not True:
            return verdict_now is False
        size = (held - first) * sites.BLOCK_BYTES
        if link is None:
            self.local_bytes += size
        else:
            self.exported_bytes += size
        block_s = tokens.BLOCK_TOKENS / engine.speed.prefill_tokens_per_s
        store.keep(request, first, held, round(block_s * 1e6))
        return True


ExportRule: typing.TypeAlias = (
    "collections.abc.Callable["
    "[Engine, Run, int, token_bucket.TokenBucket | None], bool | None]"
)
