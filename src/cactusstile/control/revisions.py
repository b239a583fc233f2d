"""The operators' numbers that are in use, in a few bytes each."""

from __future__ import annotations

import array
import bisect
import sys

from cactusstile.control import exceptions

SHORT_DIGEST_BYTES = 16
MAX_REVISIONS = 200_000
_NUMBER_BYTES = 8


class RevisionIndex:
    """Accepted numbers, ascending, with the shortened digests of content.

    Attributes:
      bound: Numbers that are kept; the oldest are forgotten first.
    """

    def __init__(self, bound: int = MAX_REVISIONS) -> None:
        """Starts empty."""
        self.bound = bound
        self._numbers = array.array("Q")
        self._digests = bytearray()
        self._forgotten_below = 0

    def add(self, revision: int, digest: bytes) -> None:
        """Adds a number above all others."""
        self._numbers.append(revision)
        self._digests += digest[:SHORT_DIGEST_BYTES]
        surplus = len(self._numbers) - self.bound
        if surplus > self.bound // 16:
            self._forgotten_below = self._numbers[surplus]
            del self._numbers[:surplus]
            del self._digests[: surplus * SHORT_DIGEST_BYTES]

    def find(self, revision: int) -> bytes | None:
        """Returns the shortened digest under a number, if it is in use."""
        position = bisect.bisect_left(self._numbers, revision)
        if position == len(self._numbers):
            return None
        if self._numbers[position] != revision:
            return None
        start = position * SHORT_DIGEST_BYTES
        return bytes(self._digests[start : start + SHORT_DIGEST_BYTES])

    def is_forgotten(self, revision: int) -> bool:
        """Returns whether nothing is known any more of a number."""
        return revision < self._forgotten_below

    def dump(self) -> tuple[bytes, bytes]:
        """Returns numbers and digests as bytes."""
        numbers = array.array("Q", [self._forgotten_below])
        numbers.extend(self._numbers)
        if sys.byteorder == "big":
            numbers.byteswap()
        return numbers.tobytes(), bytes(self._digests)

    def load(self, numbers: bytes, digests: bytes) -> None:
        """Takes over what `dump` returned.

        Raises:
          SnapshotError: If the two do not fit together.
        """
        loaded = array.array("Q")
        if len(numbers) % _NUMBER_BYTES or not numbers:
            raise exceptions.SnapshotError("numbers are cut short")
        loaded.frombytes(numbers)
        if sys.byteorder == "big":
            loaded.byteswap()
        if len(digests) != (len(loaded) - 1) * SHORT_DIGEST_BYTES:
            raise exceptions.SnapshotError("digests do not fit the numbers")
        self._forgotten_below = loaded[0]
        self._numbers = loaded[1:]
        self._digests = bytearray(digests)
