"""Differences between two fleets; their size follows the change."""

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
_LEVEL = 1
_CHUNK_ENTRIES = 128


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


def diff(old: model.Fleet, new: model.Fleet) -> Delta:
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
    for _ in _edit_in_chunks(editor, change):
        continue
    return editor.finish(revision), editor.digest


async def apply_in_chunks(
    fleet: model.Fleet, digest: int, change: Delta, revision: int
) -> tuple[model.Fleet, int]:
    """Does what `apply_delta` does, and lets other tasks run meanwhile."""
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
    """Returns the one change that does what `changes` do in turn.

    It may also be made to a fleet that holds some of the first of them.

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


async def pack_fleet(fleet: model.Fleet) -> bytes:
    """Packs a fleet's whole content, and lets other tasks run meanwhile."""
    packer = zlib.compressobj(_LEVEL)
    pieces = [packer.compress(b"[{")]
    separator = ""
    for entries in _entries_in_chunks(fleet):
        text = json.dumps(entries, separators=(",", ":"))[1:-1]
        pieces.append(packer.compress((separator + text).encode()))
        separator = ","
        await anyio.lowlevel.checkpoint()
    pieces += (packer.compress(b"},[]]"), packer.flush())
    return b"".join(pieces)


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
