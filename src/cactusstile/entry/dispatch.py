"""Dispatch: the one layer that chooses targets, retries and resumes."""

from __future__ import annotations

import collections.abc
import logging
import typing

import anyio
import attrs

from cactusstile import verdict
from cactusstile.agent import messages
from cactusstile.entry import attempts
from cactusstile.entry import calls
from cactusstile.entry import pacing
from cactusstile.entry import probes
from cactusstile.entry import routes
from cactusstile.entry import streams
from cactusstile.entry import under_way
from cactusstile.filters import earlier_attempts
from cactusstile.filters import marks
from cactusstile.limits import retry_budget
from cactusstile.store import client

if typing.TYPE_CHECKING:
    from cactusstile.observability import entry_metrics
    from cactusstile.state import holder
    from cactusstile.state import model
    from cactusstile.transport import pool

logger = logging.getLogger(__name__)

_T = typing.TypeVar("_T", calls.PromptCall, calls.ServiceRequest)

MAX_ATTEMPTS = 5
_FINAL_REASONS = (
    verdict.Reason.BAD_REQUEST,
    verdict.Reason.UNAUTHENTICATED,
    verdict.Reason.UNKNOWN_MODEL,
    verdict.Reason.TOO_LARGE,
    verdict.Reason.DEADLINE_EXCEEDED,
    verdict.Reason.DUPLICATE,
)


