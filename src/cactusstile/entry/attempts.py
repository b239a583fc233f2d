"""A single attempt of a request at one target, with stream resumption."""

from __future__ import annotations

import contextlib
import typing

import anyio
import attrs

from cactusstile import verdict
from cactusstile.agent import messages
from cactusstile.entry import calls
from cactusstile.entry import streams
from cactusstile.transport import exceptions

if typing.TYPE_CHECKING:
    from cactusstile.entry import pacing
    from cactusstile.entry import routes
    from cactusstile.state import model
    from cactusstile.transport import connection
    from cactusstile.transport import pool

ATTACH_TIMEOUT_S = 3.0
ATTACH_INTERVAL_S = 0.25
MAX_IDLE_RESUMES = 3
_RETRY_AFTER_S = 1.0
_NOT_STARTED_CODES = ("overloaded", "unsupported")


@attrs.define
class ExecutionState:
    """Execution state of a request over all its attempts.

    Attributes:
      may_have_run: Whether any attempt may have started work.
    """

    may_have_run: bool = False


async def run_on_target(
    peers: pool.Pool,
    placement: routes.Placement,
    call: calls.PromptCall,
    progress: streams.Progress,
    sink: streams.Sink,
    *,
    attempt: int,
    revision: int,
    pacer: pacing.Pacer,
) -> messages.RunEnd:
    """Runs a prompt on one target and resumes its stream after failures.

    Raises:
      RefusedError: If the run does not complete on this target.
    """
    conn = await _connect(peers, placement.target)
    message = _build_run(placement, call, progress, attempt, revision)
    progress.version = placement.version
    exposed_before = progress.may_have_run
    progress.may_have_run = True
    try:
        return await _relay_stream(
            peers,
            placement,
            conn,
            message=message,
            progress=progress,
            sink=sink,
            pacer=pacer,
        )
    except verdict.RefusedError as error:
        if error.refusal.verdict is verdict.Verdict.NOT_RUN:
            progress.may_have_run = exposed_before
        raise


async def call_on_target(
    peers: pool.Pool,
    target: model.Target,
    request: calls.ServiceRequest,
    state: ExecutionState,
    *,
    attempt: int,
    revision: int,
) -> messages.ServiceReply:
    """Forwards a request to one target of a plain service.

    Raises:
      RefusedError: If there is no answer.
    """
    conn = await _connect(peers, target)
    message = _build_service_call(request, attempt, revision)
    exposed_before = state.may_have_run
    state.may_have_run = True
    try:
        async with conn.open_stream(message) as stream:
            final = await stream.result()
    except exceptions.TransportError as error:
        refusal = _to_refusal(error, target)
        if refusal.verdict is verdict.Verdict.NOT_RUN:
            state.may_have_run = exposed_before
        raise verdict.RefusedError(refusal) from error
    if isinstance(final, messages.ServiceReply):
        return final
    if not isinstance(final, messages.Refused):
        raise streams.broken("the service's agent broke the protocol")
    refusal = messages.to_refusal(final)
    if refusal.verdict is verdict.Verdict.NOT_RUN:
        state.may_have_run = exposed_before
    raise verdict.RefusedError(refusal)


async def _relay_stream(
    peers: pool.Pool,
    placement: routes.Placement,
    conn: connection.Connection,
    *,
    message: messages.Run,
    progress: streams.Progress,
    sink: streams.Sink,
    pacer: pacing.Pacer,
) -> messages.RunEnd:
    """Relays the run's stream; reattaches after gaps and lost connections."""
    first_message: object = message
    idle_resumes = 0
    async with contextlib.AsyncExitStack() as owner:
        while True:
            received = len(progress.tokens)
            try:
                stream = await _replace_stream(owner, conn, first_message)
                return await streams.relay(stream, progress, sink, pacer)
            except verdict.RefusedError as error:
                if first_message is message:
                    raise
                raise _mark_may_have_run(error) from None
            except streams.GapError:
                lost = False
            except exceptions.TransportError as error:
                if first_message is message:
                    _raise_unless_sent(error, placement.target)
                lost = True
            is_idle = len(progress.tokens) == received
            idle_resumes = idle_resumes + 1 if is_idle else 0
            if idle_resumes >= MAX_IDLE_RESUMES:
                raise _lost(placement.target, "its stream makes no progress")
            progress.resumes += 1
            if lost:
                timeout_s = 0.0 if message.repeatable else ATTACH_TIMEOUT_S
                conn = await _reconnect(peers, placement.target, timeout_s)
            first_message = messages.Attach(
                message.request_key, message.workspace, len(progress.tokens)
            )


