"""One attempt of a request at one agent, with resumption of its stream."""

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
class Exposure:
    """Whether an attempt of a request may have started work."""

    may_have_run: bool = False


async def run_at(
    peers: pool.Pool,
    placed: routes.Placement,
    call: calls.PromptCall,
    progress: streams.Progress,
    sink: streams.Sink,
    *,
    attempt: int,
    revision: int,
    pacer: pacing.Pacer,
) -> messages.RunEnd:
    """Runs a prompt at one target, resuming its stream where it breaks.

    Raises:
      RefusedError: If the run does not complete there.
    """
    opened = await _connect(peers, placed.target)
    message = _build_run(placed, call, progress, attempt, revision)
    progress.version = placed.version
    exposed_before = progress.may_have_run
    progress.may_have_run = True
    try:
        return await _follow(
            peers,
            placed,
            opened,
            message=message,
            progress=progress,
            sink=sink,
            pacer=pacer,
        )
    except verdict.RefusedError as error:
        if error.refusal.verdict is verdict.Verdict.NOT_RUN:
            progress.may_have_run = exposed_before
        raise


async def call_at(
    peers: pool.Pool,
    target: model.Target,
    request: calls.ServiceRequest,
    state: Exposure,
    *,
    attempt: int,
    revision: int,
) -> messages.ServiceReply:
    """Passes a request to one target of a plain service.

    Raises:
      RefusedError: If there is no answer.
    """
    opened = await _connect(peers, target)
    message = _build_service_call(request, attempt, revision)
    exposed_before = state.may_have_run
    state.may_have_run = True
    try:
        async with opened.open_stream(message) as stream:
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


async def _follow(
    peers: pool.Pool,
    placed: routes.Placement,
    opened: connection.Connection,
    *,
    message: messages.Run,
    progress: streams.Progress,
    sink: streams.Sink,
    pacer: pacing.Pacer,
) -> messages.RunEnd:
    """Reads the run's stream; attaches again after gaps and losses."""
    opener: object = message
    idle_resumes = 0
    async with contextlib.AsyncExitStack() as owner:
        while True:
            received = len(progress.tokens)
            try:
                stream = await _replace_stream(owner, opened, opener)
                return await streams.relay(stream, progress, sink, pacer)
            except verdict.RefusedError as error:
                if opener is message:
                    raise
                raise _distrust_not_run(error) from None
            except streams.GapError:
                lost = False
            except exceptions.TransportError as error:
                if opener is message:
                    _raise_unless_sent(error, placed.target)
                lost = True
            is_idle = len(progress.tokens) == received
            idle_resumes = idle_resumes + 1 if is_idle else 0
            if idle_resumes >= MAX_IDLE_RESUMES:
                raise _lost(placed.target, "its stream makes no progress")
            progress.resumes += 1
            if lost:
                patience_s = 0.0 if message.repeatable else ATTACH_TIMEOUT_S
                opened = await _reconnect(peers, placed.target, patience_s)
            opener = messages.Attach(
                message.request_key, message.workspace, len(progress.tokens)
            )


async def _replace_stream(
    owner: contextlib.AsyncExitStack,
    opened: connection.Connection,
    opener: object,
) -> connection.ClientStream:
    """Opens a stream, then closes the one before; see `messages.Attach`."""
    newer = contextlib.AsyncExitStack()
    stream = await newer.enter_async_context(opened.open_stream(opener))
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
    peers: pool.Pool, target: model.Target, patience_s: float
) -> connection.Connection:
    """Dials an agent that may still hold a run, at least once."""
    latest_s = anyio.current_time() + patience_s
    while True:
        try:
            return await peers.connect(target.agent)
        except (exceptions.TransportError, TimeoutError) as error:
            if anyio.current_time() >= latest_s:
                raise _lost(target, "it cannot be reached") from error
        await anyio.sleep(ATTACH_INTERVAL_S)


def _distrust_not_run(error: verdict.RefusedError) -> verdict.RefusedError:
    """Returns a refused attach as "may have run".

    An agent that lost its state does not know the run, which says nothing
    about whether it was started.
    """
    if error.refusal.verdict is not verdict.Verdict.NOT_RUN:
        return error
    careful = verdict.Verdict.MAY_HAVE_RUN
    return verdict.RefusedError(attrs.evolve(error.refusal, verdict=careful))


def _lost(target: model.Target, why: str) -> verdict.RefusedError:
    return verdict.refuse(
        verdict.Reason.TARGET_LOST,
        f"target {target.name} was lost during the run: {why}",
        verdict=verdict.Verdict.MAY_HAVE_RUN,
        retry_after_s=_RETRY_AFTER_S,
    )


def _raise_unless_sent(
    error: exceptions.TransportError, target: model.Target
) -> None:
    """Raises a refusal if a failed call cannot be attached to."""
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
    found = verdict.Verdict.MAY_HAVE_RUN if sent else verdict.Verdict.NOT_RUN
    return verdict.Refusal(
        found,
        verdict.Reason.TARGET_LOST,
        f"target {target.name} did not answer: {error}",
        _RETRY_AFTER_S,
    )


def _build_run(
    placed: routes.Placement,
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
        version=placed.version,
        adapter=call.adapter,
        tokens=call.tokens,
        generated=tuple(progress.tokens),
        max_tokens=call.max_tokens,
        priority=call.priority,
        time_left_ms=calls.time_left_ms(call.deadline_s),
        repeatable=call.repeatable,
        revision=revision,
        reservation=placed.reservation,
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
