"""Calls to the agent's plain service."""

from __future__ import annotations

import hashlib
import logging
import typing

import anyio
import anyio.abc
import attrs

from cactusstile import guards
from cactusstile import verdict
from cactusstile.agent import admission
from cactusstile.agent import claims
from cactusstile.agent import messages
from cactusstile.agent import metrics
from cactusstile.agent import node
from cactusstile.targets import exceptions
from cactusstile.targets import service
from cactusstile.transport import codec

if typing.TYPE_CHECKING:
    from cactusstile.state import model
    from cactusstile.targets import http
    from cactusstile.transport import incoming

logger = logging.getLogger(__name__)

MAX_LIVE_CALLS = 4096

FinalMessage: typing.TypeAlias = messages.ServiceReply | messages.Refused


@attrs.define(eq=False)
class _LiveCall:
    """A running claimed call; callers with its key share the answer."""

    digest: bytes
    done: anyio.Event = attrs.field(factory=anyio.Event)
    final: FinalMessage | None = None


def content_digest(call: messages.ServiceCall) -> bytes:
    """Returns a digest of a call's content, equal for all attempts."""
    normalized = attrs.evolve(
        call,
        attempt=0,
        headers=(),
        priority=0,
        time_left_ms=0,
        revision=0,
        epoch=0,
    )
    return hashlib.blake2b(codec.encode(normalized), digest_size=16).digest()


class ServiceCalls:
    """Forwards calls to one plain service."""

    def __init__(
        self,
        agent: node.Node,
        target: http.HttpTarget,
        claimer: claims.Claimer,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Forwards to `target`; claimed calls run to completion in `group`."""
        self._node = agent
        self._target = target
        self._claimer = claimer
        self._group = group
        self._live: dict[tuple[str, str], _LiveCall] = {}
        self._guard = guards.Guard("claimed calls")

    async def call(
        self, _: incoming.Responder, request: messages.ServiceCall
    ) -> FinalMessage:
        """Forwards a call, or returns the stored answer of an earlier run."""
        if request.repeatable:
            return await self._execute(request)
        key = (request.workspace, request.request_key)
        live = self._live.get(key)
        digest = content_digest(request)
        if live is None:
            live = _LiveCall(digest)
            if len(self._live) >= MAX_LIVE_CALLS:
                return self._node.build_refused(_too_many_calls())
            self._live[key] = live
            self._group.start_soon(
                self._guard.run, self._run_claimed, request, live
            )
        elif live.digest != digest:
            return self._node.build_refused(_key_in_use())
        await live.done.wait()
        if live.final is None:
            raise RuntimeError("call ended without an answer")
        return live.final

    async def _run_claimed(
        self, request: messages.ServiceCall, live: _LiveCall
    ) -> None:
        try:
            live.final = await self._execute(request)
        finally:
            if live.final is None:
                live.final = self._node.build_refused(_cancelled())
            del self._live[(request.workspace, request.request_key)]
            live.done.set()

    async def _execute(self, request: messages.ServiceCall) -> FinalMessage:
        agent = self._node
        try:
            declared, work = self._build_work(request)
        except verdict.RefusedError as error:
            return agent.build_refused(error.refusal)
        agent.begin()
        outcome = "completed"
        try:
            async with agent.admission.enter(work):
                return await self._call(request, declared, work.deadline_s)
        except verdict.RefusedError as error:
            outcome = error.refusal.verdict.value
            return agent.build_refused(error.refusal)
        except exceptions.TargetError as error:
            outcome = error.verdict.value
            return agent.build_refused(_service_lost(error))
        finally:
            metrics.RUNS.labels(agent.target, "service", outcome).inc()
            agent.end()

    def _build_work(
        self, request: messages.ServiceCall
    ) -> tuple[model.Service, admission.Work]:
        agent = self._node
        agent.check_accepts_work()
        agent.check_serves(request.service)
        declared = agent.fleet.services[request.service]
        workspace = agent.check_workspace(
            request.workspace, declared.workspaces, request.revision
        )
        work = admission.Work(
            request.workspace,
            1,
            workspace.share,
            request.priority,
            node.deadline_s(request.time_left_ms),
        )
        return declared, work

    async def _call(
        self,
        request: messages.ServiceCall,
        declared: model.Service,
        deadline_s: float,
    ) -> FinalMessage:
        held_claim: claims.HeldClaim | None = None
        if not request.repeatable:
            key = claims.ClaimKey(
                request.workspace,
                request.request_key,
                content_digest(request),
                request.epoch,
            )
            result = await self._claimer.claim(key)
            if isinstance(result, claims.StoredAnswer):
                return _decode_reply(result.answer)
            held_claim = result
            await self._claimer.confirm(held_claim)
        remaining_s = deadline_s - anyio.current_time()
        if remaining_s <= 0:
            if held_claim is not None:
                self._claimer.release(held_claim)
            raise _deadline_exceeded()
        timeout_s = min(remaining_s, declared.timeout_s)
        return await self._send(request, held_claim, timeout_s)

    async def _send(
        self,
        request: messages.ServiceCall,
        held_claim: claims.HeldClaim | None,
        timeout_s: float,
    ) -> FinalMessage:
        try:
            reply = await service.call_service(self._target, request, timeout_s)
        except exceptions.TargetError as error:
            if held_claim is not None and error.sent:
                await self._claimer.finish(held_claim, claims.OUTCOME_LOST, b"")
            elif held_claim is not None:
                self._claimer.release(held_claim)
            raise
        if held_claim is not None:
            answer = codec.encode(reply)
            await self._claimer.finish(held_claim, claims.OUTCOME_DONE, answer)
        return reply


def _decode_reply(answer: bytes) -> messages.ServiceReply:
    reply = codec.decode(codec.number_of(messages.ServiceReply), answer)
    if not isinstance(reply, messages.ServiceReply):
        raise TypeError("stored answer is not a service reply")
    return reply


def _service_lost(error: exceptions.TargetError) -> verdict.Refusal:
    logger.info("call failed at the service: %s", error)
    return verdict.Refusal(
        error.verdict,
        verdict.Reason.TARGET_LOST,
        "the service gave no whole answer",
        node.RETRY_ELSEWHERE_S,
    )


def _cancelled() -> verdict.Refusal:
    return verdict.Refusal(
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Reason.SHUTTING_DOWN,
        "the agent stopped during the call",
    )


def _too_many_calls() -> verdict.Refusal:
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.OVERLOADED,
        "too many calls are under way; retry later",
        1.0,
    )


def _key_in_use() -> verdict.Refusal:
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.BAD_REQUEST,
        "the key is in use for another request; choose a new one",
    )


def _deadline_exceeded() -> verdict.RefusedError:
    return verdict.refuse(
        verdict.Reason.DEADLINE_EXCEEDED,
        "the deadline passed before the call could start",
        retry_after_s=1.0,
    )
