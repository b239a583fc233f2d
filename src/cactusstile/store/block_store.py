"""Blocks of one store in a bounded memory tier and a bounded disk tier.

Invariant: the ancestors of a stored block are stored too. Only blocks without
stored children are evicted, so the stored blocks of a prompt always form a
usable prefix.

Each read names the generation of the block at the start of the copy. Freeing or
evicting a block invalidates its generation, and a key that is stored again gets
a new generation. A copy in progress then fails instead of mixing two contents.
Generations start at the time of the start, so that those of two starts differ.
"""

from __future__ import annotations

import random
import time
import typing

import attrs
import prometheus_client

from cactusstile import tokens
from cactusstile.store import blocks
from cactusstile.store import disk
from cactusstile.store import exceptions
from cactusstile.store import returns
from cactusstile.store import sampler

if typing.TYPE_CHECKING:
    import collections.abc

EVICTION_SAMPLE_SIZE = 16
SAME_VISIT_MAX_GAP_S = 1.0
MAX_POSITION = 1 << 20

_EVICTED = prometheus_client.Counter(
    "cactusstile_store_evicted_blocks", "Blocks evicted by tier", ["tier"]
)
_CORRUPT = prometheus_client.Counter(
    "cactusstile_store_corrupt_blocks", "Blocks dropped by a failed check"
)
_DISK_ERRORS = prometheus_client.Counter(
    "cactusstile_store_disk_errors", "Writes that the disk refused"
)


@attrs.frozen
class Bounds:
    """Bounds on the content of each tier, in bytes; 0 turns a tier off."""

    memory_bytes: int
    disk_bytes: int


Children: typing.TypeAlias = "tuple[bytes, ...] | dict[bytes, None]"


@attrs.define(eq=False)
class Record:
    """A sealed block.

    Attributes:
      header: Identity, generation and checksum.
      data: Content if the block is in the memory tier; None if it is on disk.
      visited_s: Time of the last visit on the store's clock, in seconds.
      hits: Number of visits after the first.
      children: Keys of the stored blocks that follow this one. Most blocks have
        at most one; the many blocks without children share one empty tuple.
      memory_children: Number of children in the memory tier.
    """

    header: disk.Header
    data: bytes | None
    visited_s: float
    hits: int = 0
    children: Children = ()
    memory_children: int = 0


Value: typing.TypeAlias = "collections.abc.Callable[[Record, float], float]"


