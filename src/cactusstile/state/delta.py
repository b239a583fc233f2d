"""Deltas between two fleets, with a size proportional to the change."""

from __future__ import annotations

import json
import typing
import zlib

import anyio.lowlevel
import attrs

from cactusstile.state import encoding
from cactusstile.state import model

if typing.TYPE_CHECKING:
    import collections.abc

MAX_BODY_BYTES = 3 * 1024 * 1024
MAX_UNPACKED_BYTES = 64 * 1024 * 1024
_COMPRESSION_LEVEL = 1
_CHUNK_ENTRIES = 128


@attrs.frozen
class Delta:
    """Entries to set and keys to remove.

    Attributes:
      changed: New values by key.
      removed: Keys of removed entries.
    """

    changed: dict[str, bytes] = attrs.field(factory=dict)
    removed: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Returns whether the delta contains any change."""
        return bool(self.changed or self.removed)


def diff(old: model.Fleet, new: model.Fleet) -> Delta:
    """Returns the delta that changes the content of `old` to that of `new`."""
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
      fleet: Fleet to apply the delta to; not modified.
      digest: Content digest of `fleet`.
      change: Delta to apply.
      revision: Revision of the result, which the operators assign.

    Raises:
      ValueError: If an entry is malformed.
    """
    editor = encoding.Editor(fleet, digest)
    for _ in _edit_in_chunks(editor, change):
        continue
    return editor.finish(revision), editor.digest


async def apply_in_chunks(
    fleet: model.Fleet, digest: int, change: Delta, revision: int
) -> tuple[model.Fleet, int]:
    """Like `apply_delta`, but yields to other tasks between chunks."""
    editor = encoding.Editor(fleet, digest)
    for _ in _edit_in_chunks(editor, change):
        await anyio.lowlevel.checkpoint()
    return editor.finish(revision), editor.digest


def _edit_in_chunks(
    editor: encoding.Editor, change: Delta
) -> collections.abc.Iterator[None]:
    for count, key in enumerate(change.removed, 1):
        editor.remove(key)
        if count % _CHUNK_ENTRIES == 0:
            yield
    for count, (key, value) in enumerate(change.changed.items(), 1):
        editor.put(key, value)
        if count % _CHUNK_ENTRIES == 0:
            yield


def compose(changes: collections.abc.Iterable[Delta]) -> Delta:
    """Returns a single delta equivalent to `changes` applied in order.

    It may also be applied to a fleet that already contains the first few of
    the changes.

    >>> both = compose([Delta({"fleet": b"1"}), Delta({}, ("link/a/b",))])
    >>> both == Delta({"fleet": b"1"}, ("link/a/b",))
    True
    """
    changed: dict[str, bytes] = {}
    removed: set[str] = set()
    for change in changes:
        for key in change.removed:
            changed.pop(key, None)
        removed.update(change.removed)
        changed.update(change.changed)
        removed.difference_update(change.changed)
    return Delta(changed, tuple(sorted(removed)))


def pack(change: Delta) -> bytes:
    """Returns the compressed encoding of a delta.

    >>> change = Delta({"fleet": b'"lagos"'}, ("target/one",))
    >>> unpack(pack(change)) == change
    True
    """
    changed = {
        key: value.decode() for key, value in sorted(change.changed.items())
    }
    text = json.dumps([changed, change.removed], separators=(",", ":"))
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


async def pack_fleet(fleet: model.Fleet) -> bytes:
    """Packs the complete content of a fleet as a delta to an empty fleet.

    Yields to other tasks between chunks.
    """
    packer = zlib.compressobj(_COMPRESSION_LEVEL)
    chunks = [packer.compress(b"[{")]
    separator = ""
    for entries in _entries_in_chunks(fleet):
        text = json.dumps(entries, separators=(",", ":"))[1:-1]
        chunks.append(packer.compress((separator + text).encode()))
        separator = ","
        await anyio.lowlevel.checkpoint()
    chunks += (packer.compress(b"},[]]"), packer.flush())
    return b"".join(chunks)


def _entries_in_chunks(
    fleet: model.Fleet,
) -> collections.abc.Iterator[dict[str, str]]:
    entries = {}
    for key, value in encoding.entries_of(fleet):
        entries[key] = value.decode()
        if len(entries) == _CHUNK_ENTRIES:
            yield entries
            entries = {}
    if entries:
        yield entries


def unpack(body: bytes) -> Delta:
    """Returns the delta that `pack` or `pack_fleet` encoded.

    Raises:
      ValueError: If the bytes are malformed, or too many before or after
        decompression.
    """
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"packed change is larger than {MAX_BODY_BYTES} bytes")
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(body, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f"malformed change: {error}") from error
    if not inflater.eof:
        raise ValueError(
            "packed change is truncated or unpacks to too much data"
        )
    content = json.loads(text)
    match content:
        case [dict() as changed, list() as removed]:
            return Delta(_encode_values(changed), tuple(map(str, removed)))
    raise ValueError("malformed change: expected a pair of object and array")


def _encode_values(
    changed: collections.abc.Mapping[str, object],
) -> dict[str, bytes]:
    return {key: str(value).encode() for key, value in changed.items()}
