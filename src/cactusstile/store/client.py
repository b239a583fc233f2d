"""Store client of an agent.

A failing store costs time, never correctness: calls return fewer blocks or
none, and a store that failed is not called again for `AVOID_FAILED_S`. Content
is verified after the copy, before a caller receives it.
"""

from __future__ import annotations

import logging
import random
import typing

import anyio
import attrs
import prometheus_client

from cactusstile import tokens
from cactusstile.store import blocks
from cactusstile.store import exceptions
from cactusstile.store import messages
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.state import model
    from cactusstile.transport import pool

    Locate = collections.abc.Callable[[bytes], list[model.Target]]

logger = logging.getLogger(__name__)

HAVE_TIMEOUT_S = 0.1
KEEP_TIMEOUT_S = 5.0
AVOID_FAILED_S = 2.0
LOST_AFTER_FAILURES = 3
MAX_QUERIED_STORES = 2
_UPLOAD_BITS = 64

_REJECTED = prometheus_client.Counter(
    "cactusstile_store_rejected_fetches",
    "Fetched blocks that failed the check after the copy",
)
_FAILED = prometheus_client.Counter(
    "cactusstile_store_failed_calls", "Calls that a store did not answer"
)


@attrs.frozen
class StoredPrefix:
    """Leading blocks of a prompt that a store holds.

    Attributes:
      store: Store that was queried; None if no store is available.
      blocks: Number of leading blocks in the store.
      total_bytes: Total size of these blocks.
    """

    store: model.Target | None
    blocks: int = 0
    total_bytes: int = 0


@attrs.define
class _PartialBlock:
    """A block of which some parts have been received."""

    first: messages.BlockPart
    data: bytearray = attrs.field(factory=bytearray)


class StoreClient:
    """Looks up, fetches and uploads blocks."""

    def __init__(self, peers: pool.Pool, locate: Locate) -> None:
        """Creates a client that calls stores over `peers`.

        Args:
          peers: Connection pool.
          locate: Returns the live stores of a prefix key, best first.
        """
        self._peers = peers
        self._locate = locate
        self._avoid_until_s: dict[str, float] = {}
        self._failures: dict[str, int] = {}
        self._lost_observers: list[collections.abc.Callable[[str], None]] = []

    def observe_lost(
        self, observer: collections.abc.Callable[[str], None]
    ) -> None:
        """Registers `observer`, called with the name of each lost store."""
        self._lost_observers.append(observer)

    def store_of(self, prefix_key: bytes) -> model.Target | None:
        """Returns the best store of a prompt that has not failed recently.

        Returns None if there is no such store.
        """
        now_s = anyio.current_time()
        for store in self._locate(prefix_key):
            if self._avoid_until_s.get(store.name, 0.0) <= now_s:
                return store
        return None

    async def have(
        self,
        scope: tokens.Scope,
        prefix_key: bytes,
        keys: collections.abc.Sequence[bytes],
    ) -> StoredPrefix:
        """Returns how many of a prompt's leading blocks can be fetched.

        If the store does not answer, the next one is queried, up to
        `MAX_QUERIED_STORES` in total.
        """
        message = messages.Have(
            messages.to_message(scope), tuple(keys[: messages.MAX_KEYS])
        )
        for _ in range(MAX_QUERIED_STORES):
            store = self.store_of(prefix_key)
            if store is None or not keys:
                return StoredPrefix(store)
            try:
                reply = await self._peers.call(
                    store.agent, message, timeout_s=HAVE_TIMEOUT_S
                )
            except (transport_exceptions.TransportError, TimeoutError):
                self._record_failure(store)
                continue
            self._failures.pop(store.name, None)
            if isinstance(reply, messages.HaveReply):
                count = min(reply.blocks, len(keys))
                return StoredPrefix(store, count, reply.total_bytes)
            return StoredPrefix(None)
        return StoredPrefix(None)

    async def fetch(
        self,
        scope: tokens.Scope,
        prefix_key: bytes,
        keys: collections.abc.Sequence[bytes],
        *,
        time_left_s: float,
    ) -> list[blocks.Block]:
        """Returns the blocks of `keys` up to the first that is not available.

        Each block is complete, belongs to `scope` and matches its checksum.
        Blocks that have not arrived after `time_left_s` seconds are left out.
        """
        store = self.store_of(prefix_key)
        fetched: list[blocks.Block] = []
        if store is None or not keys:
            return fetched
        with anyio.move_on_after(time_left_s):
            try:
                await self._receive_blocks(store, scope, keys, fetched)
            except (transport_exceptions.TransportError, TimeoutError):
                self._record_failure(store)
        return fetched

    async def keep(
        self,
        scope: tokens.Scope,
        prefix_key: bytes,
        exported: collections.abc.Sequence[blocks.Block],
    ) -> int:
        """Uploads blocks to their store; returns how many it accepted."""
        store = self.store_of(prefix_key)
        if store is None:
            return 0
        upload = random.getrandbits(_UPLOAD_BITS)
        taken = 0
        for parts in _pack(exported):
            message = messages.Keep(messages.to_message(scope), upload, parts)
            try:
                reply = await self._peers.call(
                    store.agent, message, timeout_s=KEEP_TIMEOUT_S
                )
            except (transport_exceptions.TransportError, TimeoutError):
                self._record_failure(store)
                return taken
            if not isinstance(reply, messages.KeepReply):
                return taken
            taken += sum(
                _completes_block(part) for part in parts[: reply.parts]
            )
            if reply.parts < len(parts):
                return taken
        return taken

    async def _receive_blocks(
        self,
        store: model.Target,
        scope: tokens.Scope,
        keys: collections.abc.Sequence[bytes],
        fetched: list[blocks.Block],
    ) -> None:
        message = messages.Fetch(
            messages.to_message(scope), tuple(keys[: messages.MAX_KEYS])
        )
        opened = await self._peers.connect(store.agent)
        partial: _PartialBlock | None = None
        async with opened.open_stream(message) as items:
            async for item in items:
                if not isinstance(item, messages.BlockPart):
                    return
                if item.offset == 0:
                    partial = _PartialBlock(item)
                if partial is None or not _follows(partial, item):
                    _REJECTED.inc()
                    return
                partial.data += item.data
                if len(partial.data) < partial.first.total_bytes:
                    continue
                block = _finish(partial)
                if not _is_sound(scope, keys[len(fetched)], block):
                    _REJECTED.inc()
                    return
                fetched.append(block)
                partial = None
                if len(fetched) == len(keys):
                    return

    def _record_failure(self, store: model.Target) -> None:
        """Stops calls to a store for `AVOID_FAILED_S` seconds.

        Concurrent failures count once. A store is considered lost after
        `LOST_AFTER_FAILURES` consecutive failures.
        """
        _FAILED.inc()
        now_s = anyio.current_time()
        if self._avoid_until_s.get(store.name, 0.0) > now_s:
            return
        self._avoid_until_s[store.name] = now_s + AVOID_FAILED_S
        failures = self._failures.get(store.name, 0) + 1
        self._failures[store.name] = failures
        if failures != LOST_AFTER_FAILURES:
            return
        logger.warning(
            "store %s is lost; using other stores for its prompts", store.name
        )
        for observer in self._lost_observers:
            observer(store.name)


