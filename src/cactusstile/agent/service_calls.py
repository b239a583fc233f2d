"""Calls to the plain service beside this agent."""

from __future__ import annotations

import hashlib
import logging
import typing

import anyio
import anyio.abc
import attrs

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

Final: typing.TypeAlias = messages.ServiceReply | messages.Refused


@attrs.define(eq=False)
class _LiveCall:
    """A claimed call under way; callers with its key share the answer."""

    digest: bytes
    done: anyio.Event = attrs.field(factory=anyio.Event)
    final: Final | None = None


def content_digest(call: messages.ServiceCall) -> bytes:
    """Returns a digest of what a call asks for, the same in all attempts."""
    bare = attrs.evolve(
        call,
        attempt=0,
        headers=(),
        priority=0,
        time_left_ms=0,
        revision=0,
        epoch=0,
    )
    return hashlib.blake2b(codec.encode(bare), digest_size=16).digest()


class ServiceCalls:
    """Passes calls to one plain service."""

    def __init__(
        self,
        owner: node.Node,
        target: http.HttpTarget,
        claimer: claims.Claimer,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Calls `target`; claimed calls run in `group` to their end."""
        self._node = owner
        self._target = target
        self._claimer = claimer
        self._group = group
        self._live: dict[tuple[str, str], _LiveCall] = {}

    async def call(
        self, _: incoming.Responder, request: messages.ServiceCall
    ) -> Final:
        """Passes a call on, unless its claim says that it has run."""
        if request.repeatable:
            return await self._execute(request)
        key = (request.workspace, request.request_key)
        live = self._live.get(key)
        digest = content_digest(request)
        if live is None:
            live = _LiveCall(digest)
            if len(self._live) >= MAX_LIVE_CALLS:
                return self._node.refused(_too_many())
            self._live[key] = live
            self._group.start_soon(self._run_claimed, request, live)
        elif live.digest != digest:
            return self._node.refused(_key_in_use())
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
                live.final = self._node.refused(_cancelled())
            del self._live[(request.workspace, request.request_key)]
            live.done.set()

    async def _execute(self, request: messages.ServiceCall) -> Final:
        owner = self._node
        try:
            declared, work = self._plan(request)
        except verdict.RefusedError as error:
            return owner.refused(error.refusal)
        owner.begin()
        outcome = "completed"
        try:
            async with owner.admission.enter(work):
                return await self._call(request, declared, work.deadline_s)
        except verdict.RefusedError as error:
            outcome = error.refusal.verdict.value
            return owner.refused(error.refusal)
        except exceptions.TargetError as error:
            outcome = error.verdict.value
            return owner.refused(_lost(error))
        finally:
            metrics.RUNS.labels(owner.target, "service", outcome).inc()
            owner.end()

    def _plan(
        self, request: messages.ServiceCall
    ) -> tuple[model.Service, admission.Work]:
        owner = self._node
        owner.check_takes_work()
        owner.check_serves(request.service)
        declared = owner.fleet.services[request.service]
        workspace = owner.check_workspace(
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
    ) -> Final:
        held: claims.HeldClaim | None = None
        if not request.repeatable:
            key = claims.Key(
                request.workspace,
                request.request_key,
                content_digest(request),
                request.epoch,
            )
            result = await self._claimer.claim(key)
            if isinstance(result, claims.StoredAnswer):
                return _replay(result.answer)
            held = result
            await self._claimer.confirm(held)
        left_s = deadline_s - anyio.current_time()
        if left_s <= 0:
            if held is not None:
                self._claimer.release(held)
            raise _deadline_exceeded()
        timeout_s = min(left_s, declared.timeout_s)
        return await self._send(request, held, timeout_s)

    async def _send(
        self,
        request: messages.ServiceCall,
        held: claims.HeldClaim | None,
        timeout_s: float,
    ) -> Final:
        try:
            reply = await service.call_service(self._target, request, timeout_s)
        except exceptions.TargetError as error:
            if held is not None and error.sent:
                await self._claimer.finish(held, claims.OUTCOME_LOST, b"")
            elif held is not None:
                self._claimer.release(held)
            raise
        if held is not None:
            answer = codec.encode(reply)
            await self._claimer.finish(held, claims.OUTCOME_DONE, answer)
        return reply


def _replay(answer: bytes) -> messages.ServiceReply:
    reply = codec.decode(codec.number_of(messages.ServiceReply), answer)
    if not isinstance(reply, messages.ServiceReply):
        raise TypeError("stored answer is no service reply")
    return reply


def _lost(error: exceptions.TargetError) -> verdict.Refusal:
    logger.info("service failed a call: %s", error)
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


def _too_many() -> verdict.Refusal:
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