async def _replace_stream(
    owner: contextlib.AsyncExitStack,
    conn: connection.Connection,
    first_message: object,
) -> connection.ClientStream:
    """Opens a stream, then closes the previous one.

    In this order the agent does not cancel a run without an open call, see
    `messages.Attach`.
    """
    newer = contextlib.AsyncExitStack()
    stream = await newer.enter_async_context(conn.open_stream(first_message))
    await owner.aclose()
    owner.push_async_exit(newer)
    return stream


async def _connect(
    peers: pool.Pool, target: model.Target
) -> connection.Connection:
    try:
        return await peers.connect(target.agent)
    except (exceptions.TransportError, TimeoutError) as error:
        raise verdict.refuse(
            verdict.Reason.TARGET_LOST,
            f"target {target.name} cannot be reached",
            retry_after_s=_RETRY_AFTER_S,
        ) from error


async def _reconnect(
    peers: pool.Pool, target: model.Target, timeout_s: float
) -> connection.Connection:
    """Dials an agent that may still hold a run, at least once.

    Args:
      peers: Connections to the agents.
      target: Target of the agent.
      timeout_s: Time during which failed attempts are repeated. It is 0 for a
        repeatable run, which another target can continue.

    Raises:
      RefusedError: If the agent is unreachable until the timeout.
    """
    retry_until_s = anyio.current_time() + timeout_s
    while True:
        try:
            return await peers.connect(target.agent)
        except (exceptions.TransportError, TimeoutError) as error:
            if anyio.current_time() >= retry_until_s:
                raise _lost(target, "it cannot be reached") from error
        await anyio.sleep(ATTACH_INTERVAL_S)


def _mark_may_have_run(error: verdict.RefusedError) -> verdict.RefusedError:
    """Returns a refused attach with the verdict "may have run".

    An agent that restarted without its state has no record of the run and
    refuses the attach as "not run", although the run may have been started.
    """
    if error.refusal.verdict is not verdict.Verdict.NOT_RUN:
        return error
    new_verdict = verdict.Verdict.MAY_HAVE_RUN
    return verdict.RefusedError(
        attrs.evolve(error.refusal, verdict=new_verdict)
    )


def _lost(target: model.Target, why: str) -> verdict.RefusedError:
    """Returns the refusal of a run whose target was lost after its start."""
    return verdict.refuse(
        verdict.Reason.TARGET_LOST,
        f"target {target.name} was lost during the run: {why}",
        verdict=verdict.Verdict.MAY_HAVE_RUN,
        retry_after_s=_RETRY_AFTER_S,
    )


def _raise_unless_sent(
    error: exceptions.TransportError, target: model.Target
) -> None:
    """Raises a refusal unless the connection was lost after the call was sent.

    Only in that case may the agent hold a run that can be reattached to.
    """
    if isinstance(error, exceptions.ConnectionLostError) and error.sent:
        return
    raise verdict.RefusedError(_to_refusal(error, target)) from error


def _to_refusal(
    error: exceptions.TransportError, target: model.Target
) -> verdict.Refusal:
    sent = True
    if isinstance(error, exceptions.ConnectionLostError):
        sent = error.sent
    if isinstance(error, exceptions.RemoteError):
        sent = error.code not in _NOT_STARTED_CODES
    run_verdict = (
        verdict.Verdict.MAY_HAVE_RUN if sent else verdict.Verdict.NOT_RUN
    )
    return verdict.Refusal(
        run_verdict,
        verdict.Reason.TARGET_LOST,
        f"target {target.name} did not answer: {error}",
        _RETRY_AFTER_S,
    )


def _build_run(
    placement: routes.Placement,
    call: calls.PromptCall,
    progress: streams.Progress,
    attempt: int,
    revision: int,
) -> messages.Run:
    return messages.Run(
        request_key=call.request_key,
        attempt=attempt,
        workspace=call.workspace,
        deployment=call.deployment,
        version=placement.version,
        adapter=call.adapter,
        tokens=call.tokens,
        generated=tuple(progress.tokens),
        max_tokens=call.max_tokens,
        priority=call.priority,
        time_left_ms=calls.time_left_ms(call.deadline_s),
        repeatable=call.repeatable,
        revision=revision,
        reservation=placement.reservation,
        prefix_key=call.prefix_key,
        epoch=call.epoch,
    )


def _build_service_call(
    request: calls.ServiceRequest, attempt: int, revision: int
) -> messages.ServiceCall:
    return messages.ServiceCall(
        request_key=request.request_key,
        attempt=attempt,
        workspace=request.workspace,
        service=request.service,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        priority=request.priority,
        time_left_ms=calls.time_left_ms(request.deadline_s),
        repeatable=request.repeatable,
        revision=revision,
        epoch=request.epoch,
    )
