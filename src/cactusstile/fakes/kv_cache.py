"""Prefix cache of the fake engine: bounded slots with LRU eviction."""

from __future__ import annotations

import collections
import collections.abc

import attrs

from cactusstile.fakes import oracle

MAX_EVENTS = 10_000


@attrs.define
class Slot:
    """Memory slot of one block.

    Attributes:
      key: Lookup key of the block; empty when the slot is free.
      content_key: Key that determines the content of a locally computed block.
      content: Imported content; None for a locally computed block.
      generation: Incremented each time the slot is freed.
      sealed: Whether the content is complete.
      pins: Number of runs that currently use the slot.
    """

    key: bytes = b""
    content_key: bytes = b""
    content: bytes | None = None
    generation: int = 0
    sealed: bool = False
    pins: int = 0

    def digest(self) -> bytes:
        """Returns the digest of the content that later tokens depend on."""
        if self.content is None:
            return self.content_key
        return oracle.kv_digest(self.content)


@attrs.frozen
class Event:
    """A change of the cache.

    Attributes:
      sequence: Sequence number, from 1 without gaps.
      kind: "stored" or "removed".
      key: Key of the block.
      time_s: Time of the change in seconds on the event loop's clock.
    """

    sequence: int
    kind: str
    key: bytes
    time_s: float


class KvCache:
    """Blocks in accelerator memory.

    Attributes:
      slots: All slots; the index identifies the block.
      events: The latest changes, at most `MAX_EVENTS`.
    """

    def __init__(
        self,
        blocks: int,
        block_bytes: int,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        """Creates `blocks` free slots of `block_bytes` bytes each."""
        self.block_bytes = block_bytes
        self.slots = [Slot() for _ in range(blocks)]
        self.events: collections.deque[Event] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self._clock = clock
        self._free_indexes = list(range(blocks))
        self._index_by_key: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )
        self._sequence = 0

    def find_prefix(self, keys: collections.abc.Iterable[bytes]) -> list[int]:
        """Returns the slot indexes of the leading sealed blocks."""
        indexes = []
        for key in keys:
            index = self._index_by_key.get(key)
            if index is None or not self.slots[index].sealed:
                break
            indexes.append(index)
        return indexes

    def touch(self, indexes: collections.abc.Iterable[int]) -> None:
        """Marks blocks as recently used; the last one is evicted first."""
        for index in reversed(list(indexes)):
            self._index_by_key.move_to_end(self.slots[index].key)

    def allocate(self, key: bytes) -> int | None:
        """Returns the index of an unsealed slot, evicting a block if needed.

        Returns None if `key` is present already or no block can be evicted.
        """
        if key in self._index_by_key:
            return None
        if not self._free_indexes and not self._evict():
            return None
        index = self._free_indexes.pop()
        slot = self.slots[index]
        slot.key = key
        slot.sealed = False
        self._index_by_key[key] = index
        return index

    def seal(
        self, index: int, content_key: bytes, content: bytes | None
    ) -> None:
        """Sets the content of a slot and marks it as complete."""
        slot = self.slots[index]
        slot.content_key = content_key
        slot.content = content
        slot.sealed = True
        self._record_event("stored", slot.key)

    def free(self, index: int) -> None:
        """Removes the block from a slot."""
        slot = self.slots[index]
        if not slot.key:
            return
        del self._index_by_key[slot.key]
        self._record_event("removed", slot.key)
        slot.key = b""
        slot.generation += 1
        self._free_indexes.append(index)

    def clear(self) -> None:
        """Removes all unpinned blocks."""
        for index, slot in enumerate(self.slots):
            if not slot.pins:
                self.free(index)

    def read(self, index: int) -> bytes:
        """Returns the current bytes of a slot, which may be incomplete."""
        slot = self.slots[index]
        content = slot.content
        if content is None:
            content = oracle.kv_content(slot.content_key, self.block_bytes)
        if slot.sealed:
            return content
        half = self.block_bytes // 2
        return content[:half].ljust(self.block_bytes, b"\0")

    def _evict(self) -> bool:
        for key, index in self._index_by_key.items():
            if self.slots[index].pins or not self.slots[index].sealed:
                continue
            self.free(self._index_by_key[key])
            return True
        return False

    def _record_event(self, kind: str, key: bytes) -> None:
        self._sequence += 1
        self.events.append(Event(self._sequence, kind, key, self._clock()))
