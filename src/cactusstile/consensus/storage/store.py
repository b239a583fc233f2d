"""Durable state of one replica in one data folder."""

from __future__ import annotations

import secrets
import typing

import attrs

from cactusstile.consensus import core
from cactusstile.consensus import effects
from cactusstile.consensus import exceptions
from cactusstile.consensus import membership
from cactusstile.consensus import messages
from cactusstile.consensus.storage import metadata as metadata_file
from cactusstile.consensus.storage import segments
from cactusstile.consensus.storage import snapshots

if typing.TYPE_CHECKING:
    from cactusstile.consensus.storage import files as file_access

INCARNATION_BITS = 64


@attrs.define
class Store:
    """Durable state; refuses all operations after the first failed write.

    Attributes:
      files: The data folder.
      metadata: Last written term, vote and identity.
      log: The log segments.
      snapshot: Latest snapshot.
      last_entry: Last log entry; None if there is none after the snapshot.
      failure: Why a write failed; empty if none has failed.
    """

    files: file_access.Files
    metadata: metadata_file.Metadata
    log: segments.SegmentLog
    snapshot: snapshots.Snapshot
    last_entry: messages.Entry | None = None
    failure: str = ""

    def write(self, writes: list[effects.Write]) -> None:
        """Makes `writes` durable in order, with one sync for the log.

        Raises:
          StorageUnavailableError: Nothing may be acknowledged from now on.
        """
        if self.failure:
            raise exceptions.StorageUnavailableError(self.failure)
        try:
            self._write(writes)
        except OSError as error:
            self._fail(error)

    def save_snapshot(self, snapshot: effects.InstallSnapshot) -> None:
        """Makes a snapshot of the applied state durable.

        Raises:
          StorageUnavailableError: Nothing may be acknowledged from now on.
        """
        if self.failure:
            raise exceptions.StorageUnavailableError(self.failure)
        try:
            self.log.check_present()
            self._save_snapshot(snapshot)
        except OSError as error:
            self._fail(error)

    def compact(self, index: int) -> None:
        """Removes segments that have no entries after `index`.

        Raises:
          StorageUnavailableError: Nothing may be acknowledged from now on.
        """
        if self.failure:
            raise exceptions.StorageUnavailableError(self.failure)
        try:
            self.log.compact(index)
        except OSError as error:
            self._fail(error)

    def read_chunk(self, offset: int, size: int) -> bytes:
        """Returns up to `size` bytes of the latest snapshot, from `offset`."""
        snapshot = self.snapshot
        if not snapshot.name:
            return b""
        size = min(size, snapshot.size - offset)
        start = snapshot.offset + offset
        return self.files.read_at(snapshot.name, start, max(size, 0))

    def close(self) -> None:
        """Closes the open segment."""
        self.log.close()

    def _write(self, writes: list[effects.Write]) -> None:
        # An emptied folder must look like a lost disk, not like a damaged one.
        self.log.check_present()
        # No message is sent before the whole batch is durable, so only the
        # last metadata is written. It is written first, as its term must never
        # be older than the log.
        for write in reversed(writes):
            if isinstance(write, effects.SaveMetadata):
                self._save_metadata(write)
                break
        for write in writes:
            if isinstance(write, effects.AppendEntries):
                self.log.append(write.entries)
                self.last_entry = write.entries[-1]
                continue
            if isinstance(write, effects.SaveMetadata):
                continue
            self._save_snapshot(write)
            self.log.reset(write.index, write.term)
            self.last_entry = None
        self.log.sync()
        self.log.roll(self.last_entry)
        self._record_newest_segment()

    def _record_newest_segment(self) -> None:
        """Saves the newest segment's number, so that its loss is detected."""
        number = self.log.number()
        if number == self.metadata.segment:
            return
        self.metadata = attrs.evolve(self.metadata, segment=number)
        metadata_file.save(self.files, self.metadata)

    def _save_metadata(self, write: effects.SaveMetadata) -> None:
        self.metadata = attrs.evolve(
            self.metadata,
            group=write.group,
            term=write.term,
            vote=write.vote,
        )
        metadata_file.save(self.files, self.metadata)

    def _save_snapshot(self, write: effects.InstallSnapshot) -> None:
        if write.index <= self.snapshot.index:
            return
        self.snapshot = snapshots.save(
            self.files, write.index, write.term, write.configuration, write.data
        )
        snapshots.remove_older(self.files, self.snapshot)

    def _fail(self, error: OSError) -> typing.NoReturn:
        self.failure = (
            f"durable state could not be written ({error}); the replica has"
            " stopped: free or replace the disk, then open the folder again"
        )
        raise exceptions.StorageUnavailableError(self.failure) from error


