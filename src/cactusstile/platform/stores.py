"""Requests to stores of KV cache, and decoding of their answers."""

from __future__ import annotations

import json

import attrs

from cactusstile import json_text
from cactusstile.http import messages
from cactusstile.platform import fields
from cactusstile.platform import headers
from cactusstile.sites import model

_HOST = (b"host", b"cactusstile")
_JSON = (b"content-type", b"application/json")
# Lengths of an entry of the list and of the events.
_LIST_FIELDS = 4
_EVENT_FIELDS = 6


@attrs.frozen
class Contents:
    """All parts that a store holds completely.

    Attributes:
      epoch: Changes when the store restarts.
      next_event: Number of the first event that `parts` does not cover.
      parts: The parts.
    """

    epoch: int
    next_event: int
    parts: tuple[model.KeptPart, ...]


@attrs.frozen
class Events:
    """Changes of a store's contents.

    Attributes:
      epoch: Changes when the store restarts.
      next_event: Number of the first event that `changes` does not cover.
      has_gap: Whether events before `changes` are missing.
      clock_ms: Time on the clock that all targets share, in ms.
      changes: State of each part after the change; 0 tokens mark a removed
        part.
    """

    epoch: int
    next_event: int
    has_gap: bool
    clock_ms: float
    changes: tuple[model.KeptPart, ...]


def list_request() -> messages.Request:
    """Returns the request for the list of all parts."""
    return messages.Request(b"GET", b"/-/kv-list", (_HOST,))


def events_request(since: int, wait_ms: int) -> messages.Request:
    """Returns the request for changes; the store waits until there are some.

    Args:
      since: Number of the first event to return.
      wait_ms: Longest time that the store waits for an event.
    """
    wait = (headers.EVENTS_WAIT_MS, b"%d" % wait_ms)
    target = b"/-/kv-events?since=%d" % since
    return messages.Request(b"GET", target, (_HOST, wait))


def free_request(
    parts: tuple[model.KeptPart, ...], epoch: int, until_ms: float
) -> messages.Request:
    """Returns the request to free parts.

    Args:
      parts: Parts to free.
      epoch: Epoch of the parts; the store refuses the request if it has
        restarted since.
      until_ms: Time after which the store refuses the request, in ms on the
        clock that all targets share.
    """
    body = {
        "parts": [[part.salt, part.id] for part in parts],
        "bootEpoch": epoch,
        "until_ms": until_ms,
    }
    return messages.Request(
        b"POST", b"/-/kv-free", (_HOST, _JSON), json.dumps(body).encode()
    )


def decode_contents(document: bytes) -> Contents:
    """Decodes the list of all parts.

    Raises:
      ValueError: The list is malformed.
    """
    root = fields.json_object(json_text.load_answer(document))
    parts = []
    for entry in _read_entries(root, "held", _LIST_FIELDS):
        salt, identity, tokens = entry[0], entry[1], entry[2]
        parts.append(_decode_part(salt, identity, tokens))
    return Contents(
        fields.integer(root, "bootEpoch"),
        fields.integer(root, "next"),
        tuple(parts),
    )


def decode_events(document: bytes) -> Events:
    """Decodes changes of a store's contents.

    Raises:
      ValueError: The events are malformed.
    """
    root = fields.json_object(json_text.load_answer(document))
    changes = []
    for entry in _read_entries(root, "events", _EVENT_FIELDS):
        # The token count is the stored length after the event.
        salt, identity, tokens = entry[2], entry[3], entry[4]
        changes.append(_decode_part(salt, identity, tokens))
    return Events(
        fields.integer(root, "bootEpoch"),
        fields.integer(root, "next"),
        fields.boolean(root, "lost"),
        fields.number(root, "clock_ms"),
        tuple(changes),
    )


def _read_entries(
    root: fields.JsonObject, name: str, length: int
) -> list[list[object]]:
    value = root.get(name)
    if not isinstance(value, list):
        raise ValueError(f"{name} is not a list")
    for entry in value:
        if not isinstance(entry, list) or len(entry) < length:
            raise ValueError(f"an entry of {name} has missing fields")
    return value


def _decode_part(
    salt: object, identity: object, tokens: object
) -> model.KeptPart:
    entry = {"salt": salt, "id": identity, "tokens": tokens}
    length = fields.number(entry, "tokens")
    if not 0 <= length <= fields.MAX_COUNT:
        raise ValueError("token count of a part is out of range")
    return model.KeptPart(
        fields.text(entry, "salt"), fields.text(entry, "id"), int(length)
    )
