"""Prefix cache of the fake engine: bounded slots with least recent eviction."""

from __future__ import annotations

import collections
import collections.abc

import attrs

from cactusstile.fakes import oracle

MAX_EVENTS = 10_000


@attrs.define
class Slot:
    """Memory of one block.

    Attributes:
      key: Key by which the cache finds the block; empty when free.
      truth: Key that the content follows from, when it was computed here.
      content: Imported content; None when it was computed here.
      generation: Raised each time that the slot is freed.
      sealed: Whether the content is whole.
      pins: Runs that use the slot now.
    """

    key: bytes = b""
    truth: bytes = b""
    content: bytes | None = None
    generation: int = 0
    sealed: bool = False
    pins: int = 0

    def digest(self) -> bytes:
        """Returns what the content contributes to later tokens."""
        if self.content is None:
            return self.truth
        return oracle.kv_digest(self.content)


@attrs.frozen
class Event:
    """A change of the cache.

    Attributes:
      sequence: Number of the event, from 1 without gaps.
      kind: "stored" or "removed".
      key: Key of the block.
      time_s: Time of the change on the loop's clock.
    """

    sequence: int
    kind: str
    key: bytes
    time_s: float


class KvCache:
    """Blocks in accelerator memory.

    Attributes:
      slots: All slots; the index is the block's identity.
      events: Latest changes.
    """

    def __init__(
        self,
        blocks: int,
        block_bytes: int,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        """Starts with `blocks` free slots of `block_bytes` bytes."""
        self.block_bytes = block_bytes
        self.slots = [Slot() for _ in range(blocks)]
        self.events: collections.deque[Event] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self._clock = clock
        self._free = list(range(blocks))
        self._by_key: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )
        self._sequence = 0

    def find(self, keys: collections.abc.Iterable[bytes]) -> list[int]:
        """Returns the slots of the leading sealed blocks."""
        found = []
        for key in keys:
            index = self._by_key.get(key)
            if index is None or not self.slots[index].sealed:
                break
            found.append(index)
        return found

    def touch(self, indexes: collections.abc.Iterable[int]) -> None:
        """Marks blocks as used just now, the last one first to go."""
        for index in reversed(list(indexes)):
            self._by_key.move_to_end(self.slots[index].key)

    def allocate(self, key: bytes) -> int | None:
        """Returns an unsealed slot for `key`, evicting if needed.

        Returns None when all slots are pinned or the key is present.
        """
        if key in self._by_key:
            return None
        if not self._free and not self._evict():
            return None
        index = self._free.pop()
        slot = self.slots[index]
        slot.key = key
        slot.sealed = False
        self._by_key[key] = index
        return index

    def seal(self, index: int, truth: bytes, content: bytes | None) -> None:
        """Marks the content of a slot as whole."""
        slot = self.slots[index]
        slot.truth = truth
        slot.content = content
        slot.sealed = True
        self._record("stored", slot.key)

    def free(self, index: int) -> None:
        """Forgets the block in a slot."""
        slot = self.slots[index]
        if not slot.key:
            return
        del self._by_key[slot.key]
        self._record("removed", slot.key)
        slot.key = b""
        slot.generation += 1
        self._free.append(index)

    def clear(self) -> None:
        """Forgets all blocks that no run uses."""
        for index, slot in enumerate(self.slots):
            if not slot.pins:
                self.free(index)

    def read(self, index: int) -> bytes:
        """Returns the bytes of a slot as they are now, whole or not."""
        slot = self.slots[index]
        content = slot.content
        if content is None:
            content = oracle.kv_content(slot.truth, self.block_bytes)
        if slot.sealed:
            return content
        half = self.block_bytes // 2
        return content[:half].ljust(self.block_bytes, b"\0")

    def _evict(self) -> bool:
        for key, index in self._by_key.items():
            if self.slots[index].pins or not self.slots[index].sealed:
                continue
            self.free(self._by_key[key])
            return True
        return False

    def _record(self, kind: str, key: bytes) -> None:
        self._sequence += 1
        self.events.append(Event(self._sequence, kind, key, self._clock()))
