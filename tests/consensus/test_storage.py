from __future__ import annotations

import collections.abc
import contextlib
import errno
import os
import pathlib
import shutil

import hypothesis
import pytest
from hypothesis import strategies
from tests.consensus import faulty_files

from cactusstile.consensus import core
from cactusstile.consensus import effects
from cactusstile.consensus import exceptions
from cactusstile.consensus import messages
from cactusstile.consensus import replica
from cactusstile.consensus import replica_settings
from cactusstile.consensus.storage import files as file_access
from cactusstile.consensus.storage import segments
from cactusstile.consensus.storage import store as stores


def _open(files: file_access.Files) -> tuple[stores.Store, core.RecoveredState]:
    store, recovered, _ = stores.open_store(files, "a")
    return store, recovered


def _entries(
    first: int, count: int, term: int = 1, size: int = 20
) -> effects.AppendEntries:
    entries = []
    for index in range(first, first + count):
        entries.append(messages.Entry(index, term, 0, b"%0*d" % (size, index)))
    return effects.AppendEntries(entries)


def _prepare(files: faulty_files.FaultyFiles, batches: int) -> None:
    store, _ = _open(files)
    store.write([effects.SaveMetadata("g", 1, "a")])
    for batch in range(batches):
        store.write([_entries(1 + 3 * batch, 3)])


def test_reopen_returns_written_state() -> None:
    files = faulty_files.FaultyFiles()
    _prepare(files, 2)
    store, _ = _open(files)
    store.write([effects.SaveMetadata("g", 2, "b"), _entries(5, 3, term=2)])
    _, recovered = _open(files)
    assert (recovered.group, recovered.term, recovered.vote) == ("g", 2, "b")
    terms = [(entry.index, entry.term) for entry in recovered.entries]
    assert terms == [(1, 1), (2, 1), (3, 1), (4, 1), (5, 2), (6, 2), (7, 2)]


@hypothesis.given(
    keep=strategies.integers(0, 400),
    flip=strategies.integers(0, 400),
    zero=strategies.booleans(),
)
def test_torn_unsynced_tail_is_truncated(
    keep: int, flip: int, zero: bool
) -> None:
    files = faulty_files.FaultyFiles()
    _prepare(files, 2)
    store, _ = _open(files)
    store.log.append(_entries(7, 4).entries)

    def mangle(rest: bytes) -> bytes:
        torn = bytearray(rest)
        if zero and len(torn) > flip:
            # Pages may reach the disk in any order.
            torn[flip : flip + 50] = bytes(len(torn[flip : flip + 50]))
        return bytes(torn[:keep])

    files.crash(mangle)
    store, recovered = _open(files)
    indexes = [entry.index for entry in recovered.entries]
    assert indexes[:6] == [1, 2, 3, 4, 5, 6]
    assert indexes == list(range(1, len(indexes) + 1))
    store.write([_entries(len(indexes) + 1, 1)])
    assert len(_open(files)[1].entries) == len(indexes) + 1


@hypothesis.given(
    position=strategies.integers(0, 10_000), bit=strategies.integers(0, 7)
)
def test_flipped_bit_before_synced_records_refuses_to_start(
    position: int, bit: int
) -> None:
    files = faulty_files.FaultyFiles()
    _prepare(files, 3)
    name = files.names()[-1]
    assert name.startswith(segments.PREFIX)
    store, _ = _open(files)
    end_of_second = store.log.segments[-1].size
    store.write([_entries(10, 3)])
    files.content[name][position % end_of_second] ^= 1 << bit
    with pytest.raises(exceptions.CorruptStorageError, match="repair"):
        _open(files)


def test_lost_write_in_the_middle_breaks_the_chain() -> None:
    """Valid records after a lost write must not hide the loss."""
    files = faulty_files.FaultyFiles()
    _prepare(files, 1)
    name = files.names()[-1]
    start = len(files.content[name])
    _prepare_more(files, 4, 3)
    end = len(files.content[name])
    _prepare_more(files, 4, 3)
    # The records after the gap are intact and have the expected indexes.
    del files.content[name][start:end]
    with pytest.raises(exceptions.CorruptStorageError, match="lacks a record"):
        _open(files)


def _prepare_more(
    files: faulty_files.FaultyFiles, first: int, count: int
) -> None:
    store, _ = _open(files)
    store.write([_entries(first, count)])


