"""Streaming of completions to callers as server-sent events."""

from __future__ import annotations

import typing

import anyio

from cactusstile import verdict
from cactusstile.entry import openai_answers
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


async def stream_run(
    dispatcher: dispatch.Dispatcher,
    call: calls.PromptCall,
    context: exchange.Exchange,
    answer: openai_answers.Answer,
    *,
    include_usage: bool,
    observe_first: collections.abc.Callable[[float], None],
) -> None:
    """Runs a prompt and streams its text as events.

    Ends with `[DONE]` after a complete run, otherwise with an error event.

    Raises:
      RefusedError: If the run was refused before its first token.
    """
    frame = answer.event_frame()

    async def send(text: str) -> None:
        data = openai_answers.build_event(frame, text)
        if not context.status:
            observe_first(anyio.current_time() - context.started_s)
            await context.start(200, HEADERS)
            data = answer.first_event() + data
        await context.write(data)

    try:
        end = await dispatcher.run(call, send)
    except verdict.RefusedError as error:
        if not context.status:
            raise
        body = refusals.error_body(error.refusal)
        await context.write(b"data: " + body + b"\n\n", more=False)
        return
    if not context.status:
        await context.start(200, HEADERS)
        await context.write(answer.first_event())
    tail = answer.usage_event(end) if include_usage else b""
    tail = answer.last_event(end) + tail + openai_answers.DONE_EVENT
    await context.write(tail, more=False)
