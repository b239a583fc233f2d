"""The blocks of one store: memory tier, then disk tier, both bounded.

Invariant: a kept block's ancestors are kept. Only blocks without kept children
are evicted, so that what is left of a prompt is always a usable prefix.

Readers name the generation that they began with. Freeing a block, also to
evict it, makes its generation unknown, and a key that is kept again gets a new
one; a reader in the middle of a copy then fails and never mixes two contents.
"""

from __future__ import annotations

import random
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

EVICTION_SAMPLE = 16
SAME_VISIT_S = 1.0
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
      data: Content in the memory tier; None when it is on disk.
      visited_s: Time of the last visit on the store's clock.
      hits: Visits after the first.
      children: Keys of kept blocks that follow this one. Most have one at
        most, so that the many share one empty collection.
      memory_children: Count of those in the memory tier.
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
      bounds: Bounds of the tiers.
      records: Blocks by key.
      memory_bytes: Content held in memory.
      disk: Disk tier; None when it is off.
      returns: What is learned of returns.
      value: Worth of keeping a block; the least is evicted first.
    """

    def __init__(
        self,
        bounds: Bounds,
        clock: collections.abc.Callable[[], float],
        disk_tier: disk.DiskTier | None = None,
        value: Value | None = None,
        seed: int = 0,
    ) -> None:
        """Opens the store and finds what the disk still holds."""
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
        epoch = disk_tier.next_epoch() if disk_tier else 1
        self._next_generation = (epoch << 40) + 1
        self._recover()

    def keep(self, scope: tokens.Scope, block: blocks.Block) -> Record:
        """Seals a block that is whole, and makes room for it.

        Raises:
          CorruptBlockError: If the content does not match its checksum.
          RejectedBlockError: If the block before it is not kept, or it does
            not fit at all.
        """
        existing = self.find(scope, block.key)
        if existing is not None:
            return existing
        self._check(scope, block)
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
        hits = self._note_growth(header, now_s)
        record = Record(header, block.data, now_s, hits)
        self._add(record)
        self._make_room()
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
        """Returns the blocks kept of a prompt, up to the first that is not."""
        found = []
        for key in keys:
            record = self.find(scope, key)
            if record is None:
                break
            found.append(record)
        return found

    def visit(self, record: Record) -> None:
        """Counts a return of a block."""
        now_s = self._clock()
        workspace = record.header.scope.workspace
        gap_s = max(0.0, now_s - record.visited_s)
        self.returns.note_return(workspace, record.hits, gap_s)
        record.hits += 1
        record.visited_s = now_s

    def read(self, header: disk.Header, offset: int, size: int) -> bytes:
        """Returns a piece of a block of the generation in `header`.

        Raises:
          UnknownBlockError: If it was freed since.
          CorruptBlockError: If its file is damaged; it is freed then.
        """
        record = self.records.get(header.key)
        if record is None or record.header.generation != header.generation:
            raise exceptions.UnknownBlockError("the block was freed")
        if record.data is not None:
            return record.data[offset : offset + size]
        if self.disk is None:
            raise exceptions.UnknownBlockError("the block was freed")
        try:
            return self.disk.read(header, offset, size)
        except exceptions.CorruptBlockError:
            self.drop_corrupt(header)
            raise

    def drop_corrupt(self, header: disk.Header) -> None:
        """Frees a block that failed a check, if it is still the same one."""
        record = self.records.get(header.key)
        if record is not None and record.header.generation == header.generation:
            _CORRUPT.inc()
            self.free(record)

    def free(self, record: Record) -> int:
        """Frees a block and all that follow it; returns how many."""
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
        """Moves what memory holds to disk, as far as it fits."""
        for record in list(self.records.values()):
            is_kept = self.records.get(record.header.key) is record
            if is_kept and record.data is not None:
                self._demote(record)

    def expected_saving(self, record: Record, now_s: float) -> float:
        """Returns the expected saving per second and byte of a block."""
        header = record.header
        idle_s = max(0.0, now_s - record.visited_s)
        rate = self.returns.return_rate(
            header.scope.workspace, record.hits, idle_s
        )
        return rate * max(1, header.recompute_us) / max(1, header.size)

    def _note_growth(self, header: disk.Header, now_s: float) -> int:
        """Counts a prompt that grew as a return, though nothing was fetched.

        Returns:
          How often the prompt came back so far.
        """
        if not header.position:
            return 0
        parent = self.records[header.parent]
        is_last = not parent.children
        if is_last and now_s - parent.visited_s > SAME_VISIT_S:
            self.visit(parent)
        return parent.hits if is_last else 0

    def _check(self, scope: tokens.Scope, block: blocks.Block) -> None:
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
        self._refresh(record)
        if not header.position:
            return
        parent = self.records[header.parent]
        parent.children = _with_child(parent.children, header.key)
        parent.memory_children += record.data is not None
        self._refresh(parent)

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
        self._refresh(parent)

    def _refresh(self, record: Record) -> None:
        """Puts a block among those that may be evicted, or takes it out."""
        self._memory_leaves.discard(record)
        self._disk_leaves.discard(record)
        if record.data is not None and not record.memory_children:
            self._memory_leaves.add(record)
        if record.data is None and not record.children:
            self._disk_leaves.add(record)

    def _make_room(self) -> None:
        while self.memory_bytes > self.bounds.memory_bytes:
            self._demote(self._pick_victim(self._memory_leaves))
        while self.disk and self.disk.used_bytes > self.bounds.disk_bytes:
            leaves = self._disk_leaves or self._memory_leaves
            self._evict(self._pick_victim(leaves), "disk")

    def _pick_victim(self, leaves: sampler.Sampler[Record]) -> Record:
        """Returns a block of small value that no other one needs."""
        now_s = self._clock()
        return min(
            leaves.sample(EVICTION_SAMPLE),
            key=lambda record: self.value(record, now_s),
        )

    def _demote(self, record: Record) -> None:
        """Moves a block from memory to disk, or frees it."""
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
        self._refresh(record)
        parent = self.records.get(header.parent)
        if parent is not None:
            parent.memory_children -= 1
            self._refresh(parent)

    def _evict(self, record: Record, tier: str) -> None:
        _EVICTED.labels(tier).inc()
        idle_s = max(0.0, self._clock() - record.visited_s)
        workspace = record.header.scope.workspace
        self.returns.note_drop(workspace, record.hits, idle_s)
        self.free(record)

    def _recover(self) -> None:
        """Takes up the files of an earlier run whose ancestors are whole."""
        if self.disk is None:
            return
        now_s = self._clock()
        headers = sorted(self.disk.scan(), key=lambda item: item.position)
        for header in headers:
            orphan = header.position and header.parent not in self.records
            if orphan or header.key in self.records:
                self.disk.delete(header)
                continue
            self._add(Record(header, None, now_s))
        self._make_room()


def _with_child(children: Children, key: bytes) -> Children:
    """Adds to a tuple of at most one, or to a mapping of more."""
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
