"""Handler of the probes by which entries choose a target."""

from __future__ import annotations

import typing

from cactusstile import tokens
from cactusstile.agent import messages
from cactusstile.targets import exceptions

if typing.TYPE_CHECKING:
    from cactusstile.agent import prompt_run
    from cactusstile.transport import incoming

MAX_PROBED_BLOCKS = 4096


class ProbeHandler:
    """Handles the probes of one agent."""

    def __init__(self, parts: prompt_run.Parts) -> None:
        """Creates a handler that reads the state of `parts`."""
        self._parts = parts

    async def probe(
        self, _: incoming.Responder, request: messages.Probe
    ) -> messages.ProbeReply:
        """Returns the exact current state of the engine for a run."""
        agent = self._parts.node
        status = self._parts.gate.status
        if not agent.accepts_work or status is None:
            version = status.version if status is not None else ""
            return messages.ProbeReply(
                agent.fleet.revision, version, 0, 0, 0, 0, 0, 0, leaving=True
            )
        resident = await self._resident_blocks(request)
        queue = agent.admission.queue
        cached_tokens = resident * tokens.BLOCK_TOKENS
        missing_tokens = max(0, request.prompt_tokens - cached_tokens)
        wait_s = self._wait_s(request.workspace)
        queued_tokens = queue.tokens + agent.admission.reserved_tokens()
        reservation = 0
        if request.reserve:
            reservation = agent.admission.reserve(missing_tokens)
        return messages.ProbeReply(
            agent.fleet.revision,
            status.version,
            resident,
            queued_tokens,
            agent.admission.running,
            agent.admission.slots,
            round(wait_s * 1000),
            round(missing_tokens / queue.tokens_per_s * 1000),
            reservation=reservation,
            block_bytes=status.block_bytes,
        )

    def _wait_s(self, workspace: str) -> float:
        agent = self._parts.node
        declared = agent.fleet.workspaces.get(workspace)
        share = declared.share if declared is not None else 1.0
        gate_wait_s = self._parts.gate.expected_wait_s()
        return gate_wait_s + agent.admission.wait_s(workspace, share)

    async def _resident_blocks(self, request: messages.Probe) -> int:
        keys = request.block_keys[:MAX_PROBED_BLOCKS]
        try:
            return len(await self._parts.client.lookup(keys))
        except exceptions.TargetError:
            return 0
