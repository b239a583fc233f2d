"""Streaming of a run to the caller as server-sent events."""

from __future__ import annotations

import typing

import anyio

from cactusstile import verdict
from cactusstile.entry import openai_answers
from cactusstile.filters import exceptions
from cactusstile.filters import refusals

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.entry import calls
    from cactusstile.entry import dispatch
    from cactusstile.filters import exchange

HEADERS = (
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-cache"),
    (b"x-accel-buffering", b"no"),
)
STALLED_CALLER_LIMIT_S = 30.0


async def stream_run(
    dispatcher: dispatch.Dispatcher,
    call: calls.PromptCall,
    passing: exchange.Exchange,
    answer: openai_answers.Answer,
    *,
    include_usage: bool,
    observe_first: collections.abc.Callable[[float], None],
) -> None:
    """Runs a prompt and sends its text as events.

    Only a complete run ends with `[DONE]`, any other with an error event.

    Raises:
      RefusedError: If the run was refused before its first token.
    """
    frame = answer.event_frame()

    async def send(text: str) -> None:
        data = openai_answers.build_event(frame, text)
        if not passing.status:
            observe_first(anyio.current_time() - passing.started_s)
            await passing.start(200, HEADERS)
            data = answer.first_event() + data
        await _write(passing, data)

    try:
        end = await dispatcher.run(call, send)
    except verdict.RefusedError as error:
        if not passing.status:
            raise
        body = refusals.error_body(error.refusal)
        await _write(passing, b"data: " + body + b"\n\n", more=False)
        return
    if not passing.status:
        await passing.start(200, HEADERS)
        await _write(passing, answer.first_event())
    tail = answer.usage_event(end) if include_usage else b""
    tail = answer.last_event(end) + tail + openai_answers.DONE_EVENT
    await _write(passing, tail, more=False)


async def _write(
    passing: exchange.Exchange, data: bytes, *, more: bool = True
) -> None:
    """Writes to the caller.

    Raises:
      CallerLeftError: If the caller takes nothing for too long.
    """
    with anyio.move_on_after(STALLED_CALLER_LIMIT_S) as scope:
        await passing.write(data, more=more)
    if scope.cancelled_caught:
        raise exceptions.CallerLeftError
