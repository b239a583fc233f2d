"""Streaming of a run to the caller as server-sent events."""

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
        await passing.write(data)

    try:
        end = await dispatcher.run(call, send)
    except verdict.RefusedError as error:
        if not passing.status:
            raise
        body = refusals.error_body(error.refusal)
        await passing.write(b"data: " + body + b"\n\n", more=False)
        return
    if not passing.status:
        await passing.start(200, HEADERS)
        await passing.write(answer.first_event())
    tail = answer.usage_event(end) if include_usage else b""
    tail = answer.last_event(end) + tail + openai_answers.DONE_EVENT
    await passing.write(tail, more=False)
