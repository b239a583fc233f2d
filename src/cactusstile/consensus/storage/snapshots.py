"""Snapshots of the replicated state, one file per snapshot."""

from __future__ import annotations

import struct
import zlib

import attrs

from cactusstile.consensus import exceptions
from cactusstile.consensus.storage import files as file_access
from cactusstile.consensus.storage import segments

PREFIX = "snapshot-"
_HEADER = struct.Struct("<IQQI")


@attrs.frozen
class Snapshot:
    """Log position and file location of a snapshot.

    Attributes:
      index: Last log index that the snapshot covers.
      term: Term of the entry at `index`.
      configuration: Encoded members as of that index.
      name: Name of the file; empty for the initial state.
      offset: Byte position of the state in the file.
      size: Size of the state, in bytes.
    """

    index: int = 0
    term: int = 0
    configuration: bytes = b"[]"
    name: str = ""
    offset: int = 0
    size: int = 0


def save(
    files: file_access.Files,
    index: int,
    term: int,
    configuration: bytes,
    data: bytes,
) -> Snapshot:
    """Writes a snapshot durably."""
    name = f"{PREFIX}{index:016d}"
    header = _HEADER.pack(0, index, term, len(configuration))[4:]
    checksum = zlib.crc32(data, zlib.crc32(header + configuration))
    head = checksum.to_bytes(4, "little") + header + configuration
    file_access.replace_atomically(files, name, [head, data])
    return Snapshot(index, term, configuration, name, len(head), len(data))


def load(files: file_access.Files) -> tuple[Snapshot, bytes]:
    """Returns the latest snapshot with its data, and removes older ones.

    Raises:
      CorruptStorageError: The latest snapshot is damaged.
    """
    names = _names(files)
    if not names:
        return Snapshot(), b""
    name = names[-1]
    content = files.read(name)
    checksum = int.from_bytes(content[:4], "little")
    if len(content) < _HEADER.size or zlib.crc32(content[4:]) != checksum:
        raise exceptions.CorruptStorageError(
            f"{name} is damaged; {segments.REMEDY}"
        )
    _, index, term, size = _HEADER.unpack_from(content)
    offset = _HEADER.size + size
    configuration = content[_HEADER.size : offset]
    data = content[offset:]
    snapshot = Snapshot(index, term, configuration, name, offset, len(data))
    remove_older(files, snapshot)
    return snapshot, data


def remove_older(files: file_access.Files, snapshot: Snapshot) -> None:
    """Removes all snapshots before `snapshot`."""
    for name in _names(files):
        if name < snapshot.name:
            files.remove(name)


def _names(files: file_access.Files) -> list[str]:
    """Returns the names of all complete snapshots, oldest first."""
    names = []
    for name in sorted(files.names()):
        if name.endswith(file_access.TEMPORARY_SUFFIX):
            continue
        if name.startswith(PREFIX):
            names.append(name)
    return names
