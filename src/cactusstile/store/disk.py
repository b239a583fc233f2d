"""Disk tier: one write-once file per block.

A file is written under a temporary name, renamed, and never changed. Writes are
not synced, since a block that is lost in a crash can be recomputed. Checksums
detect torn writes and flipped bits.
"""

from __future__ import annotations

import hashlib
import logging
import pathlib
import struct
import typing

import attrs

from cactusstile import tokens
from cactusstile.store import exceptions

if typing.TYPE_CHECKING:
    import collections.abc

logger = logging.getLogger(__name__)

_MAGIC = b"CKB1"
_FIXED_HEADER = struct.Struct("<4sQ16s16s16sIIQH")
_HEADER_CHECKSUM_BYTES = 8
_MAX_SCOPE_BYTES = 4096
_SUFFIX = ".block"


@attrs.frozen
class Header:
    """Metadata in a block file; see `blocks.Block`."""

    scope: tokens.Scope
    key: bytes
    parent: bytes
    position: int
    generation: int
    checksum: bytes
    size: int
    recompute_us: int


class DiskTier:
    """Block files in a folder.

    Attributes:
      folder: Folder of the files.
      used_bytes: Bytes of block content on disk, without headers.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Creates `folder` if it is missing."""
        self.folder = folder
        self.used_bytes = 0
        folder.mkdir(parents=True, exist_ok=True)

    def write(self, header: Header, data: bytes) -> None:
        """Writes a block.

        Raises:
          OSError: If the disk is full or fails; the partial file is removed.
        """
        path = self._path(header.key)
        path.parent.mkdir(exist_ok=True)
        _write_atomically(path, [_encode_header(header), data])
        self.used_bytes += header.size

    def read(self, header: Header, offset: int, size: int) -> bytes:
        """Returns up to `size` bytes of a block, starting at `offset`.

        Raises:
          CorruptBlockError: If the file is missing or too short.
        """
        try:
            with self._path(header.key).open("rb") as file:
                file.seek(len(_encode_header(header)) + offset)
                data = file.read(size)
        except OSError as error:
            raise exceptions.CorruptBlockError(str(error)) from error
        if len(data) != min(size, header.size - offset):
            raise exceptions.CorruptBlockError("block file is truncated")
        return data

    def delete(self, header: Header) -> None:
        """Deletes a block's file."""
        self._path(header.key).unlink(missing_ok=True)
        self.used_bytes -= header.size

    def scan(self) -> collections.abc.Iterator[Header]:
        """Yields the header of each block; deletes damaged or partial files."""
        for path in sorted(self.folder.glob(f"*/*{_SUFFIX}")):
            header = _read_header(path)
            if header is None:
                logger.warning("deleting damaged block file %s", path.name)
                path.unlink(missing_ok=True)
                continue
            self.used_bytes += header.size
            yield header
        for path in self.folder.glob("*/*.part"):
            path.unlink(missing_ok=True)

    def _path(self, key: bytes) -> pathlib.Path:
        name = key.hex()
        return self.folder / name[:2] / f"{name}{_SUFFIX}"


def _write_atomically(path: pathlib.Path, chunks: list[bytes]) -> None:
    partial = path.with_suffix(".part")
    try:
        with partial.open("wb") as file:
            for chunk in chunks:
                file.write(chunk)
        partial.replace(path)
    except OSError:
        partial.unlink(missing_ok=True)
        raise


def _encode_header(header: Header) -> bytes:
    scope = "\0".join(header.scope).encode()
    fixed = _FIXED_HEADER.pack(
        _MAGIC,
        header.generation,
        header.key,
        header.parent,
        header.checksum,
        header.position,
        header.recompute_us,
        header.size,
        len(scope),
    )
    return fixed + scope + _header_checksum(fixed + scope)


def _header_checksum(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=_HEADER_CHECKSUM_BYTES).digest()


def _read_header(path: pathlib.Path) -> Header | None:
    """Returns the header of a block file; None if the file is damaged."""
    with path.open("rb") as file:
        fixed = file.read(_FIXED_HEADER.size)
        if len(fixed) < _FIXED_HEADER.size or not fixed.startswith(_MAGIC):
            return None
        fields = _FIXED_HEADER.unpack(fixed)
        (
            _,
            generation,
            key,
            parent,
            checksum,
            position,
            recompute,
            size,
            scope_bytes,
        ) = fields
        scope = file.read(min(scope_bytes, _MAX_SCOPE_BYTES))
        if file.read(_HEADER_CHECKSUM_BYTES) != _header_checksum(fixed + scope):
            return None
        start = file.tell()
    if path.stat().st_size != start + size:
        return None
    return Header(
        tokens.Scope(*scope.decode().split("\0")),
        key,
        parent if position else b"",
        position,
        generation,
        checksum,
        size,
        recompute,
    )