@pytest.mark.parametrize("position", [2, -1])
def test_missing_segment_refuses_to_start(
    position: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A missing segment means that synced entries are lost."""
    monkeypatch.setattr(segments, "SEGMENT_BYTES", 200)
    files = faulty_files.FaultyFiles()
    _prepare(files, 5)
    names = [name for name in files.names() if name.startswith(segments.PREFIX)]
    assert len(names) > 3
    files.remove(names[position])
    with pytest.raises(exceptions.CorruptStorageError, match="missing"):
        _open(files)


@pytest.mark.parametrize("name", ["metadata", "segment-000000000001"])
def test_missing_file_of_a_member_refuses_to_start(name: str) -> None:
    """A member must not restart with an empty log or without its vote."""
    files = faulty_files.FaultyFiles()
    _prepare(files, 1)
    files.remove(name)
    with pytest.raises(exceptions.CorruptStorageError, match="repair"):
        _open(files)


def test_flipped_bit_in_metadata_or_snapshot_refuses_to_start() -> None:
    for prefix in ("metadata", "snapshot-"):
        files = faulty_files.FaultyFiles()
        _prepare(files, 1)
        store, _ = _open(files)
        store.save_snapshot(effects.InstallSnapshot(2, 1, b"[]", b"state"))
        file_name = next(
            each for each in files.names() if each.startswith(prefix)
        )
        files.content[file_name][-2] ^= 1
        with pytest.raises(exceptions.CorruptStorageError, match="damaged"):
            _open(files)


@pytest.mark.parametrize("fault", ["enospc", "eio"])
def test_failed_write_stops_the_store_permanently(fault: str) -> None:
    """After a failed sync the kernel may drop pages; a retry hides the loss."""
    files = faulty_files.FaultyFiles()
    _prepare(files, 2)
    store, _ = _open(files)
    files.fault = fault
    with pytest.raises(exceptions.StorageError, match="has stopped"):
        store.write([_entries(7, 3)])
    # A later sync may succeed although the pages of the failed one are lost.
    files.fault = ""
    with pytest.raises(exceptions.StorageError, match="has stopped"):
        store.write([_entries(7, 3)])
    files.crash(lambda rest: rest[:30])
    assert len(_open(files)[1].entries) == 6


def test_failed_write_of_a_vote_keeps_the_old_vote() -> None:
    files = faulty_files.FaultyFiles()
    _prepare(files, 1)
    store, _ = _open(files)
    files.fault = "enospc"
    with pytest.raises(exceptions.StorageError):
        store.write([effects.SaveMetadata("g", 9, "b")])
    files.crash(lambda rest: rest)
    _, recovered = _open(files)
    assert (recovered.term, recovered.vote) == (1, "a")


@pytest.mark.parametrize("fault", ["", "eio"])
def test_recovered_entries_are_not_lost_by_a_crash_after_recovery(
    fault: str,
) -> None:
    files = faulty_files.FaultyFiles()
    _prepare(files, 2)
    store, _ = _open(files)
    store.log.append(_entries(7, 3).entries)
    if fault:
        files.fault = fault
        with pytest.raises(OSError, match="input/output"):
            store.log.sync()
        files.fault = ""
    acknowledged = _open(files)[1].entries
    assert len(acknowledged) == 9
    files.crash(lambda _: b"")
    assert _open(files)[1].entries == acknowledged


def test_recovered_vote_is_not_lost_by_a_crash_after_recovery(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    files = faulty_files.FaultyFiles()
    _prepare(files, 1)
    store, _ = _open(files)
    with monkeypatch.context() as patched:
        patched.setattr(faulty_files.FaultyFiles, "sync_folder", lambda _: None)
        store.write([effects.SaveMetadata("g", 9, "b")])
    assert _open(files)[1].vote == "b"
    files.crash(lambda _: b"")
    assert _open(files)[1].vote == "b"


def test_compaction_removes_segments_covered_by_a_snapshot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(segments, "SEGMENT_BYTES", 500)
    files = faulty_files.FaultyFiles()
    _prepare(files, 30)
    store, _ = _open(files)
    store.save_snapshot(effects.InstallSnapshot(80, 1, b"[]", b"state"))
    store.compact(80)
    for segment in store.log.segments[:-1]:
        assert segment.last_index > 80
    remaining = [
        item for item in files.names() if item.startswith(segments.PREFIX)
    ]
    assert remaining == [segment.name for segment in store.log.segments]
    store, recovered, data = stores.open_store(files, "a")
    assert data == b"state"
    assert [item.index for item in recovered.entries] == list(range(81, 91))
    assert store.read_chunk(1, 3) == b"tat"


@pytest.mark.parametrize("torn", [0, 10, 10_000])
def test_installed_snapshot_replaces_a_conflicting_log(torn: int) -> None:
    """Entries of an earlier term must not reappear after a torn write."""
    files = faulty_files.FaultyFiles()
    _prepare(files, 3)
    store, _ = _open(files)
    snapshot = effects.InstallSnapshot(5, 2, b"[]", b"state")
    store.write([effects.SaveMetadata("g", 2, ""), snapshot])
    store.log.append(_entries(6, 2, term=2).entries)
    files.crash(lambda rest: rest[:torn])
    _, recovered = _open(files)
    assert recovered.snapshot_index == 5
    for entry in recovered.entries:
        assert entry.term == 2


def test_crash_between_snapshot_and_log_drops_the_old_log() -> None:
    """The old log must not be appended to a snapshot that replaces it."""
    files = faulty_files.FaultyFiles()
    _prepare(files, 3)
    store, _ = _open(files)
    store.write([effects.SaveMetadata("g", 2, "")])
    store.save_snapshot(effects.InstallSnapshot(5, 2, b"[]", b"state"))
    _, recovered = _open(files)
    assert recovered.entries == ()
    store, _ = _open(files)
    store.write([_entries(6, 1, term=2)])
    assert [entry.index for entry in _open(files)[1].entries] == [6]


def test_last_metadata_of_a_batch_is_durable_before_its_entries() -> None:
    """Metadata older than the log could allow a second vote in a term."""
    files = faulty_files.FaultyFiles()
    _prepare(files, 1)
    store, _ = _open(files)
    before = files.syncs
    store.write(
        [
            effects.SaveMetadata("g", 2, ""),
            _entries(4, 1, term=2),
            effects.SaveMetadata("g", 3, "b"),
        ]
    )
    # One sync each for the metadata file, its folder and the log.
    assert files.syncs == before + 3
    _, recovered = _open(files)
    assert (recovered.term, recovered.vote) == (3, "b")
    assert recovered.entries[-1].term == 2


def test_one_sync_covers_many_entries() -> None:
    files = faulty_files.FaultyFiles()
    _prepare(files, 1)
    store, _ = _open(files)
    before = files.syncs
    store.write([_entries(4, 100), _entries(104, 100)])
    assert files.syncs == before + 1


def test_local_files_survive_reopening(tmp_path: pathlib.Path) -> None:
    files = file_access.LocalFiles(tmp_path)
    store, _ = _open(files)
    store.write([effects.SaveMetadata("g", 1, "a"), _entries(1, 3)])
    store.save_snapshot(effects.InstallSnapshot(2, 1, b"[]", b"state"))
    store.close()
    store, recovered, data = stores.open_store(files, "a")
    store.close()
    assert data == b"state"
    assert [entry.index for entry in recovered.entries] == [3]
    with pytest.raises(exceptions.StorageError, match="belongs to a"):
        stores.open_store(files, "b")
    files.close()


def _lose(folder: pathlib.Path) -> None:
    shutil.rmtree(folder)


def _replace(folder: pathlib.Path) -> None:
    folder.rename(folder.with_name("before"))
    folder.mkdir()


def _empty(folder: pathlib.Path) -> None:
    for path in folder.iterdir():
        path.unlink()


# Guards against writes that are acknowledged into a folder that is gone.
@pytest.mark.parametrize("act", [_lose, _replace, _empty])
@pytest.mark.parametrize("votes", [False, True])
def test_write_is_acknowledged_though_the_folder_is_gone(
    tmp_path: pathlib.Path,
    act: collections.abc.Callable[[pathlib.Path], None],
    *,
    votes: bool,
) -> None:
    folder = tmp_path / "data"
    with contextlib.closing(file_access.LocalFiles(folder)) as files:
        store, _ = _open(files)
        store.write([effects.SaveMetadata("g", 1, "a"), _entries(1, 3)])
        act(folder)
        writes: list[effects.Write] = [_entries(4, 1)]
        if votes:
            writes.append(effects.SaveMetadata("g", 2, "b"))
        with pytest.raises(exceptions.StorageUnavailableError):
            store.write(writes)
        store.close()
    # The folder that took its place is as empty as before.
    assert not folder.exists() or not any(folder.iterdir())


class _ExhaustedOs:
    """The module `os` of a process that can open no more folders."""

    def __getattr__(self, name: str) -> object:
        return getattr(os, name)

    def open(
        self, path: str, flags: int, mode: int = 0o777, **keywords: int
    ) -> int:
        if flags & os.O_DIRECTORY:
            raise OSError(errno.EMFILE, "too many open files")
        return os.open(path, flags, mode, **keywords)


# Guards against a process that ends, as its data folder cannot be opened.
def test_folder_that_cannot_be_opened_is_no_storage_error(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    settings = replica_settings.ReplicaSettings("a", "a", tmp_path / "a", ())
    replica.check_storage(settings)
    monkeypatch.setitem(vars(file_access), "os", _ExhaustedOs())
    with pytest.raises(exceptions.StorageUnavailableError):
        replica.check_storage(settings)
