"""Differences between two fleets; their size follows the change."""

from __future__ import annotations

import json
import typing
import zlib

import attrs

from cactusstile.state import encoding
from cactusstile.state import model

if typing.TYPE_CHECKING:
    import collections.abc

MAX_BODY_BYTES = 3 * 1024 * 1024
MAX_UNPACKED_BYTES = 64 * 1024 * 1024
_LEVEL = 1


@attrs.frozen
class Delta:
    """Entries to put and keys to remove.

    Attributes:
      changed: New values by key.
      removed: Keys that are no longer there.
    """

    changed: dict[str, bytes] = attrs.field(factory=dict)
    removed: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Returns whether there is any change."""
        return bool(self.changed or self.removed)


def between(old: model.Fleet, new: model.Fleet) -> Delta:
    """Returns what turns the content of `old` into that of `new`."""
    changed = {}
    removed = []
    if old.name != new.name:
        changed["fleet"] = json.dumps(new.name).encode()
    new_parts = encoding.parts_of(new)
    for kind, before in encoding.parts_of(old).items():
        after = new_parts[kind]
        for name, part in after.items():
            if before.get(name) != part:
                key = encoding.key_of(kind, name)
                changed[key] = encoding.encode_part(part)
        for name in before:
            if name not in after:
                removed.append(encoding.key_of(kind, name))
    return Delta(changed, tuple(sorted(removed)))


def apply_delta(
    fleet: model.Fleet, digest: int, change: Delta, revision: int
) -> tuple[model.Fleet, int]:
    """Returns the changed fleet and its content digest.

    Args:
      fleet: Fleet that the change is made to.
      digest: Content digest of `fleet`.
      change: What to change.
      revision: The operators' number of the result.

    Raises:
      ValueError: If an entry is malformed.
    """
    editor = encoding.Editor(fleet, digest)
    for key in change.removed:
        editor.remove(key)
    for key, value in change.changed.items():
        editor.put(key, value)
    return editor.finish(revision), editor.digest


def pack(change: Delta) -> bytes:
    """Returns the bytes of a change, compressed.

    >>> change = Delta({"fleet": b'"lagos"'}, ("target/one",))
    >>> unpack(pack(change)) == change
    True
    """
    changed = {
        key: value.decode() for key, value in sorted(change.changed.items())
    }
    text = json.dumps([changed, change.removed], separators=(",", ":"))
    return zlib.compress(text.encode(), _LEVEL)


def unpack(body: bytes) -> Delta:
    """Returns the change that `pack` wrote.

    Raises:
      ValueError: If the bytes are malformed or too many.
    """
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"a change has at most {MAX_BODY_BYTES} bytes")
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(body, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f"malformed change: {error}") from error
    if not inflater.eof:
        raise ValueError("a change is cut short or unpacks to too much")
    content = json.loads(text)
    match content:
        case [dict() as changed, list() as removed]:
            return Delta(_encode_values(changed), tuple(map(str, removed)))
    raise ValueError("malformed change: not a pair of map and list")


def _encode_values(
    changed: collections.abc.Mapping[str, object],
) -> dict[str, bytes]:
    return {key: str(value).encode() for key, value in changed.items()}
