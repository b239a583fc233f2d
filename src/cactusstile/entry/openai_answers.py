"""Answers in the OpenAI-compatible form, whole and as events.

The JSON around a stream's text does not change from event to event, so it is
built once for each stream.
"""

from __future__ import annotations

import json
import typing

import attrs

from cactusstile.agent import messages

_encode_text = json.encoder.encode_basestring_ascii
DONE_EVENT = b"data: [DONE]\n\n"


@attrs.frozen
class Form:
    """Differences between the two kinds of completion.

    Attributes:
      id_prefix: Start of the answer's identity.
      whole_object: Name of a whole answer.
      event_object: Name of a streamed part.
      event_text: JSON around the text in a choice of a streamed part.
      first_choice: JSON members of the choice in a stream's first event;
        empty when there is no such event.
      empty_choice: JSON members of the choice in a stream's last event.
    """

    id_prefix: str
    whole_object: str
    event_object: str
    event_text: tuple[str, str]
    first_choice: str
    empty_choice: str

    def whole_choice(self, text: str) -> dict[str, typing.Any]:
        """Returns the members of a whole answer's choice."""
        if self is CHAT:
            return {
                "message": {
                    "role": "assistant",
                    "content": text,
                    "refusal": None,
                }
            }
        return {"text": text}


CHAT = Form(
    "chatcmpl-",
    "chat.completion",
    "chat.completion.chunk",
    ('"delta":{"content":', "}"),
    '"delta":{"role":"assistant","content":""}',
    '"delta":{}',
)
TEXT = Form(
    "cmpl-",
    "text_completion",
    "text_completion",
    ('"text":', ""),
    "",
    '"text":""',
)


def usage(end: messages.RunEnd) -> dict[str, typing.Any]:
    """Returns the usage figures of a run."""
    cached = end.resident_tokens + end.imported_tokens
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.count,
        "total_tokens": end.prompt_tokens + end.count,
        "prompt_tokens_details": {
            "cached_tokens": cached,
            "resident_tokens": end.resident_tokens,
            "imported_tokens": end.imported_tokens,
        },
    }


@attrs.frozen
class Answer:
    """Builds the parts of one answer.

    Attributes:
      form: Kind of completion.
      identity: Identity of the answer.
      created: Time of creation in seconds since 1970.
      model: Model as the caller named it.
    """

    form: Form
    identity: str
    created: int
    model: str

    def whole(self, text: str, end: messages.RunEnd) -> bytes:
        """Returns the whole answer as JSON."""
        choice = {
            "index": 0,
            **self.form.whole_choice(text),
            "logprobs": None,
            "finish_reason": end.finish_reason,
        }
        body = {
            "id": self.identity,
            "object": self.form.whole_object,
            "created": self.created,
            "model": self.model,
            "system_fingerprint": end.version,
            "choices": [choice],
            "usage": usage(end),
        }
        return json.dumps(body).encode()

    def event_frame(self) -> tuple[str, str]:
        """Returns what stands before and after an event's JSON text."""
        before, after = self.form.event_text
        head = self._head() + '"choices":[{"index":0,' + before
        return head, after + ',"logprobs":null,"finish_reason":null}]}\n\n'

    def first_event(self) -> bytes:
        """Returns the event that opens a stream; may be empty."""
        if not self.form.first_choice:
            return b""
        return self._event(self.form.first_choice, "null")

    def last_event(self, end: messages.RunEnd) -> bytes:
        """Returns the event that carries the finish reason."""
        return self._event(
            self.form.empty_choice, json.dumps(end.finish_reason)
        )

    def usage_event(self, end: messages.RunEnd) -> bytes:
        """Returns the event that carries the usage figures."""
        figures = json.dumps(usage(end))
        text = f'{self._head()}"choices":[],"usage":{figures}}}\n\n'
        return text.encode()

    def _event(self, choice: str, finish_reason: str) -> bytes:
        text = (
            f'{self._head()}"choices":[{{"index":0,{choice},"logprobs":null,'
            f'"finish_reason":{finish_reason}}}]}}\n\n'
        )
        return text.encode()

    def _head(self) -> str:
        return (
            f'data: {{"id":{json.dumps(self.identity)},'
            f'"object":"{self.form.event_object}","created":{self.created},'
            f'"model":{json.dumps(self.model)},'
        )


def build_event(frame: tuple[str, str], text: str) -> bytes:
    """Returns an event with `text` inside a frame of `Answer.event_frame`."""
    return (frame[0] + _encode_text(text) + frame[1]).encode("ascii")
