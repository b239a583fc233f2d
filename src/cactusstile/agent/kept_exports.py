"""Export of blocks from the engine to the stores after a run."""

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

MAX_WAITING = 256
BATCH_BLOCKS = 128
RETRY_INTERVAL_S = 0.2
MAX_LINK_WAIT_S = 10.0
MAX_LINK_HOLD_S = 0.02


@attrs.frozen
class _Export:
    """Blocks of a prompt that may be exported."""

    scope: tokens.Scope
    prefix_key: bytes
    keys: tuple[bytes, ...]
    return_probability: float


class Exporter:
    """Exports blocks of finished runs, one prompt after the other.

    Attributes:
      exported_blocks: Blocks that stores took.
      dropped: Prompts that were not exported for lack of room here.
      recovered: Prompts that were offered again after the loss of a store.
    """

    def __init__(self, parts: kept_parts.KeptParts) -> None:
        """Exports by `parts`; see `run`."""
        self.exported_blocks = 0
        self.dropped = 0
        self.recovered = 0
        self._parts = parts
        self._recent = recovery.RecentExports[_Export]()
        self._waiting: collections.deque[_Export] = collections.deque()
        self._filled = anyio.Event()
        parts.stores.observe_lost(self.recover)
        parts.node.fleet_holder.observe(self._recover_removed)

    def offer(self, request: messages.Run, end: messages.RunEnd) -> None:
        """Considers the prompt of a finished run."""
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
        chance = visits.returns.return_probability(request.workspace, hits)
        if len(self._waiting) >= MAX_WAITING:
            self._waiting.popleft()
            self.dropped += 1
        self._waiting.append(
            _Export(scope, request.prefix_key, tuple(keys), chance)
        )
        self._filled.set()

    def recover(self, store: str) -> None:
        """Offers again what a lost store took, behind newer prompts.

        What the engine no longer holds then is left out by the export.
        """
        room = MAX_WAITING - len(self._waiting)
        lost = self._recent.take(store)[-room:] if room else []
        self._waiting.extendleft(reversed(lost))
        self.recovered += len(lost)
        if lost:
            self._filled.set()

    def _recover_removed(self, old: model.Fleet, new: model.Fleet) -> None:
        """Recovers from the stores that an operator removed."""
        for name in old.targets.keys() - new.targets.keys():
            self.recover(name)

    async def run(self) -> None:
        """Exports until cancelled."""
        while True:
            if not self._waiting:
                self._filled = anyio.Event()
                await self._filled.wait()
            # The newest prompt is the likeliest to be resident still.
            export = self._waiting.pop()
            try:
                await self._export(export)
            except exceptions.TargetError as error:
                logger.debug("export failed: %s", error)

    async def _export(self, export: _Export) -> None:
        parts = self._parts
        found = await parts.stores.have(
            export.scope, export.prefix_key, export.keys
        )
        status = parts.gate.status
        if found.store is None or status is None:
            return
        link = parts.link_to(found.store)
        self._recent.add(export.prefix_key, found.store.name, export)
        resident = len(await parts.engine.lookup(export.keys))
        count = resident - found.blocks
        size = count * status.block_bytes
        need = transfer.FetchCandidate(count, size, parts.recompute_ms(count))
        weights = choice.weights_of(parts.node.fleet, export.scope.deployment)
        if not transfer.is_export_worthwhile(
            need, export.return_probability, weights, link
        ):
            return
        for start in range(found.blocks, resident, BATCH_BLOCKS):
            end = min(start + BATCH_BLOCKS, resident)
            copied = await copy_blocks(
                parts.engine, export.keys[:end], start, status.block_bytes
            )
            taken = await self._send(export, start, copied, link)
            if taken < end - start:
                return

    async def _send(
        self,
        export: _Export,
        start: int,
        copied: list[bytes],
        link: token_bucket.TokenBucket | None,
    ) -> int:
        """Gives copied blocks to the store in pieces that a link passes soon.

        What callers wait for goes over the same connection, between two of
        them.

        Returns:
          How many the store took.
        """
        taken = 0
        while taken < len(copied):
            piece = copied[taken : taken + _piece_blocks(link, copied)]
            size = sum(len(data) for data in piece)
            if not await _take_link(link, size):
                return taken
            kept = await self._keep(export, start + taken, piece)
            taken += kept
            if kept < len(piece):
                return taken
        return taken

    async def _keep(
        self, export: _Export, start: int, copied: list[bytes]
    ) -> int:
        """Gives copied blocks, which begin at block `start`, to the store."""
        recompute_us = round(self._parts.recompute_ms(1) * 1000)
        kept = []
        for position, data in enumerate(copied, start):
            key = export.keys[position]
            parent = export.keys[position - 1] if position else b""
            kept.append(
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
            export.scope, export.prefix_key, kept
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

    The engine may free and reuse memory during the copy. A block counts only
    if, after the copy, the same memory still holds it in the same generation.
    Nothing counts of a copy with missing bytes, since it does not show where.
    """
    before = (await client.lookup(keys))[start:]
    if not before:
        return []
    data = await client.read(before)
    if len(data) != len(before) * block_bytes:
        return []
    after = (await client.lookup(keys))[start:]
    copied = []
    for position, place in enumerate(before):
        content = data[position * block_bytes : (position + 1) * block_bytes]
        if position >= len(after) or after[position] != place:
            break
        copied.append(content)
    return copied


def _piece_blocks(
    link: token_bucket.TokenBucket | None, copied: list[bytes]
) -> int:
    """Returns how many blocks a link passes in `MAX_LINK_HOLD_S`."""
    if link is None:
        return len(copied)
    fitting = int(link.bytes_per_s * MAX_LINK_HOLD_S / len(copied[0]))
    return max(1, fitting)


async def _take_link(link: token_bucket.TokenBucket | None, size: int) -> bool:
    """Waits a bounded time until a link is idle enough."""
    if link is None:
        return True
    give_up_s = anyio.current_time() + MAX_LINK_WAIT_S
    while not link.try_take_background(size):
        if anyio.current_time() > give_up_s:
            return False
        await anyio.sleep(RETRY_INTERVAL_S)
    return True
