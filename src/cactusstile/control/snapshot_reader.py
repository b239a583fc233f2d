"""Reads the packed snapshot of the claims group."""

from __future__ import annotations

import struct

from cactusstile.control import exceptions

LENGTH = struct.Struct("<I")


class Reader:
    """Cuts a snapshot of claims into its parts."""

    def __init__(self, data: bytes) -> None:
        """Starts at the first byte of `data`."""
        self.data = data
        self.position = 0

    def take(self, size: int) -> bytes:
        """Returns the next `size` bytes.

        Raises:
          SnapshotError: If there are fewer.
        """
        end = self.position + size
        if end > len(self.data):
            raise exceptions.SnapshotError("claims are cut short")
        part = self.data[self.position : end]
        self.position = end
        return part

    def take_pair(self, key_bytes: int) -> tuple[bytes, bytes]:
        """Returns the next key and the value behind its length."""
        key = self.take(key_bytes)
        (length,) = LENGTH.unpack(self.take(LENGTH.size))
        return key, self.take(length)

    def expect_end(self) -> None:
        """Raises `SnapshotError` unless all bytes were taken."""
        if self.position != len(self.data):
            raise exceptions.SnapshotError("claims have bytes after their end")