@attrs.define
class Dispatcher:
    """Sends requests to agents.

    Attributes:
      peers: Connections to the agents.
      fleet: The configuration.
      routing: Decisions on where requests go.
      budget: Bounds retries.
      metrics: Counters of the entry.
      under_way: Requests that this entry has at agents.
      pacer: Paces writes to callers.
      probe_gate: Bounds the requests that probe at once.
      draw_epoch: Returns an epoch for a workspace's key, see
        `filters.earlier_attempts`.
    """

    peers: pool.Pool
    fleet: holder.FleetHolder
    routing: routes.Routes
    budget: retry_budget.RetryBudget
    metrics: entry_metrics.EntryMetrics
    under_way: under_way.UnderWay = attrs.field(factory=under_way.UnderWay)
    pacer: pacing.Pacer = attrs.field(factory=pacing.Pacer)
    probe_gate: probes.ProbeGate = attrs.field(factory=probes.ProbeGate)
    draw_epoch: earlier_attempts.DrawEpoch = earlier_attempts.draw_nothing

    async def run(
        self, call: calls.PromptCall, sink: streams.Sink
    ) -> messages.RunEnd:
        """Runs a prompt and passes its text to `sink` as it arrives.

        Returns:
          The end mark; its count agrees with the tokens that arrived.

        Raises:
          RefusedError: If the run does not complete; its verdict covers all
            attempts.
        """
        progress = streams.Progress(call.max_tokens)
        self.budget.earn()
        self.routing.note_arrival(call)
        try:
            with anyio.CancelScope(deadline=call.deadline_s):
                numbered = await self._number(call)
                return await self._run_attempts(numbered, progress, sink)
            raise verdict.refuse(
                verdict.Reason.DEADLINE_EXCEEDED,
                "the deadline passed before the answer was complete",
            )
        except verdict.RefusedError as error:
            raise _cover_attempts(
                error.refusal, may_have_run=progress.may_have_run
            ) from None
        finally:
            self.metrics.count_progress(progress)

    async def call_service(
        self, request: calls.ServiceRequest
    ) -> messages.ServiceReply:
        """Passes a request to a plain service and returns its answer.

        Raises:
          RefusedError: If there is no answer; its verdict covers all
            attempts.
        """
        self.budget.earn()
        state = attempts.Exposure()
        timeout_s = anyio.current_time() + request.timeout_s
        deadline_s = min(request.deadline_s, timeout_s)
        try:
            with anyio.CancelScope(deadline=deadline_s):
                numbered = await self._number(request)
                return await self._call_attempts(numbered, state)
            raise verdict.refuse(
                verdict.Reason.DEADLINE_EXCEEDED,
                "the service did not answer in time",
            )
        except verdict.RefusedError as error:
            raise _cover_attempts(
                error.refusal, may_have_run=state.may_have_run
            ) from None

    async def _number(self, request: _T) -> _T:
        """Adds an epoch to a request that its caller may send again."""
        key = request.request_key
        if request.repeatable or not key.startswith(marks.CALLER_KEY_PREFIX):
            return request
        epoch = await self.draw_epoch(request.workspace, key)
        return attrs.evolve(request, epoch=epoch)

    async def _run_attempts(
        self,
        call: calls.PromptCall,
        progress: streams.Progress,
        sink: streams.Sink,
    ) -> messages.RunEnd:
        excluded: set[str] = set()
        attempt = 0
        while True:
            async with self.probe_gate.enter():
                placed = await self._place(call, progress, excluded)
            try:
                with self.under_way.count(call.workspace, placed.target.name):
                    return await attempts.run_at(
                        self.peers,
                        placed,
                        call,
                        progress,
                        sink,
                        attempt=attempt,
                        revision=self.fleet.fleet.revision,
                        pacer=self.pacer,
                    )
            except verdict.RefusedError as error:
                attempt += 1
                self._check_retry(error, attempt, repeatable=call.repeatable)
                reason = error.refusal.reason
            if reason is not verdict.Reason.VERSION_CHANGED or progress.tokens:
                excluded.add(placed.target.name)

    async def _place(
        self,
        call: calls.PromptCall,
        progress: streams.Progress,
        excluded: set[str],
    ) -> routes.Placement:
        """Probes candidates until some agents answer."""
        deployment = self.fleet.fleet.deployments.get(call.deployment)
        version = progress.version or (deployment.version if deployment else "")
        keys = routes.probe_keys(call, version, probes.MAX_KEYS)
        while True:
            candidates = self.routing.candidates(
                call, excluded, self.under_way.of_workspace(call.workspace)
            )
            if not candidates:
                raise verdict.refuse(
                    verdict.Reason.NO_TARGET,
                    f"no target of {call.deployment} takes work now",
                    retry_after_s=1.0,
                )
            message = probes.build(
                call,
                keys,
                revision=self.fleet.fleet.revision,
                reserve=self.routing.reserve,
            )
            probed, kept = await self._ask(call, version, candidates, message)
            if probed:
                break
            excluded.update(target.name for target in candidates)
        required = progress.version if progress.tokens else ""
        return self.routing.choose(call, required, probed, kept)

    async def _ask(
        self,
        call: calls.PromptCall,
        version: str,
        candidates: collections.abc.Sequence[model.Target],
        message: messages.Probe,
    ) -> tuple[list[routes.Probed], client.StoredPrefix]:
        """Probes the candidates and asks the prompt's store meanwhile."""
        kept = client.StoredPrefix(None)

        async def find_kept() -> None:
            nonlocal kept
            kept = await self.routing.find_kept(
                call, version, message.block_keys
            )

        async with anyio.create_task_group() as group:
            group.start_soon(find_kept)
            probed = await probes.probe_all(self.peers, candidates, message)
        return probed, kept

    async def _call_attempts(
        self, request: calls.ServiceRequest, state: attempts.Exposure
    ) -> messages.ServiceReply:
        excluded: set[str] = set()
        attempt = 0
        while True:
            targets = self.routing.service_order(
                request, excluded, self.under_way.by_target
            )
            if not targets:
                raise verdict.refuse(
                    verdict.Reason.NO_TARGET,
                    f"no target of {request.service} takes calls now",
                    retry_after_s=1.0,
                )
            target = targets[0]
            try:
                with self.under_way.count(request.workspace, target.name):
                    return await attempts.call_at(
                        self.peers,
                        target,
                        request,
                        state,
                        attempt=attempt,
                        revision=self.fleet.fleet.revision,
                    )
            except verdict.RefusedError as error:
                attempt += 1
                self._check_retry(error, attempt, repeatable=request.repeatable)
            excluded.add(target.name)

    def _check_retry(
        self, error: verdict.RefusedError, attempt: int, *, repeatable: bool
    ) -> None:
        """Raises `error` unless the request may be sent once more."""
        refusal = error.refusal
        if refusal.reason in _FINAL_REASONS or attempt >= MAX_ATTEMPTS:
            raise error
        if refusal.verdict is verdict.Verdict.HAS_RUN:
            raise error
        if refusal.verdict is not verdict.Verdict.NOT_RUN and not repeatable:
            raise error
        if not self.budget.spend():
            raise error
        self.metrics.retries.labels(refusal.reason.value).inc()


def _cover_attempts(
    refusal: verdict.Refusal, *, may_have_run: bool
) -> verdict.RefusedError:
    """Returns the refusal with a verdict that is true of all attempts."""
    if refusal.verdict is verdict.Verdict.NOT_RUN and may_have_run:
        refusal = attrs.evolve(refusal, verdict=verdict.Verdict.MAY_HAVE_RUN)
    return verdict.RefusedError(refusal)
