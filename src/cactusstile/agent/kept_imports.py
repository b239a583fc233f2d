"""Import of stored KV blocks into the engine before a run."""

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

MAX_LOST_FRACTION = 0.5


@attrs.frozen
class PreparedPrefix:
    """Leading blocks of a prompt that need not be computed.

    Attributes:
      resident: Number of blocks that the engine had cached.
      imported: Number of blocks that were imported after them.
    """

    resident: int = 0
    imported: int = 0

    @property
    def blocks(self) -> int:
        """Number of all these blocks."""
        return self.resident + self.imported

    @property
    def tokens(self) -> int:
        """Number of prompt tokens in all these blocks."""
        return self.blocks * tokens.BLOCK_TOKENS

    @property
    def imported_tokens(self) -> int:
        """Number of prompt tokens in the imported blocks."""
        return self.imported * tokens.BLOCK_TOKENS


class Importer:
    """Imports stored blocks for the runs of one agent."""

    def __init__(self, parts: kept_parts.TransferParts) -> None:
        """Creates an importer for the engine of `parts`."""
        self._parts = parts

    async def prepare(
        self, request: messages.Run, before: PreparedPrefix | None = None
    ) -> PreparedPrefix:
        """Imports stored blocks if their transfer is worthwhile for a run.

        A failed import costs only time; the engine then computes the prompt.

        Args:
          request: The run.
          before: Result of an earlier call, for a run that has waited since;
            blocks are imported only if the engine has evicted some of it.
        """
        status = self._parts.gate.status
        if status is None or not request.prefix_key:
            return PreparedPrefix()
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
            logger.debug("import of stored blocks failed: %s", error)
            return PreparedPrefix()
        agent = self._parts.node
        imported_tokens = imported * tokens.BLOCK_TOKENS
        label = metrics.PROMPT_TOKENS.labels(agent.target, "imported")
        label.inc(imported_tokens)
        return PreparedPrefix(resident, imported)

    async def _import(
        self, scope: tokens.Scope, prefix_key: bytes, keys: list[bytes]
    ) -> int:
        parts = self._parts
        stored = await parts.stores.have(scope, prefix_key, keys)
        if stored.store is None or not stored.blocks:
            return 0
        link = parts.link_to(stored.store)
        need = transfer.FetchCandidate(
            stored.blocks, stored.total_bytes, parts.recompute_ms(stored.blocks)
        )
        plan = transfer.plan_fetch(
            need, choice.weights_of(parts.node.fleet, scope.deployment), link
        )
        # A fetch that fails late wastes at most half of the time it could save.
        limit_ms = max(plan.limit_ms, need.recompute_ms * MAX_LOST_FRACTION)
        limit_s = limit_ms / 1000
        if not plan.blocks:
            return 0
        if link is not None and not link.try_take(stored.total_bytes, limit_s):
            return 0
        fetched = await parts.stores.fetch(
            scope, prefix_key, keys[: plan.blocks], time_left_s=limit_s
        )
        contents = [block.data for block in fetched]
        return await self._write(scope, keys[: len(contents)], contents)

    async def _write(
        self, scope: tokens.Scope, keys: list[bytes], contents: list[bytes]
    ) -> int:
        """Writes verified blocks to the engine under the version gate."""
        if not keys:
            return 0
        async with self._parts.gate.admit() as status:
            if status.version != scope.version:
                return 0
            if any(len(data) != status.block_bytes for data in contents):
                return 0
            await self._parts.engine.write(keys, contents)
        return len(keys)
