"""Handlers of completion requests, streamed or not, and of /v1/models."""

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
from cactusstile.filters import final_refusals
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

_ANSWER_ID_BYTES = 12


@attrs.frozen
class Parts:
    """Dependencies of the completion handlers.

    Attributes:
      fleet: The configuration in force.
      dispatcher: Dispatches runs to agents.
      tokenize: Converts the text of a prompt to tokens.
      metrics: Metrics of the entry.
      read_revision: See `filters.final_refusals.confirm_refusals`.
    """

    fleet: holder.FleetHolder
    dispatcher: dispatch.Dispatcher
    tokenize: Tokenize
    metrics: entry_metrics.EntryMetrics
    read_revision: final_refusals.ReadRevision | None = None


def build_handler(
    parts: Parts, kind: openai_answers.CompletionKind, parse: Parse
) -> chain.Handler:
    """Returns the handler of one kind of completion."""

    async def handle(context: exchange.Exchange) -> None:
        request = parse(json_body.parse_object(context.body))
        call = _build_call(parts, context, request)
        context.body = b""
        answer = openai_answers.Answer(
            kind,
            kind.id_prefix + secrets.token_hex(_ANSWER_ID_BYTES),
            int(time.time()),
            request.model,
        )
        if request.stream:
            await sse.stream_run(
                parts.dispatcher,
                call,
                context,
                answer,
                include_usage=request.include_usage,
                observe_first=parts.metrics.observe_first_token,
            )
            return
        await _answer_complete(parts, call, context, answer)

    return handle


async def _answer_complete(
    parts: Parts,
    call: calls.PromptCall,
    context: exchange.Exchange,
    answer: openai_answers.Answer,
) -> None:
    texts: list[str] = []

    async def collect(text: str) -> None:
        if not texts:
            waited_s = anyio.current_time() - context.started_s
            parts.metrics.observe_first_token(waited_s)
        texts.append(text)

    end = await parts.dispatcher.run(call, collect)
    await context.answer(200, answer.whole("".join(texts), end))


def _build_call(
    parts: Parts,
    context: exchange.Exchange,
    request: openai_requests.CompletionRequest,
) -> calls.PromptCall:
    workspace = context.workspace.name
    model_name = models.resolve(parts.fleet.fleet, workspace, request.model)
    prompt = _tokenize(parts.tokenize, request.prompt)
    scope = tokens.Scope(
        workspace, model_name.deployment, "", model_name.adapter
    )
    anchor_tokens = len(parts.tokenize(request.anchor))
    return calls.PromptCall(
        request_key=context.request_key,
        workspace=workspace,
        deployment=model_name.deployment,
        adapter=model_name.adapter,
        tokens=prompt,
        prefix_key=prefix.prefix_key(scope, prompt, anchor_tokens),
        max_tokens=request.max_tokens,
        priority=context.priority,
        deadline_s=context.deadline_s,
        repeatable=context.repeatable is not False,
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
    """Returns the handler that lists the models available to the caller."""

    async def handle(context: exchange.Exchange) -> None:
        names = models.list_names(fleet.fleet, context.workspace.name)
        listed = [
            {"id": name, "object": "model", "created": 0, "owned_by": "fleet"}
            for name in names
        ]
        body = json.dumps({"object": "list", "data": listed})
        await context.answer(200, body.encode())

    return handle
