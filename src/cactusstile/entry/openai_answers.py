"""OpenAI-compatible responses: complete answers and streamed chunks.

The JSON around the text of a chunk is the same for all chunks of a stream, so
it is built once for each stream.
"""

from __future__ import annotations

import json
import typing

import attrs

from cactusstile.agent import messages

_encode_text = json.encoder.encode_basestring_ascii
DONE_EVENT = b"data: [DONE]\n\n"


@attrs.frozen
class CompletionKind:
    """Fields that differ between chat completions and text completions.

    Attributes:
      id_prefix: Prefix of the answer's ID.
      response_object: Value of "object" in a complete answer.
      chunk_object: Value of "object" in a streamed chunk.
      chunk_text_frame: JSON before and after the text in the choice of a
        streamed chunk.
      first_chunk_choice: JSON members of the choice in the first chunk, which
        precedes the text; empty if there is no such chunk.
      last_chunk_choice: JSON members of the choice in the chunk that carries
        the finish reason.
    """

    id_prefix: str
    response_object: str
    chunk_object: str
    chunk_text_frame: tuple[str, str]
    first_chunk_choice: str
    last_chunk_choice: str

    def response_choice(self, text: str) -> dict[str, typing.Any]:
        """Returns the members of the choice in a complete answer."""
        if self is CHAT:
            return {
                "message": {
                    "role": "assistant",
                    "content": text,
                    "refusal": None,
                }
            }
        return {"text": text}


CHAT = CompletionKind(
    "chatcmpl-",
    "chat.completion",
    "chat.completion.chunk",
    ('"delta":{"content":', "}"),
    '"delta":{"role":"assistant","content":""}',
    '"delta":{}',
)
TEXT = CompletionKind(
    "cmpl-",
    "text_completion",
    "text_completion",
    ('"text":', ""),
    "",
    '"text":""',
)


def usage(end: messages.RunEnd) -> dict[str, typing.Any]:
    """Returns the "usage" object of a run."""
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
    """Builds the JSON of one answer, complete or in chunks.

    Attributes:
      kind: Kind of completion.
      answer_id: ID of the answer.
      created: Time of creation in seconds since the Unix epoch.
      model: Name of the model as given by the caller.
    """

    kind: CompletionKind
    answer_id: str
    created: int
    model: str

    def whole(self, text: str, end: messages.RunEnd) -> bytes:
        """Returns the complete answer as JSON."""
        choice = {
            "index": 0,
            **self.kind.response_choice(text),
            "logprobs": None,
            "finish_reason": end.finish_reason,
        }
        body = {
            "id": self.answer_id,
            "object": self.kind.response_object,
            "created": self.created,
            "model": self.model,
            "system_fingerprint": end.version,
            "choices": [choice],
            "usage": usage(end),
        }
        return json.dumps(body).encode()

    def event_frame(self) -> tuple[str, str]:
        """Returns the parts of a text event before and after its text."""
        before, after = self.kind.chunk_text_frame
        head = self._head() + '"choices":[{"index":0,' + before
        return head, after + ',"logprobs":null,"finish_reason":null}]}\n\n'

    def first_event(self) -> bytes:
        """Returns the first event of a stream; empty if there is none."""
        if not self.kind.first_chunk_choice:
            return b""
        return self._event(self.kind.first_chunk_choice, "null")

    def last_event(self, end: messages.RunEnd) -> bytes:
        """Returns the event that carries the finish reason."""
        return self._event(
            self.kind.last_chunk_choice, json.dumps(end.finish_reason)
        )

    def usage_event(self, end: messages.RunEnd) -> bytes:
        """Returns the event that carries the "usage" object."""
        usage_json = json.dumps(usage(end))
        text = f'{self._head()}"choices":[],"usage":{usage_json}}}\n\n'
        return text.encode()

    def _event(self, choice: str, finish_reason: str) -> bytes:
        text = (
            f'{self._head()}"choices":[{{"index":0,{choice},"logprobs":null,'
            f'"finish_reason":{finish_reason}}}]}}\n\n'
        )
        return text.encode()

    def _head(self) -> str:
        return (
            f'data: {{"id":{json.dumps(self.answer_id)},'
            f'"object":"{self.kind.chunk_object}","created":{self.created},'
            f'"model":{json.dumps(self.model)},'
        )


def build_event(frame: tuple[str, str], text: str) -> bytes:
    """Returns a text event from a frame of `Answer.event_frame`."""
    return (frame[0] + _encode_text(text) + frame[1]).encode("ascii")
