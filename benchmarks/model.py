"""A fast simulation of engines, stores and links in virtual time.

Compares routing and transfer decisions. The routing, queueing, eviction and
transfer code is the product's own; only the speed of engines, the links and
the transport are simulated. Deterministic for a given trace and seed.
"""

from __future__ import annotations

import collections
import collections.abc
import functools
import typing

from benchmarks import engines
from benchmarks import sites
from benchmarks import traces
from benchmarks import virtual_time
from cactusstile import tokens
from cactusstile.fakes import oracle
from cactusstile.limits import confinement
from cactusstile.limits import token_bucket
from cactusstile.routing import rendezvous
from cactusstile.routing import table
from cactusstile.store import block_store
from cactusstile.store import blocks
from cactusstile.store import client
from cactusstile.store import disk
from cactusstile.store import exceptions
from cactusstile.store import location
from cactusstile.store import transfer

SCALED_BLOCK_BYTES = 64
REPORT_INTERVAL_S = 1.0
EXPORT_INTERVAL_S = 1.0


class Store:
    """One store, with blocks of reduced size and links of full bandwidth."""

    def __init__(
        self,
        member: rendezvous.Member,
        site: sites.Site,
        timeline: virtual_time.Timeline,
        value: block_store.Value | None = None,
    ) -> None:
        """Creates an empty store that models both tiers as one."""
        self.member = member
        self.alive = True
        self.value = value
        count = site.store_memory_blocks + site.store_disk_blocks
        bounds = block_store.Bounds(count * SCALED_BLOCK_BYTES, 0)
        self.stored_blocks = block_store.BlockStore(
            bounds, timeline.clock, value=value
        )

    def leading(self, request: traces.Request) -> list[block_store.Record]:
        """Returns the leading stored blocks of a prompt."""
        if not self.alive:
            return []
        prompt = request.keys[: request.prompt_blocks]
        return self.stored_blocks.leading(engines.scope_of(request), prompt)

    def keep(
        self, request: traces.Request, first: int, end: int, recompute_us: int
    ) -> None:
        """Stores blocks of a prompt until one is rejected.

        Args:
          request: Request with the keys of the blocks.
          first: Position of the first block to store.
          end: Position after the last block to store.
          recompute_us: Time to recompute a block in microseconds.
        """
        scope = engines.scope_of(request)
        for position in range(first, end):
            key = request.keys[position]
            parent = request.keys[position - 1] if position else b""
            data = oracle.kv_content(key, SCALED_BLOCK_BYTES)
            checksum = blocks.checksum(scope, key, data)
            block = blocks.Block(
                key, parent, position, data, checksum, recompute_us
            )
            try:
                self.stored_blocks.keep(scope, block)
            except exceptions.RejectedBlockError:
                return


