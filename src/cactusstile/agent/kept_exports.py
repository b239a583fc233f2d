"""Export of KV blocks from the engine to the stores after a run."""

from __future__ import annotations

import collections
import logging
import typing

import anyio
import attrs

from cactusstile import tokens
from cactusstile.agent import messages
from cactusstile.routing import choice
from cactusstile.store import blocks
from cactusstile.store import recovery
from cactusstile.store import transfer
from cactusstile.targets import exceptions

if typing.TYPE_CHECKING:
    from cactusstile.agent import kept_parts
    from cactusstile.limits import token_bucket
    from cactusstile.state import model
    from cactusstile.targets import engine

logger = logging.getLogger(__name__)

MAX_QUEUED_PROMPTS = 256
BATCH_BLOCKS = 128
RETRY_INTERVAL_S = 0.2
MAX_LINK_WAIT_S = 10.0
MAX_LINK_OCCUPANCY_S = 0.02


@attrs.frozen
class _Export:
    """Blocks of a prompt that are candidates for export.

    Attributes:
      scope: Owner of the blocks.
      prefix_key: Key that places the prompt, see `routing.prefix`.
      keys: Chained keys of the prompt's full blocks.
      return_probability: Probability that the prompt returns.
    """

    scope: tokens.Scope
    prefix_key: bytes
    keys: tuple[bytes, ...]
    return_probability: float


class Exporter:
    """Exports blocks of completed runs, one prompt at a time.

    Attributes:
      exported_blocks: Number of blocks that stores accepted.
      dropped: Number of prompts dropped because the export queue was full.
      recovered: Number of prompts queued again after the loss of a store.
    """

    def __init__(self, parts: kept_parts.TransferParts) -> None:
        """Creates an idle exporter; `run` performs the exports."""
        self.exported_blocks = 0
        self.dropped = 0
        self.recovered = 0
        self._parts = parts
        self._recent = recovery.RecentExports[_Export]()
        self._queue: collections.deque[_Export] = collections.deque()
        self._export_added = anyio.Event()
        parts.stores.observe_lost(self.recover)
        parts.node.fleet_holder.observe(self._recover_removed)

    def offer(self, request: messages.Run, end: messages.RunEnd) -> None:
        """Queues the prompt of a completed run for export."""
        if not request.prefix_key:
            return
        visits = self._parts.visits
        hits = visits.visit(
            request.workspace, request.prefix_key, anyio.current_time()
        )
        scope = tokens.Scope(
            request.workspace, request.deployment, end.version, request.adapter
        )
        keys = tokens.block_keys(scope, request.tokens + request.generated)
        if not keys:
            return
        probability = visits.returns.return_probability(request.workspace, hits)
        if len(self._queue) >= MAX_QUEUED_PROMPTS:
            self._queue.popleft()
            self.dropped += 1
        self._queue.append(
            _Export(scope, request.prefix_key, tuple(keys), probability)
        )
        self._export_added.set()

    def recover(self, store: str) -> None:
        """Queues the recent exports to a lost store again.

        They are exported after newer prompts. Blocks that the engine no longer
        caches at that time are skipped.
        """
        free_entries = MAX_QUEUED_PROMPTS - len(self._queue)
        lost = self._recent.take(store)[-free_entries:] if free_entries else []
        self._queue.extendleft(reversed(lost))
        self.recovered += len(lost)
        if lost:
            self._export_added.set()

    def _recover_removed(self, old: model.Fleet, new: model.Fleet) -> None:
        """Recovers the exports to stores that were removed from the fleet."""
        for name in old.targets.keys() - new.targets.keys():
            self.recover(name)

    async def run(self) -> None:
        """Exports queued prompts until cancelled."""
        while True:
            if not self._queue:
                self._export_added = anyio.Event()
                await self._export_added.wait()
            # The newest prompt is the most likely to be still resident.
            export = self._queue.pop()
            try:
                await self._export(export)
            except exceptions.TargetError as error:
                logger.debug("export failed: %s", error)

    async def _export(self, export: _Export) -> None:
        parts = self._parts
        stored = await parts.stores.have(
            export.scope, export.prefix_key, export.keys
        )
        status = parts.gate.status
        if stored.store is None or status is None:
            return
        link = parts.link_to(stored.store)
        self._recent.add(export.prefix_key, stored.store.name, export)
        resident = len(await parts.engine.lookup(export.keys))
        count = resident - stored.blocks
        size = count * status.block_bytes
        need = transfer.FetchCandidate(count, size, parts.recompute_ms(count))
        weights = choice.weights_of(parts.node.fleet, export.scope.deployment)
        if not transfer.is_export_worthwhile(
            need, export.return_probability, weights, link
        ):
            return
        for start in range(stored.blocks, resident, BATCH_BLOCKS):
            end = min(start + BATCH_BLOCKS, resident)
            copied = await copy_blocks(
                parts.engine, export.keys[:end], start, status.block_bytes
            )
            taken = await self._send_blocks(export, start, copied, link)
            if taken < end - start:
                return

    async def _send_blocks(
        self,
        export: _Export,
        start: int,
        copied: list[bytes],
        link: token_bucket.TokenBucket | None,
    ) -> int:
        """Sends copied blocks to the store in short pieces.

        Calls that callers wait for share the connection and are sent between
        two pieces.

        Returns:
          Number of blocks that the store accepted.
        """
        taken = 0
        while taken < len(copied):
            piece = copied[taken : taken + _blocks_per_piece(link, copied)]
            size = sum(len(data) for data in piece)
            if not await _acquire_link(link, size):
                return taken
            accepted = await self._store_blocks(export, start + taken, piece)
            taken += accepted
            if accepted < len(piece):
                return taken
        return taken

    async def _store_blocks(
        self, export: _Export, start: int, copied: list[bytes]
    ) -> int:
        """Sends copied blocks, the first at position `start`, to the store."""
        recompute_us = round(self._parts.recompute_ms(1) * 1000)
        batch = []
        for position, data in enumerate(copied, start):
            key = export.keys[position]
            parent = export.keys[position - 1] if position else b""
            batch.append(
                blocks.Block(
                    key,
                    parent,
                    position,
                    data,
                    blocks.checksum(export.scope, key, data),
                    recompute_us,
                )
            )
        taken = await self._parts.stores.keep(
            export.scope, export.prefix_key, batch
        )
        self.exported_blocks += taken
        return taken


