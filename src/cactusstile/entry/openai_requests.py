"""Parsing of OpenAI-compatible requests."""

from __future__ import annotations

import typing

import attrs

from cactusstile import verdict
from cactusstile.entry import prompts

if typing.TYPE_CHECKING:
    import collections.abc

DEFAULT_MAX_TOKENS = 256
MAX_OUTPUT_TOKENS = 32_768
MAX_PROMPT_TOKENS = 131_072
MAX_MESSAGES = 4096
MAX_MODEL_CHARACTERS = 300
_MAX_TOKEN = 0xFFFFFFFF
_UNSUPPORTED = (
    "audio",
    "best_of",
    "echo",
    "function_call",
    "functions",
    "logit_bias",
    "logprobs",
    "prediction",
    "stop",
    "suffix",
    "tool_choice",
    "tools",
    "top_logprobs",
)


@attrs.frozen
class CompletionRequest:
    """A validated completion request.

    Attributes:
      model: Name of the model as given by the caller.
      prompt: Prompt as text, or as tokens.
      anchor: Leading text that all prompts of the conversation share; empty
        if the request does not mark it.
      max_tokens: Maximum number of output tokens.
      stream: Whether to stream the answer.
      include_usage: Whether a stream ends with a "usage" object.
    """

    model: str
    prompt: str | tuple[int, ...]
    anchor: str
    max_tokens: int
    stream: bool
    include_usage: bool


def parse_chat(payload: dict[str, typing.Any]) -> CompletionRequest:
    """Returns a validated chat-completions request.

    Raises:
      RefusedError: If a field is invalid; the message names it and states the
        valid values.
    """
    raw_messages = payload.get("messages")
    if (
        not isinstance(raw_messages, list)
        or not 0 < len(raw_messages) <= MAX_MESSAGES
    ):
        raise _bad_request(
            f"messages must be a list of 1 to {MAX_MESSAGES} messages"
        )
    messages = [
        _parse_message(entry, position)
        for position, entry in enumerate(raw_messages)
    ]
    anchor = prompts.render_anchor(messages)
    return _build(payload, prompts.render_chat(messages), anchor)


def parse_completion(payload: dict[str, typing.Any]) -> CompletionRequest:
    """Returns a validated completions request.

    Raises:
      RefusedError: If a field is invalid; the message names it and states the
        valid values.
    """
    prompt = payload.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        single = prompt[0]
        prompt = single if isinstance(single, str | list) else prompt
    if isinstance(prompt, str) and prompt:
        return _build(payload, prompt)
    if isinstance(prompt, list) and prompt and _is_token_list(prompt):
        return _build(payload, tuple(prompt))
    raise _bad_request(
        "prompt must be one text or one list of token numbers, not empty"
    )


def _is_token_list(values: list[typing.Any]) -> bool:
    return all(
        type(entry) is int and 0 <= entry <= _MAX_TOKEN for entry in values
    )


def _build(
    payload: dict[str, typing.Any],
    prompt: str | tuple[int, ...],
    anchor: str = "",
) -> CompletionRequest:
    model = payload.get("model")
    if not isinstance(model, str) or not 0 < len(model) <= MAX_MODEL_CHARACTERS:
        raise _bad_request(
            "model must be a name like 'deployment' or 'deployment:adapter'"
        )
    for name in _UNSUPPORTED:
        if payload.get(name):
            raise _bad_request(f"{name} is not supported; leave it out")
    if payload.get("n") not in (None, 1):
        raise _bad_request("n must be 1; send one request for each answer")
    _check_response_format(payload.get("response_format"))
    options = payload.get("stream_options") or {}
    if not isinstance(options, dict):
        raise _bad_request("stream_options must be an object")
    return CompletionRequest(
        model,
        prompt,
        anchor,
        _read_max_tokens(payload),
        _read_flag(payload, "stream"),
        _read_flag(options, "include_usage"),
    )


def _read_max_tokens(payload: dict[str, typing.Any]) -> int:
    for name in ("max_completion_tokens", "max_tokens"):
        value = payload.get(name)
        if value is None:
            continue
        if type(value) is int and 0 < value <= MAX_OUTPUT_TOKENS:
            return value
        raise _bad_request(
            f"{name} must be a whole number from 1 to {MAX_OUTPUT_TOKENS}"
        )
    return DEFAULT_MAX_TOKENS


def _read_flag(
    payload: collections.abc.Mapping[str, typing.Any], name: str
) -> bool:
    value = payload.get(name)
    if value is None:
        return False
    if isinstance(value, bool):
        return value
    raise _bad_request(f"{name} must be true or false")


def _check_response_format(value: object) -> None:
    if value is None or (
        isinstance(value, dict) and value.get("type") == "text"
    ):
        return
    raise _bad_request("response_format must be of type 'text'")


def _parse_message(entry: object, position: int) -> prompts.ChatMessage:
    field_path = f"messages[{position}]"
    if not isinstance(entry, dict):
        raise _bad_request(
            f"{field_path} must be an object with role and content"
        )
    role = entry.get("role")
    if role not in prompts.ROLES:
        raise _bad_request(
            f"{field_path}.role must be one of {', '.join(prompts.ROLES)}"
        )
    content = entry.get("content")
    if isinstance(content, list):
        content = _join_parts(content, field_path)
    if not isinstance(content, str):
        raise _bad_request(
            f"{field_path}.content must be a text or a list of text parts"
        )
    return prompts.ChatMessage(role, content)


def _join_parts(parts: list[typing.Any], field_path: str) -> str:
    texts = []
    for part in parts:
        text = part.get("text") if isinstance(part, dict) else None
        if not isinstance(text, str) or part.get("type") != "text":
            raise _bad_request(
                f"{field_path}.content may hold only parts of type 'text'"
            )
        texts.append(text)
    return "".join(texts)


def _bad_request(message: str) -> verdict.RefusedError:
    return verdict.refuse(verdict.Reason.BAD_REQUEST, message)
