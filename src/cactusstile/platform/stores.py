"""Calls of the stores that keep KV cache for engines."""

from __future__ import annotations

import json

import attrs

from cactusstile.http import messages
from cactusstile.platform import fields
from cactusstile.platform import headers
from cactusstile.sites import model

_HOST = (b"host", b"cactusstile")
_JSON = (b"content-type", b"application/json")
# Positions in an entry of the list and of the events.
_LIST_FIELDS = 4
_EVENT_FIELDS = 6


@attrs.frozen
class Contents:
    """All parts that a store holds whole.

    Attributes:
      epoch: Changes when the store restarts.
      next_event: Number of the first event that is not covered.
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
      next_event: Number of the first event that is not covered.
      has_gap: Whether events before these are missing.
      clock_ms: Time on the clock that all targets share, in ms.
      changes: Parts as they are now; one without tokens is gone.
    """

    epoch: int
    next_event: int
    has_gap: bool
    clock_ms: float
    changes: tuple[model.KeptPart, ...]


def list_request() -> messages.Request:
    """Returns the request for all parts."""
    return messages.Request(b"GET", b"/-/kv-list", (_HOST,))


def events_request(since: int, wait_ms: int) -> messages.Request:
    """Returns the request for changes; it waits until there are some."""
    wait = (headers.EVENTS_WAIT_MS, b"%d" % wait_ms)
    target = b"/-/kv-events?since=%d" % since
    return messages.Request(b"GET", target, (_HOST, wait))


def free_request(
    parts: tuple[model.KeptPart, ...], epoch: int, until_ms: float
) -> messages.Request:
    """Returns the request that frees parts.

    Args:
      parts: What to free.
      epoch: Refused if the store has restarted since.
      until_ms: Refused when this time is past, on the targets' clock.
    """
    body = {
        "parts": [[one.salt, one.id] for one in parts],
        "bootEpoch": epoch,
        "until_ms": until_ms,
    }
    return messages.Request(
        b"POST", b"/-/kv-free", (_HOST, _JSON), json.dumps(body).encode()
    )


def decode_contents(document: bytes) -> Contents:
    """Returns a list of parts.

    Raises:
      ValueError: It cannot be read.
    """
    read = fields.table(json.loads(document))
    parts = []
    for entry in _entries(read, "held", _LIST_FIELDS):
        salt, identity, tokens = entry[0], entry[1], entry[2]
        parts.append(_part(salt, identity, tokens))
    return Contents(
        fields.whole(read, "bootEpoch"),
        fields.whole(read, "next"),
        tuple(parts),
    )


def decode_events(document: bytes) -> Events:
    """Returns changes.

    Raises:
      ValueError: They cannot be read.
    """
    read = fields.table(json.loads(document))
    changes = []
    for entry in _entries(read, "events", _EVENT_FIELDS):
        # The number of tokens is what is stored after the event.
        salt, identity, tokens = entry[2], entry[3], entry[4]
        changes.append(_part(salt, identity, tokens))
    return Events(
        fields.whole(read, "bootEpoch"),
        fields.whole(read, "next"),
        fields.flag(read, "lost"),
        fields.number(read, "clock_ms"),
        tuple(changes),
    )


def _entries(read: fields.Table, name: str, length: int) -> list[list[object]]:
    value = read.get(name)
    if not isinstance(value, list):
        raise ValueError(f"{name} is no list")
    for entry in value:
        if not isinstance(entry, list) or len(entry) < length:
            raise ValueError(f"an entry of {name} is cut short")
    return value


def _part(salt: object, identity: object, tokens: object) -> model.KeptPart:
    if not isinstance(salt, str) or not isinstance(identity, str):
        raise ValueError("a part has no name")
    if isinstance(tokens, bool) or not isinstance(tokens, int | float):
        raise ValueError("a part has no length")
    return model.KeptPart(salt, identity, int(tokens))
