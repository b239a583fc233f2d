"""Log entries in append-only segment files."""

from __future__ import annotations

import errno

import attrs

from cactusstile.consensus import exceptions
from cactusstile.consensus import messages
from cactusstile.consensus.storage import files as file_access
from cactusstile.consensus.storage import records

SEGMENT_BYTES = 8 << 20
PREFIX = "segment-"
REMEDY = (
    "this replica must not start from it: move the data folder away, start"
    " again with an empty one and repair the member"
)


@attrs.define
class Segment:
    """One segment file.

    Attributes:
      name: Name of the file.
      size: Size of the written data, in bytes.
      last_index: Highest log index among its entries and its base index.
    """

    name: str
    size: int
    last_index: int


@attrs.define
class SegmentLog:
    """The durable log.

    A record with the index of an earlier entry replaces that entry and all
    entries after it, so conflicting entries need not be rewritten in place.

    Attributes:
      files: Folder of the segments.
      segments: All segments, oldest first; writes go to the last one.
      base_index: Log index before the first entry.
      base_term: Term of the entry at `base_index`.
      file: The last segment, open for appending; None while closed.
      checksum: Checksum of the last record.
      synced_bytes: Number of synced bytes of the last segment.
    """

    files: file_access.Files
    segments: list[Segment] = attrs.field(factory=list)
    base_index: int = 0
    base_term: int = 0
    file: file_access.File | None = None
    checksum: int = 0
    synced_bytes: int = 0

    def append(self, entries: list[messages.Entry]) -> None:
        """Writes entries; durable only after `sync`."""
        segment = self.segments[-1]
        parts = []
        for entry in entries:
            data, self.checksum = records.encode(
                entry.kind,
                entry.index,
                entry.term,
                entry.data,
                synced_bytes=self.synced_bytes,
                previous_checksum=self.checksum,
            )
            parts.append(data)
            segment.last_index = max(segment.last_index, entry.index)
        encoded = b"".join(parts)
        segment.size += len(encoded)
        self._get_file().write(encoded)

    def check_present(self) -> None:
        """Raises `OSError` if the newest segment was removed."""
        name = self.segments[-1].name
        if name not in self.files.names():
            raise FileNotFoundError(errno.ENOENT, "the log was removed", name)

    def sync(self) -> None:
        """Makes all written entries durable."""
        segment = self.segments[-1]
        if segment.size == self.synced_bytes:
            return
        self._get_file().sync()
        self.synced_bytes = segment.size

    def roll(self, last: messages.Entry | None) -> None:
        """Starts a new segment after `last` if the current one is full."""
        if last is None or self.segments[-1].size < SEGMENT_BYTES:
            return
        self.start_segment(last.index, last.term)

    def start_segment(self, base_index: int, base_term: int) -> None:
        """Starts a segment whose first entry follows `base_index`, durably."""
        if self.file is not None:
            self.sync()
        self.close()
        number = self.number() + 1 if self.segments else 1
        name = f"{PREFIX}{number:012d}"
        header, self.checksum = records.encode(
            records.SEGMENT_HEADER_KIND,
            base_index,
            base_term,
            b"",
            synced_bytes=0,
            previous_checksum=self.checksum,
        )
        self.file = self.files.open_append(name)
        self.file.write(header)
        self.file.sync()
        self.files.sync_folder()
        self.synced_bytes = len(header)
        self.segments.append(Segment(name, len(header), base_index))

    def compact(self, index: int) -> None:
        """Removes the oldest segments that have no entries after `index`."""
        while len(self.segments) > 1 and self.segments[0].last_index <= index:
            self._remove_first()

    def reset(self, base_index: int, base_term: int) -> None:
        """Drops all entries; the log continues after a snapshot."""
        self.start_segment(base_index, base_term)
        while len(self.segments) > 1:
            self._remove_first()

    def _remove_first(self) -> None:
        """Removes the oldest segment durably, so that a crash leaves no gap."""
        self.files.remove(self.segments[0].name)
        self.files.sync_folder()
        del self.segments[0]

    def number(self) -> int:
        """Returns the number of the newest segment."""
        return segment_number(self.segments[-1].name)

    def close(self) -> None:
        """Closes the open segment."""
        if self.file is not None:
            self.file.close()
        self.file = None

    def _get_file(self) -> file_access.File:
        assert self.file is not None  # noqa: S101
        return self.file


def segment_number(name: str) -> int:
    """Returns the number of a segment."""
    return int(name.removeprefix(PREFIX))


def has_segments(files: file_access.Files) -> bool:
    """Returns whether the folder contains any segment."""
    return any(name.startswith(PREFIX) for name in files.names())


