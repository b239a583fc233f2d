"""Checksummed, chained records of a log segment.

A record carries the checksum of the preceding record, so a missing or repeated
record breaks the chain. It also carries the number of segment bytes that were
synced when it was written: damage before that point cannot come from a crash.
"""

from __future__ import annotations

import struct
import zlib

import attrs

MAGIC = b"\xc5\x1eLg"
SEGMENT_HEADER_KIND = 255
_CHECKSUMMED_FIELDS = struct.Struct("<IBQQQI")
_RECORD_PREFIX = struct.Struct("<4sI")
HEADER_BYTES = _RECORD_PREFIX.size + _CHECKSUMMED_FIELDS.size


@attrs.frozen
class Record:
    """One record of a segment.

    Attributes:
      kind: Kind of the entry, or `SEGMENT_HEADER_KIND` for the first record of
        a segment.
      index: Log index of the entry; in a segment header that of the entry
        before the segment.
      term: Term of the entry at `index`.
      data: Data of the entry; empty in a segment header.
      synced_bytes: Bytes of the segment that were synced when the record was
        written.
      previous_checksum: Checksum of the preceding record.
      checksum: Checksum of this record.
      end: Byte position after this record in the segment.
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
    checked = _CHECKSUMMED_FIELDS.pack(
        len(data), kind, index, term, synced_bytes, previous_checksum
    )
    checksum = zlib.crc32(data, zlib.crc32(checked))
    return _RECORD_PREFIX.pack(MAGIC, checksum) + checked + data, checksum


def read(segment: bytes, offset: int) -> Record | None:
    """Returns the record at `offset`; None if it is damaged or truncated."""
    start = offset + _RECORD_PREFIX.size
    if offset + HEADER_BYTES > len(segment):
        return None
    magic, checksum = _RECORD_PREFIX.unpack_from(segment, offset)
    if magic != MAGIC:
        return None
    size, kind, index, term, synced_bytes, previous = (
        _CHECKSUMMED_FIELDS.unpack_from(segment, start)
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
    """Returns whether a later record shows that `offset` was synced."""
    position = segment.find(MAGIC, offset + 1)
    while position >= 0:
        record = read(segment, position)
        if record is not None and record.synced_bytes > offset:
            return True
        position = segment.find(MAGIC, position + 1)
    return False
