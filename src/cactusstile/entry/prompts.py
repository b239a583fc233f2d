"""Rendering of chat messages into one prompt text.

The rendering of a conversation is a prefix of the rendering of the same
conversation with the answer and further messages appended, so that the stored
KV cache blocks of earlier turns match the next prompt.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    import collections.abc

ROLES = ("system", "developer", "user", "assistant", "tool")
_MARKER_START = "<|"
_ESCAPED_MARKER_START = "<\\|"


@attrs.frozen
class ChatMessage:
    """One message of a conversation."""

    role: str
    content: str


def render_chat(messages: collections.abc.Sequence[ChatMessage]) -> str:
    """Returns the prompt that asks for the assistant's next message.

    >>> render_chat([ChatMessage("user", "Hi")])
    '<|user|>Hi<|end|><|assistant|>'
    """
    return _render(messages) + "<|assistant|>"


def render_anchor(messages: collections.abc.Sequence[ChatMessage]) -> str:
    """Returns the leading text that identifies a conversation.

    It ends with the first user message.

    >>> render_anchor([ChatMessage("user", "Hi"), ChatMessage("user", "So?")])
    '<|user|>Hi<|end|>'
    """
    leading = []
    for message in messages:
        leading.append(message)
        if message.role == "user":
            break
    return _render(leading)


def _render(messages: collections.abc.Sequence[ChatMessage]) -> str:
    parts = []
    for message in messages:
        content = message.content.replace(_MARKER_START, _ESCAPED_MARKER_START)
        parts.append(f"<|{message.role}|>{content}<|end|>")
    return "".join(parts)