def _follows(partial: _PartialBlock, part: messages.BlockPart) -> bool:
    """Returns whether a part is the next one of the same generation."""
    first = partial.first
    return (
        part.key == first.key
        and part.generation == first.generation
        and part.offset == len(partial.data)
        and part.offset + len(part.data) <= first.total_bytes
        and (bool(part.data) or first.total_bytes == 0)
    )


def _finish(partial: _PartialBlock) -> blocks.Block:
    first = partial.first
    return blocks.Block(
        first.key,
        first.parent,
        first.position,
        bytes(partial.data),
        first.checksum,
        first.recompute_us,
    )


def _is_sound(scope: tokens.Scope, key: bytes, block: blocks.Block) -> bool:
    if block.key != key:
        return False
    try:
        blocks.verify(scope, block)
    except exceptions.CorruptBlockError:
        return False
    return True


def _completes_block(part: messages.BlockPart) -> bool:
    return part.offset + len(part.data) == part.total_bytes


def _pack(
    exported: collections.abc.Sequence[blocks.Block],
) -> collections.abc.Iterator[tuple[messages.BlockPart, ...]]:
    """Yields the parts of blocks in batches that fit into one message."""
    batch: list[messages.BlockPart] = []
    size = 0
    for block in exported:
        for offset in range(0, max(1, len(block.data)), messages.PART_BYTES):
            piece = block.data[offset : offset + messages.PART_BYTES]
            part = messages.BlockPart(
                block.key,
                block.parent,
                block.position,
                0,
                block.checksum,
                len(block.data),
                block.recompute_us,
                offset,
                piece,
            )
            if batch and size + len(piece) > messages.MAX_MESSAGE_BYTES:
                yield tuple(batch)
                batch = []
                size = 0
            batch.append(part)
            size += len(piece)
    if batch:
        yield tuple(batch)
