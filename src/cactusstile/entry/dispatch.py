"""Dispatch of requests to targets.

This is the only layer that chooses targets, retries requests and resumes
streams.
"""

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
from cactusstile.entry import running_requests
from cactusstile.entry import streams
from cactusstile.filters import earlier_attempts
from cactusstile.filters import request_options
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
_NON_RETRYABLE_REASONS = (
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
      routing: Selects the targets of requests.
      budget: Bounds retries.
      metrics: Counters of the entry.
      running: Requests that this entry has sent to agents.
      pacer: Paces writes to callers.
      probe_limiter: Bounds the requests that probe concurrently.
      allocate_epoch: Returns a new epoch for a workspace's key, see
        `filters.earlier_attempts`.
    """

    peers: pool.Pool
    fleet: holder.FleetHolder
    routing: routes.Routes
    budget: retry_budget.RetryBudget
    metrics: entry_metrics.EntryMetrics
    running: running_requests.RunningRequests = attrs.field(
        factory=running_requests.RunningRequests
    )
    pacer: pacing.Pacer = attrs.field(factory=pacing.Pacer)
    probe_limiter: probes.ProbeLimiter = attrs.field(
        factory=probes.ProbeLimiter
    )
    allocate_epoch: earlier_attempts.AllocateEpoch = (
        earlier_attempts.allocate_no_epoch
    )

    async def run(
        self, call: calls.PromptCall, sink: streams.Sink
    ) -> messages.RunEnd:
        """Runs a prompt and passes its text to `sink` as it arrives.

        Returns:
          The end of the run; its count equals the number of received tokens.

        Raises:
          RefusedError: If the run does not complete; its verdict covers all
            attempts.
        """
        progress = streams.Progress(call.max_tokens)
        self.budget.earn()
        self.routing.record_arrival(call)
        try:
            with anyio.CancelScope(deadline=call.deadline_s):
                with_epoch = await self._add_epoch(call)
                return await self._run_attempts(with_epoch, progress, sink)
            raise verdict.refuse(
                verdict.Reason.DEADLINE_EXCEEDED,
                "the deadline passed before the answer was complete",
            )
        except verdict.RefusedError as error:
            raise _cover_all_attempts(
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
        state = attempts.ExecutionState()
        service_deadline_s = anyio.current_time() + request.timeout_s
        deadline_s = min(request.deadline_s, service_deadline_s)
        try:
            with anyio.CancelScope(deadline=deadline_s):
                with_epoch = await self._add_epoch(request)
                return await self._call_attempts(with_epoch, state)
            raise verdict.refuse(
                verdict.Reason.DEADLINE_EXCEEDED,
                "the service did not answer in time",
            )
        except verdict.RefusedError as error:
            raise _cover_all_attempts(
                error.refusal, may_have_run=state.may_have_run
            ) from None

    async def _add_epoch(self, request: _T) -> _T:
        """Adds an epoch to a request that its caller may send again.

        Only requests with a caller's key that are not repeatable need one.
        """
        key = request.request_key
        if request.repeatable or not key.startswith(
            request_options.CALLER_KEY_PREFIX
        ):
            return request
        epoch = await self.allocate_epoch(request.workspace, key)
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
            async with self.probe_limiter.hold_slot():
                placement = await self._choose_placement(
                    call, progress, excluded
                )
            try:
                with self.running.count(call.workspace, placement.target.name):
                    return await attempts.run_on_target(
                        self.peers,
                        placement,
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
                excluded.add(placement.target.name)

    async def _choose_placement(
        self,
        call: calls.PromptCall,
        progress: streams.Progress,
        excluded: set[str],
    ) -> routes.Placement:
        """Probes candidates until any agent replies; chooses among these."""
        deployment = self.fleet.fleet.deployments.get(call.deployment)
        version = progress.version or (deployment.version if deployment else "")
        keys = routes.leading_block_keys(call, version, probes.MAX_BLOCK_KEYS)
        while True:
            candidates = self.routing.candidates(
                call, excluded, self.running.for_workspace(call.workspace)
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
            probed, stored = await self._query_candidates(
                call, version, candidates, message
            )
            if probed:
                break
            excluded.update(target.name for target in candidates)
        required_version = progress.version if progress.tokens else ""
        return self.routing.choose(call, required_version, probed, stored)

    async def _query_candidates(
        self,
        call: calls.PromptCall,
        version: str,
        candidates: collections.abc.Sequence[model.Target],
        message: messages.Probe,
    ) -> tuple[list[routes.ProbedTarget], client.StoredPrefix]:
        """Probes the candidates and queries the prompt's store concurrently."""
        stored = client.StoredPrefix(None)

        async def find_stored_blocks() -> None:
            nonlocal stored
            stored = await self.routing.find_stored_blocks(
                call, version, message.block_keys
            )

        async with anyio.create_task_group() as group:
            group.start_soon(find_stored_blocks)
            probed = await probes.probe_all(self.peers, candidates, message)
        return probed, stored

    async def _call_attempts(
        self, request: calls.ServiceRequest, state: attempts.ExecutionState
    ) -> messages.ServiceReply:
        excluded: set[str] = set()
        attempt = 0
        while True:
            targets = self.routing.rank_service_targets(
                request, excluded, self.running.by_target
            )
            if not targets:
                raise verdict.refuse(
                    verdict.Reason.NO_TARGET,
                    f"no target of {request.service} takes calls now",
                    retry_after_s=1.0,
                )
            target = targets[0]
            try:
                with self.running.count(request.workspace, target.name):
                    return await attempts.call_on_target(
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
        """Raises `error` unless the request may be retried.

        A retry needs an attempt and budget left, and a request that was not
        run or is repeatable.
        """
        refusal = error.refusal
        if refusal.reason in _NON_RETRYABLE_REASONS or attempt >= MAX_ATTEMPTS:
            raise error
        if refusal.verdict is verdict.Verdict.HAS_RUN:
            raise error
        if refusal.verdict is not verdict.Verdict.NOT_RUN and not repeatable:
            raise error
        if not self.budget.spend():
            raise error
        self.metrics.retries.labels(refusal.reason.value).inc()


def _cover_all_attempts(
    refusal: verdict.Refusal, *, may_have_run: bool
) -> verdict.RefusedError:
    """Returns the refusal with a verdict that holds for all attempts."""
    if refusal.verdict is verdict.Verdict.NOT_RUN and may_have_run:
        refusal = attrs.evolve(refusal, verdict=verdict.Verdict.MAY_HAVE_RUN)
    return verdict.RefusedError(refusal)
