"""File access, behind a small interface that allows fault injection."""

from __future__ import annotations

import errno
import fcntl
import os
import pathlib
import typing

from cactusstile.consensus import exceptions

if typing.TYPE_CHECKING:
    import contextlib

TEMPORARY_SUFFIX = ".tmp"
LOCK_NAME = "lock"


class File(typing.Protocol):
    """A file that is open for appending."""

    def write(self, data: bytes) -> None:
        """Appends all of `data`; not durable until `sync`."""

    def sync(self) -> None:
        """Makes all written data durable."""

    def close(self) -> None:
        """Closes the file without syncing it."""


class Files(typing.Protocol):
    """One folder of files; every method may raise `OSError`."""

    def names(self) -> list[str]:
        """Returns the names of all files."""

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Returns up to `size` bytes of a file from `offset` on."""

    def open_append(self, name: str) -> File:
        """Opens a file for appending; creates it if it does not exist."""

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file and makes the truncation durable."""

    def rewrite(self, name: str, offset: int, data: bytes) -> None:
        """Writes `data` at `offset` of a file durably."""

    def rename(self, source: str, target: str) -> None:
        """Renames a file, replacing the target."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def sync_folder(self) -> None:
        """Makes creations, renames and removals durable."""


class _LocalFile:
    """A file of the operating system."""

    def __init__(self, folder: LocalFiles, name: str) -> None:
        self._folder = folder
        self._descriptor = folder.open_descriptor(name)

    def write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            written = os.write(self._descriptor, view)
            view = view[written:]

    def sync(self) -> None:
        os.fsync(self._descriptor)
        if not os.fstat(self._descriptor).st_nlink:
            raise OSError(errno.ESTALE, "the file was removed")
        self._folder.check_place()

    def close(self) -> None:
        os.close(self._descriptor)


class LocalFiles:
    """Files in a folder of the operating system; see `Files`.

    If another folder takes its place, nothing is written to that one, and
    nothing counts as durable any more.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Creates the folder if it does not exist; `close` must be called."""
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self._descriptor = os.open(
            folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC
        )

    def close(self) -> None:
        """Closes the folder."""
        os.close(self._descriptor)

    def open_descriptor(self, name: str) -> int:
        """Returns a descriptor that appends; creates a file if none exists."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        return os.open(name, flags, 0o600, dir_fd=self._descriptor)

    def check_place(self) -> None:
        """Raises `OSError` if the folder was removed or replaced."""
        found = os.stat(self.folder)
        if not os.path.samestat(found, os.fstat(self._descriptor)):
            raise OSError(errno.ESTALE, "the data folder was replaced")

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(os.listdir(self._descriptor))

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        with self._open_existing(name, "rb") as file:
            return file.read()

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Returns up to `size` bytes of a file from `offset` on."""
        with self._open_existing(name, "rb") as file:
            file.seek(offset)
            return file.read(size)

    def open_append(self, name: str) -> File:
        """Opens a file for appending; creates it if it does not exist."""
        return _LocalFile(self, name)

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file and makes the truncation durable."""
        with self._open_existing(name, "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def rewrite(self, name: str, offset: int, data: bytes) -> None:
        """Writes `data` at `offset` of a file durably."""
        with self._open_existing(name, "r+b") as file:
            file.seek(offset)
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def rename(self, source: str, target: str) -> None:
        """Renames a file, replacing the target."""
        folder = self._descriptor
        os.replace(source, target, src_dir_fd=folder, dst_dir_fd=folder)

    def remove(self, name: str) -> None:
        """Removes a file."""
        os.unlink(name, dir_fd=self._descriptor)

    def sync_folder(self) -> None:
        """Makes creations, renames and removals durable."""
        os.fsync(self._descriptor)
        self.check_place()

    def _open_existing(
        self, name: str, mode: typing.Literal["rb", "r+b"]
    ) -> typing.BinaryIO:
        flags = os.O_RDONLY if mode == "rb" else os.O_RDWR
        descriptor = os.open(
            name, flags | os.O_CLOEXEC, dir_fd=self._descriptor
        )
        return os.fdopen(descriptor, mode)


def replace_atomically(files: Files, name: str, parts: list[bytes]) -> None:
    """Replaces a file; after a crash it has either the old or new content."""
    temporary = name + TEMPORARY_SUFFIX
    if temporary in files.names():
        files.remove(temporary)
    file = files.open_append(temporary)
    try:
        for part in parts:
            file.write(part)
        file.sync()
    finally:
        file.close()
    files.rename(temporary, name)
    files.sync_folder()


def open_folder(
    folder: pathlib.Path, stack: contextlib.ExitStack
) -> LocalFiles:
    """Opens a folder until `stack` closes; creates it if it does not exist.

    Raises:
      StorageUnavailableError: The folder cannot be created or opened.
    """
    try:
        files = LocalFiles(folder)
    except OSError as error:
        raise exceptions.StorageUnavailableError(
            f"the data folder could not be opened ({error}); check its disk and"
            " permissions"
        ) from error
    stack.callback(files.close)
    return files


def lock_folder(folder: pathlib.Path, stack: contextlib.ExitStack) -> None:
    """Locks a folder against other processes until `stack` closes.

    Raises:
      FolderLockedError: Another process holds the lock.
      StorageUnavailableError: The folder cannot be created or written.
    """
    try:
        folder.mkdir(parents=True, exist_ok=True)
        file = stack.enter_context((folder / LOCK_NAME).open("ab"))
    except OSError as error:
        raise exceptions.StorageUnavailableError(
            f"the data folder could not be created or locked ({error}); check"
            " its disk and permissions"
        ) from error
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        raise exceptions.FolderLockedError(
            f"{folder} is in use by another process; stop that process or set"
            " another data folder"
        ) from error