class BlockStore:
    """Sealed blocks by key.

    Attributes:
      bounds: Bounds of both tiers.
      records: Sealed blocks by key.
      memory_bytes: Bytes of content in the memory tier.
      disk: Disk tier; None if it is turned off.
      returns: Estimator of how soon blocks are requested again.
      value: Returns the value of a stored block at a time of the store's
        clock; the block with the lowest value is evicted first.
    """

    def __init__(
        self,
        bounds: Bounds,
        clock: collections.abc.Callable[[], float],
        disk_tier: disk.DiskTier | None = None,
        value: Value | None = None,
        seed: int = 0,
    ) -> None:
        """Opens the store and recovers the blocks on disk."""
        self.bounds = bounds
        self.records: dict[bytes, Record] = {}
        self.memory_bytes = 0
        self.disk = disk_tier
        self.returns = returns.ReturnEstimator()
        self.value = value or self.expected_saving
        self._clock = clock
        rng = random.Random(seed)
        self._memory_leaves = sampler.Sampler[Record](rng)
        self._disk_leaves = sampler.Sampler[Record](rng)
        # A counter on a disk that refuses writes would repeat.
        self._next_generation = time.time_ns()
        self._recover()

    def keep(self, scope: tokens.Scope, block: blocks.Block) -> Record:
        """Seals a complete block and evicts others to make room for it.

        Returns:
          The sealed block; the existing one if the key is stored already.

        Raises:
          CorruptBlockError: If the content does not match its checksum.
          RejectedBlockError: If the block is malformed, its parent is not
            stored, or the store has no room for it.
        """
        existing = self.find(scope, block.key)
        if existing is not None:
            return existing
        self._validate(scope, block)
        blocks.verify(scope, block)
        now_s = self._clock()
        parent = self.records.get(block.parent)
        header = disk.Header(
            parent.header.scope if parent else scope,
            block.key,
            parent.header.key if parent else block.parent,
            block.position,
            self._next_generation,
            block.checksum,
            len(block.data),
            block.recompute_us,
        )
        self._next_generation += 1
        hits = self._record_extension(header, now_s)
        record = Record(header, block.data, now_s, hits)
        self._add(record)
        self._enforce_bounds()
        if self.records.get(block.key) is not record:
            raise exceptions.RejectedBlockError("no room; the store is full")
        return record

    def find(self, scope: tokens.Scope, key: bytes) -> Record | None:
        """Returns the sealed block of `key` if it belongs to `scope`."""
        record = self.records.get(key)
        if record is None or record.header.scope != scope:
            return None
        return record

    def leading(
        self, scope: tokens.Scope, keys: collections.abc.Sequence[bytes]
    ) -> list[Record]:
        """Returns the stored blocks of a prompt up to the first missing one."""
        records = []
        for key in keys:
            record = self.find(scope, key)
            if record is None:
                break
            records.append(record)
        return records

    def visit(self, record: Record) -> None:
        """Records that a block was requested again."""
        now_s = self._clock()
        workspace = record.header.scope.workspace
        gap_s = max(0.0, now_s - record.visited_s)
        self.returns.record_return(workspace, record.hits, gap_s)
        record.hits += 1
        record.visited_s = now_s

    def read(self, header: disk.Header, offset: int, size: int) -> bytes:
        """Returns up to `size` bytes of a block, starting at `offset`.

        Args:
          header: Identity and generation of the block.
          offset: Offset in bytes.
          size: Maximum number of bytes.

        Raises:
          UnknownBlockError: If that generation of the block was freed.
          CorruptBlockError: If the block's file is damaged; frees the block.
        """
        record = self.records.get(header.key)
        if record is None or record.header.generation != header.generation:
            raise exceptions.UnknownBlockError("block was freed")
        if record.data is not None:
            return record.data[offset : offset + size]
        if self.disk is None:
            raise exceptions.UnknownBlockError("block was freed")
        try:
            return self.disk.read(header, offset, size)
        except exceptions.CorruptBlockError:
            self.drop_corrupt(header)
            raise

    def drop_corrupt(self, header: disk.Header) -> None:
        """Frees a block that failed a check, unless it was replaced since."""
        record = self.records.get(header.key)
        if record is not None and record.header.generation == header.generation:
            _CORRUPT.inc()
            self.free(record)

    def free(self, record: Record) -> int:
        """Frees a block and its descendants; returns the number of blocks."""
        pending = [record]
        count = 0
        while pending:
            current = pending.pop()
            children = [self.records[key] for key in current.children]
            pending += children
            self._remove(current)
            count += 1
        return count

    def flush(self) -> None:
        """Moves blocks from memory to disk, as far as they fit."""
        for record in list(self.records.values()):
            is_stored = self.records.get(record.header.key) is record
            if is_stored and record.data is not None:
                self._demote(record)

    def expected_saving(self, record: Record, now_s: float) -> float:
        """Returns the expected saving of a block per second and byte."""
        header = record.header
        idle_s = max(0.0, now_s - record.visited_s)
        rate = self.returns.return_rate(
            header.scope.workspace, record.hits, idle_s
        )
        return rate * max(1, header.recompute_us) / max(1, header.size)

    def _record_extension(self, header: disk.Header, now_s: float) -> int:
        """Records a visit of the parent when a prompt is extended.

        Extending a prompt counts as a return even if no block was fetched.

        Returns:
          Number of returns of the prompt so far.
        """
        if not header.position:
            return 0
        parent = self.records[header.parent]
        is_leaf = not parent.children
        if is_leaf and now_s - parent.visited_s > SAME_VISIT_MAX_GAP_S:
            self.visit(parent)
        return parent.hits if is_leaf else 0

    def _validate(self, scope: tokens.Scope, block: blocks.Block) -> None:
        fits = len(block.data) <= max(
            self.bounds.memory_bytes, self.bounds.disk_bytes
        )
        well_formed = (
            len(block.key) == tokens.KEY_BYTES
            and 0 <= block.position < MAX_POSITION
            and block.key not in self.records
            and not any("\0" in part for part in scope)
        )
        if not fits or not well_formed:
            raise exceptions.RejectedBlockError("malformed or too large")
        if block.position == 0:
            return
        parent = self.find(scope, block.parent)
        if parent is None or parent.header.position != block.position - 1:
            raise exceptions.RejectedBlockError(
                "the block before it is not kept; keep that one first"
            )

    def _add(self, record: Record) -> None:
        header = record.header
        self.records[header.key] = record
        if record.data is not None:
            self.memory_bytes += header.size
        self._update_leaves(record)
        if not header.position:
            return
        parent = self.records[header.parent]
        parent.children = _with_child(parent.children, header.key)
        parent.memory_children += record.data is not None
        self._update_leaves(parent)

    def _remove(self, record: Record) -> None:
        header = record.header
        del self.records[header.key]
        self._memory_leaves.discard(record)
        self._disk_leaves.discard(record)
        if record.data is not None:
            self.memory_bytes -= header.size
        elif self.disk is not None:
            self.disk.delete(header)
        parent = self.records.get(header.parent)
        if parent is None:
            return
        parent.children = _without_child(parent.children, header.key)
        parent.memory_children -= record.data is not None
        self._update_leaves(parent)

    def _update_leaves(self, record: Record) -> None:
        """Updates whether a block is a candidate for eviction."""
        self._memory_leaves.discard(record)
        self._disk_leaves.discard(record)
        if record.data is not None and not record.memory_children:
            self._memory_leaves.add(record)
        if record.data is None and not record.children:
            self._disk_leaves.add(record)

    def _enforce_bounds(self) -> None:
        while self.memory_bytes > self.bounds.memory_bytes:
            self._demote(self._pick_victim(self._memory_leaves))
        while self.disk and self.disk.used_bytes > self.bounds.disk_bytes:
            leaves = self._disk_leaves or self._memory_leaves
            self._evict(self._pick_victim(leaves), "disk")

    def _pick_victim(self, leaves: sampler.Sampler[Record]) -> Record:
        """Returns the leaf block of lowest value in a random sample."""
        now_s = self._clock()
        return min(
            leaves.sample(EVICTION_SAMPLE_SIZE),
            key=lambda record: self.value(record, now_s),
        )

    def _demote(self, record: Record) -> None:
        """Moves a block from memory to disk; frees it if that is impossible."""
        header = record.header
        if self.disk is None or header.size > self.bounds.disk_bytes:
            self._evict(record, "memory")
            return
        try:
            self.disk.write(header, record.data or b"")
        except OSError:
            _DISK_ERRORS.inc()
            self.free(record)
            return
        self.memory_bytes -= header.size
        record.data = None
        self._update_leaves(record)
        parent = self.records.get(header.parent)
        if parent is not None:
            parent.memory_children -= 1
            self._update_leaves(parent)

    def _evict(self, record: Record, tier: str) -> None:
        _EVICTED.labels(tier).inc()
        idle_s = max(0.0, self._clock() - record.visited_s)
        workspace = record.header.scope.workspace
        self.returns.record_drop(workspace, record.hits, idle_s)
        self.free(record)

    def _recover(self) -> None:
        """Recovers blocks of an earlier run whose ancestors are intact."""
        if self.disk is None:
            return
        now_s = self._clock()
        headers = sorted(self.disk.scan(), key=lambda item: item.position)
        for header in headers:
            # The clock may have been set back.
            self._next_generation = max(
                self._next_generation, header.generation + 1
            )
            is_orphan = header.position and header.parent not in self.records
            if is_orphan or header.key in self.records:
                self.disk.delete(header)
                continue
            self._add(Record(header, None, now_s))
        self._enforce_bounds()


def _with_child(children: Children, key: bytes) -> Children:
    """Adds a key; a tuple holds up to one key, a dict holds more."""
    if not children:
        return (key,)
    if isinstance(children, tuple):
        children = dict.fromkeys(children)
    children[key] = None
    return children


def _without_child(children: Children, key: bytes) -> Children:
    if isinstance(children, tuple):
        return () if children == (key,) else children
    del children[key]
    return children if len(children) > 1 else tuple(children)
