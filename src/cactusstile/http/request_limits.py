"""Limits of the requests that a listener accepts."""

from __future__ import annotations

import attrs


@attrs.frozen
class CallerLimits:
    """Limits on the requests of callers.

    Attributes:
      max_header_bytes: Maximum size of a request head.
      max_body_bytes: Maximum size of a request body.
      header_timeout_s: Time from the first byte to the end of the head.
      idle_timeout_s: Time after which a connection without a request, with a
        stalled request body, or with an answer that is not taken is closed;
        see also `request_reader.MIN_BODY_BYTES_PER_S`.
    """

    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.define
class MemoryLimit:
    """Limit on what all connections of a listener hold, in bytes."""

    limit_bytes: int
    used_bytes: int = 0

    def take(self, size: int) -> bool:
        """Reserves `size` bytes; returns False if they are not available."""
        if self.used_bytes + size > self.limit_bytes:
            return False
        self.used_bytes += size
        return True

    def give_back(self, size: int) -> None:
        """Releases `size` bytes."""
        self.used_bytes -= size