def open_store(
    files: file_access.Files, name: str
) -> tuple[Store, core.RecoveredState, bytes]:
    """Opens a data folder; an empty one becomes a new incarnation.

    Returns:
      The store, the state that the core starts from, and the snapshot's
      data.

    Raises:
      CorruptStorageError: Synced state is damaged; the text says what to do.
      StorageUnavailableError: An access to the folder failed.
      StorageError: The folder belongs to another replica.
    """
    try:
        return _open_store(files, name)
    except OSError as error:
        raise exceptions.StorageUnavailableError(
            f"the data folder could not be opened ({error}); check its disk"
            " and permissions"
        ) from error


def _open_store(
    files: file_access.Files, name: str
) -> tuple[Store, core.RecoveredState, bytes]:
    metadata = metadata_file.load(files)
    if metadata is None:
        incarnation = secrets.randbits(INCARNATION_BITS)
        metadata = metadata_file.Metadata(name, incarnation)
    if metadata.name != name:
        raise exceptions.StorageError(
            f"the data folder belongs to {metadata.name}, not to {name};"
            " correct the name or the data folder in the settings"
        )
    # What was read may not be durable, such as the rename of a process that
    # ended before it had synced the folder.
    metadata_file.save(files, metadata)
    snapshot, data = snapshots.load(files)
    log, entries = _recover_log(files, metadata)
    entries = _entries_after_snapshot(log, snapshot, entries)
    last_term = entries[-1].term if entries else snapshot.term
    if last_term > metadata.term:
        raise exceptions.CorruptStorageError(
            f"metadata is older than the log; {segments.REMEDY}"
        )
    store = Store(files, metadata, log, snapshot)
    store.last_entry = entries[-1] if entries else None
    recovered = core.RecoveredState(
        group=metadata.group,
        term=metadata.term,
        vote=metadata.vote,
        snapshot_index=snapshot.index,
        snapshot_term=snapshot.term,
        configuration=membership.decode(snapshot.configuration),
        entries=tuple(entries),
    )
    return store, recovered, data


def _recover_log(
    files: file_access.Files, metadata: metadata_file.Metadata
) -> tuple[segments.SegmentLog, list[messages.Entry]]:
    """Reads the log.

    Raises:
      CorruptStorageError: The last segment or the complete log is missing, or
        synced entries are damaged.
    """
    if metadata.group and not segments.has_segments(files):
        raise exceptions.CorruptStorageError(
            f"the log is missing although metadata exists; {segments.REMEDY}"
        )
    log, entries = segments.recover(files)
    if log.number() < metadata.segment:
        raise exceptions.CorruptStorageError(
            f"the last segment of the log is missing; {segments.REMEDY}"
        )
    return log, entries


def _entries_after_snapshot(
    log: segments.SegmentLog,
    snapshot: snapshots.Snapshot,
    entries: list[messages.Entry],
) -> list[messages.Entry]:
    """Returns the entries after the snapshot.

    A log that does not contain the snapshot's last entry was written before
    the snapshot was installed and is dropped.

    Raises:
      CorruptStorageError: The log starts after the snapshot.
    """
    if log.base_index > snapshot.index:
        raise exceptions.CorruptStorageError(
            f"the snapshot of entry {log.base_index} is missing;"
            f" {segments.REMEDY}"
        )
    position = snapshot.index - log.base_index
    term = None
    if position == 0:
        term = log.base_term
    elif position <= len(entries):
        term = entries[position - 1].term
    if term == snapshot.term:
        return entries[position:]
    log.reset(snapshot.index, snapshot.term)
    return []
