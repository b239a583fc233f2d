"""Reading of requests in the OpenAI-compatible form."""

from __future__ import annotations

import typing

import attrs

from cactusstile import verdict
from cactusstile.entry import prompts

if typing.TYPE_CHECKING:
    import collections.abc

DEFAULT_MAX_TOKENS = 256
MAX_MAX_TOKENS = 32_768
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
    """A checked request for a completion.

    Attributes:
      model: Model as the caller named it.
      prompt: Prompt as text, or as tokens.
      anchor: Leading text that each return of the prompt repeats; empty when
        the request does not tell.
      max_tokens: Bound on the output.
      stream: Whether the answer is to be streamed.
      include_usage: Whether a stream ends with usage figures.
    """

    model: str
    prompt: str | tuple[int, ...]
    anchor: str
    max_tokens: int
    stream: bool
    include_usage: bool


def parse_chat(payload: dict[str, typing.Any]) -> CompletionRequest:
    """Returns a checked chat-completions request.

    Raises:
      RefusedError: Naming the field and what to write instead.
    """
    listed = payload.get("messages")
    if not isinstance(listed, list) or not 0 < len(listed) <= MAX_MESSAGES:
        raise _bad(f"messages must be a list of 1 to {MAX_MESSAGES} messages")
    messages = [
        _parse_message(entry, position) for position, entry in enumerate(listed)
    ]
    anchor = prompts.render_anchor(messages)
    return _build(payload, prompts.render_chat(messages), anchor)


def parse_completion(payload: dict[str, typing.Any]) -> CompletionRequest:
    """Returns a checked completions request.

    Raises:
      RefusedError: Naming the field and what to write instead.
    """
    prompt = payload.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        single = prompt[0]
        prompt = single if isinstance(single, str | list) else prompt
    if isinstance(prompt, str) and prompt:
        return _build(payload, prompt)
    if isinstance(prompt, list) and prompt and _are_tokens(prompt):
        return _build(payload, tuple(prompt))
    raise _bad(
        "prompt must be one text or one list of token numbers, not empty"
    )


def _are_tokens(listed: list[typing.Any]) -> bool:
    return all(
        type(entry) is int and 0 <= entry <= _MAX_TOKEN for entry in listed
    )


def _build(
    payload: dict[str, typing.Any],
    prompt: str | tuple[int, ...],
    anchor: str = "",
) -> CompletionRequest:
    model = payload.get("model")
    if not isinstance(model, str) or not 0 < len(model) <= MAX_MODEL_CHARACTERS:
        raise _bad(
            "model must be a name like 'deployment' or 'deployment:adapter'"
        )
    for name in _UNSUPPORTED:
        if payload.get(name):
            raise _bad(f"{name} is not supported; leave it out")
    if payload.get("n") not in (None, 1):
        raise _bad("n must be 1; send one request for each answer")
    _check_response_format(payload.get("response_format"))
    options = payload.get("stream_options") or {}
    if not isinstance(options, dict):
        raise _bad("stream_options must be an object")
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
        if type(value) is int and 0 < value <= MAX_MAX_TOKENS:
            return value
        raise _bad(f"{name} must be a whole number from 1 to {MAX_MAX_TOKENS}")
    return DEFAULT_MAX_TOKENS


def _read_flag(
    payload: collections.abc.Mapping[str, typing.Any], name: str
) -> bool:
    value = payload.get(name)
    if value is None:
        return False
    if isinstance(value, bool):
        return value
    raise _bad(f"{name} must be true or false")


def _check_response_format(value: object) -> None:
    if value is None or (
        isinstance(value, dict) and value.get("type") == "text"
    ):
        return
    raise _bad("response_format must be of type 'text'")


def _parse_message(entry: object, position: int) -> prompts.ChatMessage:
    place = f"messages[{position}]"
    if not isinstance(entry, dict):
        raise _bad(f"{place} must be an object with role and content")
    role = entry.get("role")
    if role not in prompts.ROLES:
        raise _bad(f"{place}.role must be one of {', '.join(prompts.ROLES)}")
    content = entry.get("content")
    if isinstance(content, list):
        content = _join_parts(content, place)
    if not isinstance(content, str):
        raise _bad(f"{place}.content must be a text or a list of text parts")
    return prompts.ChatMessage(role, content)


def _join_parts(parts: list[typing.Any], place: str) -> str:
    texts = []
    for part in parts:
        text = part.get("text") if isinstance(part, dict) else None
        if not isinstance(text, str) or part.get("type") != "text":
            raise _bad(f"{place}.content may hold only parts of type 'text'")
        texts.append(text)
    return "".join(texts)


def _bad(message: str) -> verdict.RefusedError:
    return verdict.refuse(verdict.Reason.BAD_REQUEST, message)
