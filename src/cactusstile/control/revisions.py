"""Compact index of the accepted revisions and their content digests."""

from __future__ import annotations

import array
import bisect
import sys

from cactusstile.control import exceptions

SHORT_DIGEST_BYTES = 16
MAX_REVISIONS = 200_000
_REVISION_BYTES = 8


class RevisionIndex:
    """Accepted revisions in ascending order, with shortened content digests.

    Attributes:
      max_revisions: Number of revisions to retain, exceeded by at most a
        sixteenth; the oldest are discarded first.
    """

    def __init__(self, max_revisions: int = MAX_REVISIONS) -> None:
        """Starts empty."""
        self.max_revisions = max_revisions
        self._revisions = array.array("Q")
        self._digests = bytearray()
        self._discarded_below = 0

    def add(self, revision: int, digest: bytes) -> None:
        """Adds a revision, which is higher than all others."""
        self._revisions.append(revision)
        self._digests += digest[:SHORT_DIGEST_BYTES]
        surplus = len(self._revisions) - self.max_revisions
        if surplus > self.max_revisions // 16:
            self._discarded_below = self._revisions[surplus]
            del self._revisions[:surplus]
            del self._digests[: surplus * SHORT_DIGEST_BYTES]

    def find(self, revision: int) -> bytes | None:
        """Returns the shortened digest of a revision, or None if unused."""
        position = bisect.bisect_left(self._revisions, revision)
        if position == len(self._revisions):
            return None
        if self._revisions[position] != revision:
            return None
        start = position * SHORT_DIGEST_BYTES
        return bytes(self._digests[start : start + SHORT_DIGEST_BYTES])

    def is_discarded(self, revision: int) -> bool:
        """Returns whether the digest of an old revision was discarded."""
        return revision < self._discarded_below

    def dump(self) -> tuple[bytes, bytes]:
        """Returns the encoded revisions and their digests.

        Revisions are little-endian 64-bit integers in ascending order. In front
        of them is the lowest revision that has not been discarded, or 0.
        """
        numbers = array.array("Q", [self._discarded_below])
        numbers.extend(self._revisions)
        if sys.byteorder == "big":
            numbers.byteswap()
        return numbers.tobytes(), bytes(self._digests)

    def load(self, numbers: bytes, digests: bytes) -> None:
        """Replaces the index with what `dump` returned.

        Raises:
          SnapshotError: If the revisions are truncated or do not match the
            digests.
        """
        loaded = array.array("Q")
        if len(numbers) % _REVISION_BYTES or not numbers:
            raise exceptions.SnapshotError("revision numbers are truncated")
        loaded.frombytes(numbers)
        if sys.byteorder == "big":
            loaded.byteswap()
        if len(digests) != (len(loaded) - 1) * SHORT_DIGEST_BYTES:
            raise exceptions.SnapshotError(
                "digests do not match the revision numbers"
            )
        self._discarded_below = loaded[0]
        self._revisions = loaded[1:]
        self._digests = bytearray(digests)
