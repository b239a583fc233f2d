"""Sequential reader of the fields of a snapshot."""

from __future__ import annotations

import struct

import attrs

from cactusstile.control import exceptions

LENGTH = struct.Struct("<I")


@attrs.define
class SnapshotReader:
    """Reads a snapshot from front to back.

    Attributes:
      data: The snapshot.
      position: Number of bytes already read.
    """

    data: bytes
    position: int = 0

    @property
    def is_at_end(self) -> bool:
        """Whether all bytes were read."""
        return self.position == len(self.data)

    def read(self, size: int) -> bytes:
        """Returns the next `size` bytes.

        Raises:
          SnapshotError: If fewer bytes are left.
        """
        end = self.position + size
        if end > len(self.data):
            raise exceptions.SnapshotError("the snapshot is truncated")
        part = self.data[self.position : end]
        self.position = end
        return part

    def read_entry(self, key_bytes: int) -> tuple[bytes, bytes]:
        """Returns a key of `key_bytes` bytes and a length-prefixed value.

        Raises:
          SnapshotError: If the snapshot is truncated.
        """
        key = self.read(key_bytes)
        (length,) = LENGTH.unpack(self.read(LENGTH.size))
        return key, self.read(length)
