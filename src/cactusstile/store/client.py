"""An agent's client of the stores.

Whatever goes wrong at a store costs time only: calls return fewer blocks, or
none, and a store that failed is left alone for a moment. Content is verified
after the copy, before anyone sees it.
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
MAX_ASKED_STORES = 2
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
    """What a store keeps of a prompt.

    Attributes:
      store: The store that was asked; None when there is none.
      blocks: Leading blocks that it keeps.
      total_bytes: Their size.
    """

    store: model.Target | None
    blocks: int = 0
    total_bytes: int = 0


@attrs.define
class _Copy:
    """A block that is being copied."""

    first: messages.BlockPart
    data: bytearray = attrs.field(factory=bytearray)


class StoreClient:
    """Asks the stores for blocks and gives blocks to them."""

    def __init__(self, peers: pool.Pool, locate: Locate) -> None:
        """Calls through `peers`.

        Args:
          peers: Connections.
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
        """Calls `observer(name)` when a store has failed for some seconds."""
        self._lost_observers.append(observer)

    def store_of(self, prefix_key: bytes) -> model.Target | None:
        """Returns the store that a prompt's blocks belong to now."""
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

        When its store does not answer, the next one is asked.
        """
        message = messages.Have(
            messages.to_message(scope), tuple(keys[: messages.MAX_KEYS])
        )
        for _ in range(MAX_ASKED_STORES):
            store = self.store_of(prefix_key)
            if store is None or not keys:
                return StoredPrefix(store)
            try:
                reply = await self._peers.call(
                    store.agent, message, timeout_s=HAVE_TIMEOUT_S
                )
            except (transport_exceptions.TransportError, TimeoutError):
                self._note_failure(store)
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
        """Returns the blocks of `keys` up to the first that is not had.

        Each is whole, of `scope`, and matches its checksum. What is not here
        after `time_left_s` seconds is given up.
        """
        store = self.store_of(prefix_key)
        fetched: list[blocks.Block] = []
        if store is None or not keys:
            return fetched
        with anyio.move_on_after(time_left_s):
            try:
                await self._copy(store, scope, keys, fetched)
            except (transport_exceptions.TransportError, TimeoutError):
                self._note_failure(store)
        return fetched

    async def keep(
        self,
        scope: tokens.Scope,
        prefix_key: bytes,
        kept: collections.abc.Sequence[blocks.Block],
    ) -> int:
        """Gives blocks to their store; returns how many it took."""
        store = self.store_of(prefix_key)
        if store is None:
            return 0
        upload = random.getrandbits(_UPLOAD_BITS)
        taken = 0
        for parts in _pack(kept):
            message = messages.Keep(messages.to_message(scope), upload, parts)
            try:
                reply = await self._peers.call(
                    store.agent, message, timeout_s=KEEP_TIMEOUT_S
                )
            except (transport_exceptions.TransportError, TimeoutError):
                self._note_failure(store)
                return taken
            if not isinstance(reply, messages.KeepReply):
                return taken
            taken += sum(_ends(part) for part in parts[: reply.parts])
            if reply.parts < len(parts):
                return taken
        return taken

    async def _copy(
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
        copying: _Copy | None = None
        async with opened.open_stream(message) as items:
            async for item in items:
                if not isinstance(item, messages.BlockPart):
                    return
                if item.offset == 0:
                    copying = _Copy(item)
                if copying is None or not _follows(copying, item):
                    _REJECTED.inc()
                    return
                copying.data += item.data
                if len(copying.data) < copying.first.total_bytes:
                    continue
                block = _finish(copying)
                if not _is_sound(scope, keys[len(fetched)], block):
                    _REJECTED.inc()
                    return
                fetched.append(block)
                copying = None
                if len(fetched) == len(keys):
                    return

    def _note_failure(self, store: model.Target) -> None:
        """Leaves a store alone for a moment.

        Calls that fail together count once. A store that fails at several
        moments in a row is lost.
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
        logger.warning("store %s is lost; its prompts go elsewhere", store.name)
        for observer in self._lost_observers:
            observer(store.name)


def _follows(copying: _Copy, part: messages.BlockPart) -> bool:
    """Returns whether a part continues the copy of the same generation."""
    first = copying.first
    return (
        part.key == first.key
        and part.generation == first.generation
        and part.offset == len(copying.data)
        and part.offset + len(part.data) <= first.total_bytes
        and (bool(part.data) or first.total_bytes == 0)
    )


def _finish(copying: _Copy) -> blocks.Block:
    first = copying.first
    return blocks.Block(
        first.key,
        first.parent,
        first.position,
        bytes(copying.data),
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


def _ends(part: messages.BlockPart) -> bool:
    return part.offset + len(part.data) == part.total_bytes


def _pack(
    kept: collections.abc.Sequence[blocks.Block],
) -> collections.abc.Iterator[tuple[messages.BlockPart, ...]]:
    """Yields the parts of blocks, as many to a message as fit."""
    batch: list[messages.BlockPart] = []
    size = 0
    for block in kept:
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
