"""Execution of one prompt: claim, engine stream and stream resumption."""

from __future__ import annotations

import contextlib
import logging
import typing

import anyio
import attrs

from cactusstile import tokens
from cactusstile import verdict
from cactusstile.agent import claims
from cactusstile.agent import messages
from cactusstile.agent import metrics
from cactusstile.targets import engine
from cactusstile.targets import exceptions
from cactusstile.transport import codec

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.agent import admission
    from cactusstile.agent import gate
    from cactusstile.agent import node
    from cactusstile.agent import runs

logger = logging.getLogger(__name__)

RESUME_INTERVAL_S = 0.05
RESUME_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 1.0
MAX_GATE_WAIT_S = 5.0
ENGINE_RETRY_AFTER_S = 1.0


@attrs.frozen
class Parts:
    """Components that all runs of one agent share.

    Attributes:
      node: State of the agent.
      client: Client of the engine.
      gate: Version gate of the engine.
      claimer: Makes and completes claims.
    """

    node: node.Node
    client: engine.EngineClient
    gate: gate.VersionGate
    claimer: claims.Claimer


class PromptRun:
    """Executes one prompt at the engine.

    Attributes:
      sent: Whether the engine may have received the prompt.
      imported_tokens: Prompt tokens that were imported for this run.
    """

    def __init__(
        self, parts: Parts, record: runs.RunRecord, number: int
    ) -> None:
        """Prepares the run of `record`; `number` is unique in this process."""
        self.sent = False
        self.imported_tokens = 0
        self._parts = parts
        self._record = record
        self._request_id = f"{parts.node.incarnation:x}-{number}"
        self._generated_count = len(record.request.generated)
        self._started: engine.Started | None = None
        self._finished: engine.Finished | None = None
        self._held_claim: claims.HeldClaim | None = None
        self._prefill_ended = False
        self._slot: admission.HeldSlot | None = None

    async def execute(self, slot: admission.HeldSlot) -> runs.FinalMessage:
        """Runs the prompt in a held slot and returns the final message.

        Raises:
          RefusedError: If the run was refused.
          TargetError: If the call to the engine failed.
        """
        self._slot = slot
        async with contextlib.AsyncExitStack() as gate_stack:
            if not (self._parts.gate.is_open and self._repeatable):
                # Other prompts may start during a weight load or a claim.
                slot.end_prefill()
            status = await self._enter_gate(gate_stack)
            self._check_engine(status)
            answer = await self._claim_run()
            if answer is not None:
                return self._replay(answer)
            slot.begin_prefill()
            return await self._run_prompt(status, gate_stack)

    async def settle_claim(self) -> None:
        """Stores the outcome of a claimed run, or releases the claim."""
        held_claim, self._held_claim = self._held_claim, None
        if held_claim is None:
            return
        final = self._record.final
        if isinstance(final, messages.RunEnd):
            stored = messages.StoredRun(_complete_output(self._record), final)
            answer = codec.encode(stored)
            await self._parts.claimer.finish(
                held_claim, claims.OUTCOME_DONE, answer
            )
            return
        if not self.sent:
            self._parts.claimer.release(held_claim)
            return
        await self._parts.claimer.finish(held_claim, claims.OUTCOME_LOST, b"")

    @property
    def _repeatable(self) -> bool:
        return self._record.request.repeatable

    async def _enter_gate(
        self, gate_stack: contextlib.AsyncExitStack
    ) -> engine.Status:
        """Enters the version gate.

        Raises:
          RefusedError: If the gate stays closed for too long.
        """
        version_gate = self._parts.gate
        expected_s = version_gate.expected_wait_s()
        if expected_s > MAX_GATE_WAIT_S:
            raise _gate_closed(expected_s)
        now_s = anyio.current_time()
        remaining_s = self._record.deadline_s - now_s
        with anyio.move_on_after(min(remaining_s, MAX_GATE_WAIT_S)):
            return await gate_stack.enter_async_context(version_gate.admit())
        if remaining_s <= MAX_GATE_WAIT_S:
            raise _deadline_exceeded()
        raise _gate_closed(version_gate.expected_wait_s())

    def _check_engine(self, status: engine.Status) -> None:
        """Checks that the engine can run the request in its current state.

        Raises:
          RefusedError: If the engine cannot run the request.
        """
        request = self._record.request
        fleet = self._parts.node.fleet
        deployment = fleet.deployments.get(request.deployment)
        if deployment is None or status.model != deployment.model:
            raise verdict.refuse(
                verdict.Reason.NO_TARGET,
                f"the engine does not run {request.deployment!r} now",
                retry_after_s=1.0,
            )
        if request.version and request.version != status.version:
            raise verdict.refuse(
                verdict.Reason.VERSION_CHANGED,
                f"the engine runs version {status.version!r} now",
                retry_after_s=1.0,
            )
        if request.adapter and request.adapter not in status.adapters:
            raise verdict.refuse(
                verdict.Reason.NO_TARGET,
                f"the engine has no adapter {request.adapter!r} yet",
                retry_after_s=1.0,
            )
        if self._record.deadline_s <= anyio.current_time():
            raise _deadline_exceeded()

    async def _claim_run(self) -> bytes | None:
        """Claims a run that is not repeatable.

        Returns:
          The stored answer if the request has run before, else None.
        """
        request = self._record.request
        if self._repeatable:
            return None
        key = claims.ClaimKey(
            request.workspace,
            request.request_key,
            self._record.digest,
            request.epoch,
        )
        result = await self._parts.claimer.claim(key)
        if isinstance(result, claims.StoredAnswer):
            return result.answer
        self._held_claim = result
        self._record.claimed = True
        try:
            await self._parts.claimer.confirm(result)
        except verdict.RefusedError:
            self._held_claim = None
            self._record.claimed = False
            raise
        if self._record.deadline_s <= anyio.current_time():
            raise _deadline_exceeded()
        return None

    def _replay(self, answer: bytes) -> messages.RunEnd:
        number = codec.number_of(messages.StoredRun)
        stored = codec.decode(number, answer)
        if not isinstance(stored, messages.StoredRun):
            raise TypeError("stored answer is not a run")
        self._record.append(stored.output.tokens, stored.output.text)
        return stored.end

    async def _run_prompt(
        self, status: engine.Status, gate_stack: contextlib.AsyncExitStack
    ) -> messages.RunEnd:
        try:
            await self._stream_output(self._prompt(status), status, gate_stack)
        except BaseException:
            self._end_prefill()
            if self.sent and self._finished is None:
                await self._cancel()
            raise
        if self._started is None or self._finished is None:
            raise exceptions.TargetError("stream has no end event", sent=True)
        self._count_tokens()
        cached_tokens = self._started.cached_tokens
        imported_tokens = min(self.imported_tokens, cached_tokens)
        return messages.RunEnd(
            self._record.count,
            self._finished.reason,
            self._started.version,
            len(self._record.request.tokens),
            cached_tokens - imported_tokens,
            imported_tokens,
        )

    def _prompt(self, status: engine.Status) -> engine.Prompt:
        request = self._record.request
        scope = tokens.Scope(
            request.workspace,
            request.deployment,
            status.version,
            request.adapter,
        )
        return engine.Prompt(
            self._request_id,
            status.model,
            request.deployment,
            scope,
            request.tokens + request.generated,
            request.max_tokens - self._generated_count,
        )

    async def _stream_output(
        self,
        prompt: engine.Prompt,
        status: engine.Status,
        gate_stack: contextlib.AsyncExitStack,
    ) -> None:
        """Reads the engine's stream to its end; resumes a broken stream."""
        client = self._parts.client
        self.sent = True
        is_resumed = False
        resume_until_s = 0.0
        stream_context = client.open_run(prompt)
        while True:
            try:
                async with stream_context as events:
                    await self._read_start(events, status)
                    await gate_stack.aclose()
                    resume_until_s = 0.0
                    await self._read_output(events)
                    return
            except exceptions.TargetError as error:
                # What a resumption meets tells nothing of the first call.
                self.sent = is_resumed or not error.was_refused
                is_status = isinstance(error, exceptions.TargetStatusError)
                if is_status or not self.sent:
                    raise
                now_s = anyio.current_time()
                resume_until_s = resume_until_s or now_s + RESUME_TIMEOUT_S
                if now_s > resume_until_s:
                    raise
                metrics.RESUMPTIONS.labels(self._parts.node.target).inc()
            await anyio.sleep(RESUME_INTERVAL_S)
            is_resumed = True
            stream_context = client.open_resumed(
                self._request_id, self._record.count - self._generated_count
            )

    async def _read_start(
        self,
        events: collections.abc.AsyncIterator[engine.Event],
        status: engine.Status,
    ) -> None:
        event = await anext(events, None)
        if not isinstance(event, engine.Started):
            raise exceptions.TargetError("stream has no start event", sent=True)
        if event.version != status.version:
            raise verdict.refuse(
                verdict.Reason.VERSION_CHANGED,
                "another process changed the engine's weights",
                verdict=verdict.Verdict.MAY_HAVE_RUN,
                retry_after_s=1.0,
            )
        if self._started is None:
            self._started = event
            self._parts.node.admission.speed.begin()

    async def _read_output(
        self, events: collections.abc.AsyncIterator[engine.Event]
    ) -> None:
        record = self._record
        async for event in events:
            expected = record.count - self._generated_count
            if isinstance(event, engine.Output):
                if event.first_index + len(event.tokens) <= expected:
                    continue
                if event.first_index != expected:
                    raise exceptions.TargetError("output has a gap", sent=True)
                record.append(event.tokens, event.text)
                self._end_prefill()
            elif isinstance(event, engine.Finished):
                self._finish(event, expected)
                return
        raise exceptions.TargetError("stream was interrupted", sent=True)

    def _end_prefill(self) -> None:
        """Records that the engine has computed the prompt."""
        if self._slot is not None:
            self._slot.end_prefill()
        if self._started is None or self._prefill_ended:
            return
        self._prefill_ended = True
        prompt_length = len(self._record.request.tokens) + self._generated_count
        computed = prompt_length - self._started.cached_tokens
        self._parts.node.admission.speed.end(computed)

    def _finish(self, event: engine.Finished, expected: int) -> None:
        if event.reason == "cancelled":
            raise verdict.refuse(
                verdict.Reason.TARGET_LOST,
                "the engine cancelled the run",
                verdict=verdict.Verdict.MAY_HAVE_RUN,
                retry_after_s=1.0,
            )
        if event.count != expected:
            raise exceptions.TargetError("output lacks tokens", sent=True)
        self._finished = event

    async def _cancel(self) -> None:
        """Cancels the run at the engine; errors of the call are ignored."""
        with (
            anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True),
            contextlib.suppress(exceptions.TargetError),
        ):
            await self._parts.client.cancel(self._request_id)

    def _count_tokens(self) -> None:
        agent = self._parts.node
        cached = self._started.cached_tokens if self._started else 0
        computed = (
            len(self._record.request.tokens) + self._generated_count - cached
        )
        label = metrics.PROMPT_TOKENS.labels
        label(agent.target, "resident").inc(cached)
        label(agent.target, "computed").inc(computed)
        output = self._record.count - self._generated_count
        metrics.OUTPUT_TOKENS.labels(agent.target).inc(output)


def _complete_output(record: runs.RunRecord) -> messages.RunTokens:
    output: list[int] = []
    for batch in record.batches:
        output += batch.tokens
    text = "".join(batch.text for batch in record.batches)
    return messages.RunTokens(0, tuple(output), text)


def _gate_closed(expected_s: float) -> verdict.RefusedError:
    """Returns the refusal of a run whose wait at the gate is too long."""
    if expected_s == float("inf"):
        return verdict.refuse(
            verdict.Reason.TARGET_LOST,
            "the engine cannot be reached; try another target",
            retry_after_s=ENGINE_RETRY_AFTER_S,
        )
    return verdict.refuse(
        verdict.Reason.VERSION_CHANGED,
        "the engine loads weights; try another target",
        retry_after_s=max(ENGINE_RETRY_AFTER_S, expected_s),
    )


def _deadline_exceeded() -> verdict.RefusedError:
    return verdict.refuse(
        verdict.Reason.DEADLINE_EXCEEDED,
        "the deadline passed before the run could start",
        retry_after_s=1.0,
    )