class Simulation:
    """Simulated state of one site.

    Attributes:
      fetched_bytes: Bytes sent to engines over limited links.
      exported_bytes: Bytes sent to stores over limited links.
      local_bytes: Bytes sent in both directions inside data centres.
    """

    def __init__(
        self, site: sites.Site, value: block_store.Value | None = None
    ) -> None:
        """Creates an idle site."""
        self.site = site
        self.timeline = virtual_time.Timeline()
        self.confining = confinement.Confinement(self.timeline.clock)
        self.table = table.Table(site.engines)
        self.engines = {
            member.name: engines.Engine(member, site.engine, self.timeline)
            for member in site.engines
        }
        for engine in self.engines.values():
            engine.import_at_start = functools.partial(
                self.import_at_start, engine
            )
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
        """Kills a store; agents detect it after consecutive failures."""
        old = self.stores[name]
        self.stores[name] = Store(
            old.member, self.site, self.timeline, old.value
        )
        self.stores[name].alive = False

        def recover() -> None:
            for engine in self.engines.values():
                engine.pending_exports.extend(engine.recent_exports.take(name))

        failures = client.LOST_AFTER_FAILURES
        self.timeline.after(failures * client.AVOID_FAILED_S, recover)

    def link(
        self, member: rendezvous.Member, peer: rendezvous.Member
    ) -> token_bucket.TokenBucket | None:
        """Returns the limited link between two members; None if unlimited."""
        low, high = sorted((member.data_centre, peer.data_centre))
        return self.links.get((low, high))

    def store_of(self, request: traces.Request) -> Store | None:
        """Returns the first live store in the ranking; None if none is live."""
        live = [store.member for store in self.stores.values() if store.alive]
        ranked = location.rank_stores(request.prefix_key, live, self.table)
        return self.stores[ranked[0].name] if ranked else None

    def fetch(self, engine: engines.Engine, run: engines.Run) -> float:
        """Imports stored blocks; returns the duration in seconds."""
        store = self.store_of(run.request)
        if store is None:
            return 0.0
        stored_records = store.leading(run.request)[: run.fetch_blocks]
        resident = engine.resident(run.request.keys[: len(stored_records)])
        missing = stored_records[resident:]
        if not missing:
            return 0.0
        size = len(missing) * sites.BLOCK_BYTES
        link = self.link(engine.member, store.member)
        delay_s = transfer.transfer_ms(size, link) / 1000
        if link is not None:
            link.try_take(size, float("inf"))
            self.fetched_bytes += size
        else:
            self.local_bytes += size
        for record in missing:
            store.stored_blocks.visit(record)
        keys = run.request.keys[:resident]
        headers = [record.header for record in missing]

        def deliver() -> None:
            digests = _read_digests(store.stored_blocks, headers)
            engine.insert([*keys, *digests], digests)

        self.timeline.after(delay_s, deliver)
        return delay_s

    def import_at_start(
        self, engine: engines.Engine, run: engines.Run
    ) -> float:
        """Imports stored blocks when a run starts, if it is still worthwhile.

        Returns:
          Duration in seconds; 0 if nothing is imported.
        """
        request = run.request
        store = self.store_of(request)
        if store is None:
            return 0.0
        stored_records = store.leading(request)
        resident = engine.resident(request.keys[: len(stored_records)])
        missing = stored_records[resident:]
        link = self.link(engine.member, store.member)
        size = len(missing) * sites.BLOCK_BYTES
        block_ms = tokens.BLOCK_TOKENS / engine.speed.prefill_tokens_per_s * 1e3
        need = transfer.FetchCandidate(
            len(missing), size, len(missing) * block_ms
        )
        plan = transfer.plan_fetch(need, self.site.weights, link)
        if not plan.blocks:
            return 0.0
        if link is None:
            self.local_bytes += size
        elif link.try_take(size, plan.limit_ms / 1000):
            self.fetched_bytes += size
        else:
            return 0.0
        for record in missing:
            store.stored_blocks.visit(record)
        digests = _read_digests(
            store.stored_blocks, [record.header for record in missing]
        )
        engine.insert([*request.keys[:resident], *digests], digests)
        return plan.expected_ms / 1000

    def export(
        self,
        engine: engines.Engine,
        run: engines.Run,
        is_worthwhile: ExportRule,
    ) -> bool:
        """Exports the blocks of a finished run that its store lacks.

        Args:
          engine: Engine that holds the blocks.
          run: The finished run.
          is_worthwhile: Export rule of the policy.

        Returns:
          True if nothing remains to be exported; False to retry later.
        """
        request = run.request
        store = self.store_of(request)
        if store is None:
            return True
        engine.recent_exports.add(request.prefix_key, store.member.name, run)
        resident_count = engine.resident(request.keys)
        first = len(
            store.stored_blocks.leading(engines.scope_of(request), request.keys)
        )
        if resident_count <= first:
            return True
        link = self.link(engine.member, store.member)
        decision = is_worthwhile(engine, run, resident_count - first, link)
        if decision is not True:
            return decision is False
        size = (resident_count - first) * sites.BLOCK_BYTES
        if link is None:
            self.local_bytes += size
        else:
            self.exported_bytes += size
        block_s = tokens.BLOCK_TOKENS / engine.speed.prefill_tokens_per_s
        store.keep(request, first, resident_count, round(block_s * 1e6))
        return True


def _read_digests(
    stored_blocks: block_store.BlockStore, headers: list[disk.Header]
) -> dict[bytes, bytes]:
    """Returns digests of blocks by key, up to the first invalid block."""
    digests: dict[bytes, bytes] = {}
    for header in headers:
        try:
            data = stored_blocks.read(header, 0, header.size)
            block = blocks.Block(
                header.key,
                header.parent,
                header.position,
                data,
                header.checksum,
            )
            blocks.verify(header.scope, block)
        except exceptions.CorruptBlockError:
            stored_blocks.drop_corrupt(header)
            break
        except exceptions.UnknownBlockError:
            break
        digests[header.key] = oracle.kv_digest(data)
    return digests


ExportRule: typing.TypeAlias = (
    "collections.abc.Callable["
    "[engines.Engine, engines.Run, int, token_bucket.TokenBucket | None],"
    " bool | None]"
)
