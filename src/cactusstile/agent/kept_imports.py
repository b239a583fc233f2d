"""Import of kept blocks into the engine before a run."""

from __future__ import annotations

import logging
import typing

import attrs

from cactusstile import tokens
from cactusstile.agent import metrics
from cactusstile.routing import choice
from cactusstile.store import transfer
from cactusstile.targets import exceptions

if typing.TYPE_CHECKING:
    from cactusstile.agent import kept_parts
    from cactusstile.agent import messages

logger = logging.getLogger(__name__)

MAX_LOST_SHARE = 0.5


@attrs.frozen
class Prepared:
    """What of a prompt need not be computed, in leading blocks.

    Attributes:
      resident: Blocks that the engine had.
      imported: Blocks that were imported behind them.
    """

    resident: int = 0
    imported: int = 0

    @property
    def blocks(self) -> int:
        """All these blocks."""
        return self.resident + self.imported

    @property
    def tokens(self) -> int:
        """Prompt tokens in all these blocks."""
        return self.blocks * tokens.BLOCK_TOKENS

    @property
    def imported_tokens(self) -> int:
        """Prompt tokens in the imported blocks."""
        return self.imported * tokens.BLOCK_TOKENS


class Importer:
    """Imports kept blocks for the runs of one agent."""

    def __init__(self, parts: kept_parts.KeptParts) -> None:
        """Imports by `parts`."""
        self._parts = parts

    async def prepare(
        self, request: messages.Run, before: Prepared | None = None
    ) -> Prepared:
        """Imports what pays for a run; failures cost only time.

        Args:
          request: The run.
          before: What an earlier call prepared, for a run that has waited
            since; imports only if the engine pushed out some of it.
        """
        status = self._parts.gate.status
        if status is None or not request.prefix_key:
            return Prepared()
        scope = tokens.Scope(
            request.workspace,
            request.deployment,
            status.version,
            request.adapter,
        )
        keys = tokens.block_keys(scope, request.tokens + request.generated)
        try:
            resident = len(await self._parts.engine.lookup(keys))
            if before is not None and resident >= before.blocks:
                return before
            imported = await self._import(
                scope, request.prefix_key, keys[resident:]
            )
        except exceptions.TargetError as error:
            logger.debug("no import: %s", error)
            return Prepared()
        owner = self._parts.node
        imported_tokens = imported * tokens.BLOCK_TOKENS
        label = metrics.PROMPT_TOKENS.labels(owner.target, "imported")
        label.inc(imported_tokens)
        return Prepared(resident, imported)

    async def _import(
        self, scope: tokens.Scope, prefix_key: bytes, keys: list[bytes]
    ) -> int:
        parts = self._parts
        found = await parts.stores.have(scope, prefix_key, keys)
        if found.store is None or not found.blocks:
            return 0
        link = parts.link_to(found.store)
        need = transfer.FetchCandidate(
            found.blocks, found.total_bytes, parts.recompute_ms(found.blocks)
        )
        plan = transfer.plan_fetch(
            need, choice.weights_of(parts.node.fleet, scope.deployment), link
        )
        # A fetch that fails late costs at most half of what it could save.
        limit_ms = max(plan.limit_ms, need.recompute_ms * MAX_LOST_SHARE)
        limit_s = limit_ms / 1000
        if not plan.blocks:
            return 0
        if link is not None and not link.try_take(found.total_bytes, limit_s):
            return 0
        fetched = await parts.stores.fetch(
            scope, prefix_key, keys[: plan.blocks], time_left_s=limit_s
        )
        contents = [block.data for block in fetched]
        return await self._write(scope, keys[: len(contents)], contents)

    async def _write(
        self, scope: tokens.Scope, keys: list[bytes], contents: list[bytes]
    ) -> int:
        """Writes verified blocks into the engine under the version gate."""
        if not keys:
            return 0
        async with self._parts.gate.admit() as status:
            if status.version != scope.version:
                return 0
            if any(len(data) != status.block_bytes for data in contents):
                return 0
            await self._parts.engine.write(keys, contents)
        return len(keys)