async def copy_blocks(
    client: engine.EngineClient,
    keys: typing.Sequence[bytes],
    start: int,
    block_bytes: int,
) -> list[bytes]:
    """Returns the contents of the resident blocks from `start` on.

    The engine may free and reuse memory during the copy. A block is returned
    only if, after the copy, the same memory still holds it in the same
    generation. A copy with missing bytes is discarded entirely, since the
    position of the gap is unknown.
    """
    before = (await client.lookup(keys))[start:]
    if not before:
        return []
    data = await client.read(before)
    if len(data) != len(before) * block_bytes:
        return []
    after = (await client.lookup(keys))[start:]
    copied = []
    for position, block_ref in enumerate(before):
        content = data[position * block_bytes : (position + 1) * block_bytes]
        if position >= len(after) or after[position] != block_ref:
            break
        copied.append(content)
    return copied


def _blocks_per_piece(
    link: token_bucket.TokenBucket | None, copied: list[bytes]
) -> int:
    """Returns how many blocks a link transmits in `MAX_LINK_OCCUPANCY_S`."""
    if link is None:
        return len(copied)
    block_count = int(link.bytes_per_s * MAX_LINK_OCCUPANCY_S / len(copied[0]))
    return max(1, block_count)


async def _acquire_link(
    link: token_bucket.TokenBucket | None, size: int
) -> bool:
    """Waits up to `MAX_LINK_WAIT_S` for capacity of a link."""
    if link is None:
        return True
    deadline_s = anyio.current_time() + MAX_LINK_WAIT_S
    while not link.try_take_background(size):
        if anyio.current_time() > deadline_s:
            return False
        await anyio.sleep(RETRY_INTERVAL_S)
    return True
