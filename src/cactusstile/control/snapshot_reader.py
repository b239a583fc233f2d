"""Reader that cuts a snapshot into its parts."""

from __future__ import annotations

import struct

import attrs

from cactusstile.control import exceptions

LENGTH = struct.Struct("<I")


@attrs.define
class SnapshotReader:
    """Position in a snapshot.

    Attributes:
      data: The snapshot.
      position: Bytes that were taken.
    """

    data: bytes
    position: int = 0

    @property
    def is_at_end(self) -> bool:
        """Whether all was taken."""
        return self.position == len(self.data)

    def take(self, size: int) -> bytes:
        """Returns the next `size` bytes.

        Raises:
          SnapshotError: If there are fewer.
        """
        end = self.position + size
        if end > len(self.data):
            raise exceptions.SnapshotError("the snapshot is cut short")
        part = self.data[self.position : end]
        self.position = end
        return part

    def take_pair(self, key_bytes: int) -> tuple[bytes, bytes]:
        """Returns a key of `key_bytes` and a value behind its length.

        Raises:
          SnapshotError: If the snapshot ends before.
        """
        key = self.take(key_bytes)
        (length,) = LENGTH.unpack(self.take(LENGTH.size))
        return key, self.take(length)
