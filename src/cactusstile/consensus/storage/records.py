"""Checksummed, chained records of a log segment.

A record carries the checksum of the record before it, so a missing or
repeated record breaks the chain, and the count of segment bytes that were
synced when it was written: damage before that point cannot come from a crash.
"""

from __future__ import annotations

import struct
import zlib

import attrs

MAGIC = b"\xc5\x1eLg"
HEAD_KIND = 255
_CHECKED = struct.Struct("<IBQQQI")
_PREFIX = struct.Struct("<4sI")
HEADER_BYTES = _PREFIX.size + _CHECKED.size


@attrs.frozen
class Record:
    """One record of a segment.

    Attributes:
      kind: Kind of the entry, or `HEAD_KIND` at the head of a segment.
      index: Index of the entry; in a head that of the entry before.
      term: Term of that entry.
      data: Data of the entry.
      synced_bytes: Bytes of the segment that were synced before.
      previous_checksum: Checksum of the record before.
      checksum: Checksum of this record.
      end: Position after this record in the segment.
    """

    kind: int
    index: int
    term: int
    data: bytes
    synced_bytes: int
    previous_checksum: int
    checksum: int
    end: int


def encode(
    kind: int,
    index: int,
    term: int,
    data: bytes,
    *,
    synced_bytes: int,
    previous_checksum: int,
) -> tuple[bytes, int]:
    """Returns the bytes of a record and its checksum."""
    checked = _CHECKED.pack(
        len(data), kind, index, term, synced_bytes, previous_checksum
    )
    checksum = zlib.crc32(data, zlib.crc32(checked))
    return _PREFIX.pack(MAGIC, checksum) + checked + data, checksum


def read(segment: bytes, offset: int) -> Record | None:
    """Returns the record at `offset`; None if it is damaged or cut off."""
    start = offset + _PREFIX.size
    if offset + HEADER_BYTES > len(segment):
        return None
    magic, checksum = _PREFIX.unpack_from(segment, offset)
    if magic != MAGIC:
        return None
    size, kind, index, term, synced_bytes, previous = _CHECKED.unpack_from(
        segment, start
    )
    end = offset + HEADER_BYTES + size
    if end > len(segment):
        return None
    if zlib.crc32(memoryview(segment)[start:end]) != checksum:
        return None
    data = segment[offset + HEADER_BYTES : end]
    return Record(
        kind, index, term, data, synced_bytes, previous, checksum, end
    )


def was_synced(segment: bytes, offset: int) -> bool:
    """Tells whether a later record proves that `offset` had been synced."""
    position = segment.find(MAGIC, offset + 1)
    while position >= 0:
        record = read(segment, position)
        if record is not None and record.synced_bytes > offset:
            return True
        position = segment.find(MAGIC, position + 1)
    return False
