"""One run of a prompt: claim, engine stream, resumption."""

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
RESUME_LIMIT_S = 5.0
CANCEL_TIMEOUT_S = 1.0
MAX_GATE_WAIT_S = 5.0
LOST_RETRY_AFTER_S = 1.0
CLIENT_ERROR_STATUSES = range(400, 500)


@attrs.frozen
class Parts:
    """What runs of one agent share.

    Attributes:
      node: State of the agent.
      client: Client of the engine.
      gate: Version gate of the engine.
      claimer: Makes claims.
    """

    node: node.Node
    client: engine.EngineClient
    gate: gate.VersionGate
    claimer: claims.Claimer


class PromptRun:
    """One run.

    Attributes:
      sent: Whether the engine may have seen the prompt.
      imported_tokens: Prompt tokens that were imported for this run.
    """

    def __init__(
        self, parts: Parts, record: runs.RunRecord, number: int
    ) -> None:
        """Runs `record`; `number` is unique in this process."""
        self.sent = False
        self.imported_tokens = 0
        self._parts = parts
        self._record = record
        self._request_id = f"{parts.node.incarnation:x}-{number}"
        self._base = len(record.request.generated)
        self._started: engine.Started | None = None
        self._finished: engine.Finished | None = None
        self._held: claims.HeldClaim | None = None
        self._prefilled = False
        self._place: admission.Place | None = None

    async def execute(self, place: admission.Place) -> runs.Final:
        """Runs the prompt in a place and returns the final answer.

        Raises:
          RefusedError: If it was refused.
          TargetError: If the engine failed it.
        """
        self._place = place
        async with contextlib.AsyncExitStack() as gate_stack:
            if not (self._parts.gate.is_open and self._repeatable):
                # Others must not wait for a load of weights or a claim.
                place.end_prefill()
            status = await self._pass_gate(gate_stack)
            self._check(status)
            answer = await self._claim()
            if answer is not None:
                return self._replay(answer)
            place.begin_prefill()
            return await self._run(status, gate_stack)

    async def settle_claim(self) -> None:
        """Stores the outcome of a claimed run, or gives the claim back."""
        held, self._held = self._held, None
        if held is None:
            return
        final = self._record.final
        if isinstance(final, messages.RunEnd):
            stored = messages.StoredRun(_whole_output(self._record), final)
            answer = codec.encode(stored)
            await self._parts.claimer.finish(held, claims.OUTCOME_DONE, answer)
            return
        if not self.sent:
            self._parts.claimer.release(held)
            return
        await self._parts.claimer.finish(held, claims.OUTCOME_LOST, b"")

    @property
    def _repeatable(self) -> bool:
        return self._record.request.repeatable

    async def _pass_gate(
        self, gate_stack: contextlib.AsyncExitStack
    ) -> engine.Status:
        """Enters the version gate, or refuses when it stays closed."""
        version_gate = self._parts.gate
        expected_s = version_gate.expected_wait_s()
        if expected_s > MAX_GATE_WAIT_S:
            raise _gate_closed(expected_s)
        now_s = anyio.current_time()
        left_s = self._record.deadline_s - now_s
        with anyio.move_on_after(min(left_s, MAX_GATE_WAIT_S)):
            return await gate_stack.enter_async_context(version_gate.admit())
        if left_s <= MAX_GATE_WAIT_S:
            raise _deadline_exceeded()
        raise _gate_closed(version_gate.expected_wait_s())

    def _check(self, status: engine.Status) -> None:
        """Returns if the engine can run the request as it is now."""
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

    async def _claim(self) -> bytes | None:
        """Claims a run that is not repeatable; returns a stored answer."""
        request = self._record.request
        if self._repeatable:
            return None
        key = claims.Key(
            request.workspace,
            request.request_key,
            self._record.digest,
            request.epoch,
        )
        result = await self._parts.claimer.claim(key)
        if isinstance(result, claims.StoredAnswer):
            return result.answer
        self._held = result
        self._record.claimed = True
        try:
            await self._parts.claimer.confirm(result)
        except verdict.RefusedError:
            self._held = None
            self._record.claimed = False
            raise
        if self._record.deadline_s <= anyio.current_time():
            raise _deadline_exceeded()
        return None

    def _replay(self, answer: bytes) -> messages.RunEnd:
        number = codec.number_of(messages.StoredRun)
        stored = codec.decode(number, answer)
        if not isinstance(stored, messages.StoredRun):
            raise TypeError("stored answer is no run")
        self._record.append(stored.output.tokens, stored.output.text)
        return stored.end

    async def _run(
        self, status: engine.Status, gate_stack: contextlib.AsyncExitStack
    ) -> messages.RunEnd:
        try:
            await self._stream(self._prompt(status), status, gate_stack)
        except BaseException:
            self._end_prefill()
            if self.sent and self._finished is None:
                await self._cancel()
            raise
        if self._started is None or self._finished is None:
            raise exceptions.TargetError("the stream did not end", sent=True)
        self._count()
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
            request.max_tokens - self._base,
        )

    async def _stream(
        self,
        prompt: engine.Prompt,
        status: engine.Status,
        gate_stack: contextlib.AsyncExitStack,
    ) -> None:
        """Reads the engine's stream to its end, joining it again if broken."""
        client = self._parts.client
        self.sent = True
        give_up_s = 0.0
        opened = client.open_run(prompt)
        while True:
            try:
                async with opened as events:
                    await self._read_start(events, status)
                    await gate_stack.aclose()
                    give_up_s = 0.0
                    await self._pump(events)
                    return
            except exceptions.TargetStatusError as error:
                first = self._started is None
                if first and error.status in CLIENT_ERROR_STATUSES:
                    self.sent = False
                raise
            except exceptions.TargetError as error:
                if self._started is None and not error.sent:
                    self.sent = False
                    raise
                now_s = anyio.current_time()
                give_up_s = give_up_s or now_s + RESUME_LIMIT_S
                if now_s > give_up_s:
                    raise
                metrics.RESUMPTIONS.labels(self._parts.node.target).inc()
            await anyio.sleep(RESUME_INTERVAL_S)
            opened = client.open_resumed(
                self._request_id, self._record.count - self._base
            )

    async def _read_start(
        self,
        events: collections.abc.AsyncIterator[engine.Event],
        status: engine.Status,
    ) -> None:
        event = await anext(events, None)
        if not isinstance(event, engine.Started):
            raise exceptions.TargetError("the stream did not start", sent=True)
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

    async def _pump(
        self, events: collections.abc.AsyncIterator[engine.Event]
    ) -> None:
        record = self._record
        async for event in events:
            expected = record.count - self._base
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
        raise exceptions.TargetError("the stream broke off", sent=True)

    def _end_prefill(self) -> None:
        """Notes that the engine has computed the prompt."""
        if self._place is not None:
            self._place.end_prefill()
        if self._started is None or self._prefilled:
            return
        self._prefilled = True
        length = len(self._record.request.tokens) + self._base
        computed = length - self._started.cached_tokens
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
        """Stops the run at the engine, if it can be reached."""
        with (
            anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True),
            contextlib.suppress(exceptions.TargetError),
        ):
            await self._parts.client.cancel(self._request_id)

    def _count(self) -> None:
        owner = self._parts.node
        cached = self._started.cached_tokens if self._started else 0
        computed = len(self._record.request.tokens) + self._base - cached
        label = metrics.PROMPT_TOKENS.labels
        label(owner.target, "resident").inc(cached)
        label(owner.target, "computed").inc(computed)
        output = self._record.count - self._base
        metrics.OUTPUT_TOKENS.labels(owner.target).inc(output)


def _whole_output(record: runs.RunRecord) -> messages.RunTokens:
    output: list[int] = []
    for batch in record.batches:
        output += batch.tokens
    text = "".join(batch.text for batch in record.batches)
    return messages.RunTokens(0, tuple(output), text)


def _gate_closed(expected_s: float) -> verdict.RefusedError:
    """Returns the refusal of a run that would wait too long at the gate."""
    if expected_s == float("inf"):
        return verdict.refuse(
            verdict.Reason.TARGET_LOST,
            "the engine cannot be reached; try another target",
            retry_after_s=LOST_RETRY_AFTER_S,
        )
    return verdict.refuse(
        verdict.Reason.VERSION_CHANGED,
        "the engine loads weights; try another target",
        retry_after_s=max(LOST_RETRY_AFTER_S, expected_s),
    )


def _deadline_exceeded() -> verdict.RefusedError:
    return verdict.refuse(
        verdict.Reason.DEADLINE_EXCEEDED,
        "the deadline passed before the run could start",
        retry_after_s=1.0,
    )
