"""Handlers of the completion calls, whole and streamed."""

from __future__ import annotations

import json
import secrets
import time
import typing

import anyio
import attrs

from cactusstile import tokens
from cactusstile import verdict
from cactusstile.entry import calls
from cactusstile.entry import dispatch
from cactusstile.entry import models
from cactusstile.entry import openai_answers
from cactusstile.entry import openai_requests
from cactusstile.entry import sse
from cactusstile.filters import chain
from cactusstile.filters import exchange
from cactusstile.filters import json_body
from cactusstile.routing import prefix

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.observability import entry_metrics
    from cactusstile.state import holder

    Parse = collections.abc.Callable[
        [dict[str, typing.Any]], openai_requests.CompletionRequest
    ]
    Tokenize = collections.abc.Callable[[str], list[int]]

_IDENTITY_BYTES = 12


@attrs.frozen
class Parts:
    """What the completion handlers work with.

    Attributes:
      fleet: The configuration.
      dispatcher: Sends runs to agents.
      tokenize: Turns a prompt's text into tokens.
      metrics: Counters of the entry.
    """

    fleet: holder.FleetHolder
    dispatcher: dispatch.Dispatcher
    tokenize: Tokenize
    metrics: entry_metrics.EntryMetrics


def build_handler(
    parts: Parts, form: openai_answers.Form, parse: Parse
) -> chain.Handler:
    """Returns the handler of one kind of completion."""

    async def handle(passing: exchange.Exchange) -> None:
        request = parse(json_body.parse_object(passing.body))
        call = _build_call(parts, passing, request)
        passing.body = b""
        answer = openai_answers.Answer(
            form,
            form.id_prefix + secrets.token_hex(_IDENTITY_BYTES),
            int(time.time()),
            request.model,
        )
        if request.stream:
            await sse.stream_run(
                parts.dispatcher,
                call,
                passing,
                answer,
                include_usage=request.include_usage,
                observe_first=parts.metrics.observe_first_token,
            )
            return
        await _answer_whole(parts, call, passing, answer)

    return handle


async def _answer_whole(
    parts: Parts,
    call: calls.PromptCall,
    passing: exchange.Exchange,
    answer: openai_answers.Answer,
) -> None:
    texts: list[str] = []

    async def collect(text: str) -> None:
        if not texts:
            waited_s = anyio.current_time() - passing.started_s
            parts.metrics.observe_first_token(waited_s)
        texts.append(text)

    end = await parts.dispatcher.run(call, collect)
    await passing.answer(200, answer.whole("".join(texts), end))


def _build_call(
    parts: Parts,
    passing: exchange.Exchange,
    request: openai_requests.CompletionRequest,
) -> calls.PromptCall:
    workspace = passing.workspace.name
    named = models.resolve(parts.fleet.fleet, workspace, request.model)
    prompt = _tokenize(parts.tokenize, request.prompt)
    scope = tokens.Scope(workspace, named.deployment, "", named.adapter)
    anchor_tokens = len(parts.tokenize(request.anchor))
    return calls.PromptCall(
        request_key=passing.request_key,
        workspace=workspace,
        deployment=named.deployment,
        adapter=named.adapter,
        tokens=prompt,
        prefix_key=prefix.prefix_key(scope, prompt, anchor_tokens),
        max_tokens=request.max_tokens,
        priority=passing.priority,
        deadline_s=passing.deadline_s,
        repeatable=passing.repeatable is not False,
    )


def _tokenize(
    tokenize: Tokenize, prompt: str | tuple[int, ...]
) -> tuple[int, ...]:
    if isinstance(prompt, str):
        try:
            prompt = tuple(tokenize(prompt))
        except UnicodeEncodeError:
            raise verdict.refuse(
                verdict.Reason.BAD_REQUEST,
                "the prompt holds unpaired surrogates, which are no text",
            ) from None
    if len(prompt) > openai_requests.MAX_PROMPT_TOKENS:
        raise verdict.refuse(
            verdict.Reason.TOO_LARGE,
            f"the prompt has {len(prompt)} tokens, more than "
            f"{openai_requests.MAX_PROMPT_TOKENS}",
        )
    return prompt


def build_models_handler(fleet: holder.FleetHolder) -> chain.Handler:
    """Returns the handler that lists the caller's models."""

    async def handle(passing: exchange.Exchange) -> None:
        names = models.list_names(fleet.fleet, passing.workspace.name)
        listed = [
            {"id": name, "object": "model", "created": 0, "owned_by": "fleet"}
            for name in names
        ]
        body = json.dumps({"object": "list", "data": listed})
        await passing.answer(200, body.encode())

    return handle