def recover(
    files: file_access.Files,
) -> tuple[SegmentLog, list[messages.Entry]]:
    """Reads all segments, truncates a torn tail and opens the last segment.

    The tail that no record shows to be synced becomes durable: the process may
    have ended before its sync, or the sync may have failed.

    Raises:
      CorruptStorageError: Synced entries are damaged or missing.
    """
    names = [name for name in files.names() if name.startswith(PREFIX)]
    log = SegmentLog(files)
    entries: list[messages.Entry] = []
    for position, name in enumerate(names):
        is_last = position == len(names) - 1
        if (
            position
            and segment_number(name) != segment_number(names[position - 1]) + 1
        ):
            raise exceptions.CorruptStorageError(
                f"a segment before {name} is missing; {REMEDY}"
            )
        _read_segment(log, name, entries, is_last=is_last)
    if log.segments:
        _make_tail_durable(log)
        log.file = files.open_append(log.segments[-1].name)
    else:
        log.start_segment(0, 0)
    return log, entries


def _make_tail_durable(log: SegmentLog) -> None:
    """Writes the tail again; a sync alone skips pages of a failed sync."""
    last = log.segments[-1]
    size = last.size - log.synced_bytes
    tail = log.files.read_at(last.name, log.synced_bytes, size)
    log.files.rewrite(last.name, log.synced_bytes, tail)
    log.synced_bytes = last.size


def _read_segment(
    log: SegmentLog, name: str, entries: list[messages.Entry], *, is_last: bool
) -> None:
    """Adds the entries of one segment; truncates a tail torn by a crash."""
    content = log.files.read(name)
    offset = 0
    segment = Segment(name, 0, 0)
    while offset < len(content):
        record = records.read(content, offset)
        if record is None:
            break
        _check_chain(log, record, name, offset, is_first=not log.segments)
        if record.kind == records.SEGMENT_HEADER_KIND:
            _read_segment_header(log, record, entries)
        else:
            _add_entry(log, record, entries, name)
        log.checksum = record.checksum
        log.synced_bytes = record.synced_bytes
        segment.last_index = max(segment.last_index, record.index)
        offset = record.end
    if offset < len(content) or not offset:
        _truncate_tail(log, name, content, offset, is_last=is_last)
    if not offset:
        return
    segment.size = offset
    log.segments.append(segment)


def _check_chain(
    log: SegmentLog,
    record: records.Record,
    name: str,
    offset: int,
    *,
    is_first: bool,
) -> None:
    """Checks that a record follows the preceding one.

    Raises:
      CorruptStorageError: A record is missing, repeated or misplaced.
    """
    is_header = record.kind == records.SEGMENT_HEADER_KIND
    if is_header is not (offset == 0):
        raise exceptions.CorruptStorageError(
            f"{name} has a misplaced record at byte {offset}; {REMEDY}"
        )
    if is_header and is_first:
        return
    if record.previous_checksum != log.checksum:
        raise exceptions.CorruptStorageError(
            f"{name} lacks a record before byte {offset}; {REMEDY}"
        )


def _read_segment_header(
    log: SegmentLog, record: records.Record, entries: list[messages.Entry]
) -> None:
    """Sets the log's base if a segment does not continue the last one."""
    if not log.segments:
        log.base_index = record.index
        log.base_term = record.term
        return
    last_index = entries[-1].index if entries else log.base_index
    last_term = entries[-1].term if entries else log.base_term
    if (record.index, record.term) == (last_index, last_term):
        return
    # A snapshot was installed, and the process crashed before it removed the
    # old segments.
    entries.clear()
    log.base_index = record.index
    log.base_term = record.term


def _add_entry(
    log: SegmentLog,
    record: records.Record,
    entries: list[messages.Entry],
    name: str,
) -> None:
    """Adds an entry, replacing existing ones from its index on."""
    position = record.index - log.base_index - 1
    if not 0 <= position <= len(entries):
        raise exceptions.CorruptStorageError(
            f"{name} lacks entries before {record.index}; {REMEDY}"
        )
    del entries[position:]
    entries.append(
        messages.Entry(record.index, record.term, record.kind, record.data)
    )


def _truncate_tail(
    log: SegmentLog, name: str, content: bytes, offset: int, *, is_last: bool
) -> None:
    """Removes a partial write that a crash left after the synced data.

    Raises:
      CorruptStorageError: The damage is in synced entries.
    """
    if not is_last or records.was_synced(content, offset):
        raise exceptions.CorruptStorageError(
            f"{name} is damaged at byte {offset}, before synced entries;"
            f" {REMEDY}"
        )
    if offset:
        log.files.truncate(name, offset)
        return
    log.files.remove(name)
    log.files.sync_folder()
