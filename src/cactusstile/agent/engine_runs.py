"""Runs of prompts at the agent's engine."""

from __future__ import annotations

import itertools
import logging
import typing

import anyio
import anyio.abc
import attrs

from cactusstile import guards
from cactusstile import verdict
from cactusstile.agent import admission
from cactusstile.agent import kept_exports
from cactusstile.agent import kept_imports
from cactusstile.agent import messages
from cactusstile.agent import metrics
from cactusstile.agent import node
from cactusstile.agent import prompt_run
from cactusstile.agent import runs
from cactusstile.targets import exceptions

if typing.TYPE_CHECKING:
    from cactusstile.transport import incoming

logger = logging.getLogger(__name__)

ATTACH_GRACE_S = 1.0
REIMPORT_WAIT_S = 0.1
MAX_PROMPT_TOKENS = 262_144
MAX_OUTPUT_TOKENS = 32_768


@attrs.frozen
class BlockTransfers:
    """Import of stored blocks before a run and export after it."""

    importer: kept_imports.Importer
    exporter: kept_exports.Exporter


class EngineRuns:
    """Starts runs and streams their output to callers.

    Attributes:
      table: Current and recent runs.
    """

    def __init__(
        self,
        parts: prompt_run.Parts,
        group: anyio.abc.TaskGroup,
        transfers: BlockTransfers | None = None,
    ) -> None:
        """Runs prompts in `group`; without `transfers` no block is stored."""
        self.table = runs.RunTable()
        self._parts = parts
        self._group = group
        self._guard = guards.Guard("runs")
        self._transfers = transfers
        self._numbers = itertools.count(1)

    async def run(
        self, responder: incoming.Responder, request: messages.Run
    ) -> runs.FinalMessage:
        """Runs a prompt, or follows the run that already has its key."""
        try:
            record = self._find_existing(request) or self._start(request)
        except verdict.RefusedError as error:
            return self._parts.node.build_refused(error.refusal)
        return await self._follow(record, len(request.generated), responder)

    async def attach(
        self, responder: incoming.Responder, request: messages.Attach
    ) -> runs.FinalMessage:
        """Follows an existing run from an index of its output."""
        record = self.table.get(request.workspace, request.request_key)
        if record is None:
            refusal = verdict.Refusal(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.TARGET_LOST,
                "the agent does not know this run",
            )
            return self._parts.node.build_refused(refusal)
        return await self._follow(record, request.next_index, responder)

    def _find_existing(self, request: messages.Run) -> runs.RunRecord | None:
        record = self.table.get(request.workspace, request.request_key)
        if record is None:
            return None
        if record.digest != runs.content_digest(request):
            raise verdict.refuse(
                verdict.Reason.BAD_REQUEST,
                "the key is in use for another request; choose a new one",
            )
        if len(record.request.generated) > len(request.generated):
            raise verdict.refuse(
                verdict.Reason.DUPLICATE,
                "a continuation of the request is under way",
                verdict=verdict.Verdict.MAY_HAVE_RUN,
                retry_after_s=node.RETRY_ELSEWHERE_S,
            )
        return record

    def _start(self, request: messages.Run) -> runs.RunRecord:
        self._parts.node.check_accepts_work()
        _check_bounds(request)
        record = runs.RunRecord(
            request,
            runs.content_digest(request),
            node.deadline_s(request.time_left_ms),
            count=len(request.generated),
        )
        work = self._build_work(record)
        self._parts.node.admission.check_queue_capacity(work)
        self.table.add(record)
        self._parts.node.begin()
        self._group.start_soon(self._guard.run, self._execute, record, work)
        return record

    def _build_work(self, record: runs.RunRecord) -> admission.Work:
        """Returns the work of a run after checks against the fleet.

        Raises:
          RefusedError: If the target may not run it.
        """
        request = record.request
        agent = self._parts.node
        agent.check_serves(request.deployment)
        deployment = agent.fleet.deployments[request.deployment]
        workspace = agent.check_workspace(
            request.workspace, deployment.workspaces, request.revision
        )
        return admission.Work(
            request.workspace,
            len(request.tokens) + len(request.generated),
            workspace.share,
            request.priority,
            record.deadline_s,
            request.reservation,
        )

    async def _execute(
        self, record: runs.RunRecord, work: admission.Work
    ) -> None:
        agent = self._parts.node
        number = next(self._numbers)
        running = prompt_run.PromptRun(self._parts, record, number)
        final: runs.FinalMessage | None = None
        try:
            with record.scope:
                prepared = await self._prepare(record)
                running.imported_tokens = prepared.imported_tokens
                remaining_tokens = max(1, work.tokens - prepared.tokens)
                work = attrs.evolve(work, tokens=remaining_tokens)
                queued_s = anyio.current_time()
                async with agent.admission.enter(work) as slot:
                    if anyio.current_time() - queued_s > REIMPORT_WAIT_S:
                        # Other prompts may start while blocks are imported.
                        slot.end_prefill()
                        prepared = await self._prepare(record, prepared)
                        running.imported_tokens = prepared.imported_tokens
                    final = await running.execute(slot)
        except verdict.RefusedError as error:
            final = agent.build_refused(error.refusal)
        except exceptions.TargetError as error:
            refusal = _engine_lost(error, was_sent=running.sent)
            final = agent.build_refused(refusal)
        finally:
            self._finish_record(record, final, running.sent)
            with anyio.CancelScope(shield=True):
                await running.settle_claim()
            agent.end()

    async def _prepare(
        self,
        record: runs.RunRecord,
        before: kept_imports.PreparedPrefix | None = None,
    ) -> kept_imports.PreparedPrefix:
        """Imports stored blocks for a run, within its deadline."""
        if self._transfers is None:
            return kept_imports.PreparedPrefix()
        with anyio.CancelScope(deadline=record.deadline_s):
            return await self._transfers.importer.prepare(
                record.request, before
            )
        return kept_imports.PreparedPrefix()

    def _finish_record(
        self,
        record: runs.RunRecord,
        final: runs.FinalMessage | None,
        sent: bool,
    ) -> None:
        agent = self._parts.node
        if final is None:
            may_have_run = verdict.Verdict.MAY_HAVE_RUN
            refusal = verdict.Refusal(
                may_have_run if sent else verdict.Verdict.NOT_RUN,
                verdict.Reason.SHUTTING_DOWN,
                "the run was cancelled",
            )
            final = agent.build_refused(refusal)
        if not sent:
            record.claimed = False
        record.finish(final)
        self.table.mark_ended(record)
        outcome = "completed"
        if isinstance(final, messages.Refused):
            outcome = final.verdict
        elif self._transfers is not None:
            self._transfers.exporter.offer(record.request, final)
        metrics.RUNS.labels(agent.target, "prompt", outcome).inc()

    async def _follow(
        self,
        record: runs.RunRecord,
        next_index: int,
        responder: incoming.Responder,
    ) -> runs.FinalMessage:
        record.followers += 1
        try:
            return await record.follow(next_index, responder.send)
        finally:
            record.followers -= 1
            if record.final is None and not record.followers:
                self._group.start_soon(self._cancel_abandoned, record)

    async def _cancel_abandoned(self, record: runs.RunRecord) -> None:
        """Cancels a run that has no follower after `ATTACH_GRACE_S`."""
        await anyio.sleep(ATTACH_GRACE_S)
        if not record.followers and not record.claimed:
            record.scope.cancel()


def _check_bounds(request: messages.Run) -> None:
    too_long = len(request.tokens) > MAX_PROMPT_TOKENS
    if too_long or request.max_tokens > MAX_OUTPUT_TOKENS:
        raise verdict.refuse(
            verdict.Reason.TOO_LARGE,
            f"a prompt has at most {MAX_PROMPT_TOKENS} tokens, an output at "
            f"most {MAX_OUTPUT_TOKENS}",
        )
    if not request.tokens or request.max_tokens <= len(request.generated):
        raise verdict.refuse(
            verdict.Reason.BAD_REQUEST, "there is nothing to run"
        )
    if request.generated and not request.repeatable:
        raise verdict.refuse(
            verdict.Reason.BAD_REQUEST,
            "a run that may not be repeated cannot be continued",
        )


def _engine_lost(
    error: exceptions.TargetError, *, was_sent: bool
) -> verdict.Refusal:
    """Returns the refusal after a failed call, which need not be the first."""
    logger.info("run failed at the engine: %s", error)
    return verdict.Refusal(
        verdict.Verdict.MAY_HAVE_RUN if was_sent else error.verdict,
        verdict.Reason.TARGET_LOST,
        "the engine failed; try another target",
        node.RETRY_ELSEWHERE_S,
    )
