"""Rate-limited JSON logs on standard output that never block the process."""

from __future__ import annotations

import logging
import os
import time

from cactusstile.limits import token_bucket
from cactusstile.observability import logs

STANDARD_OUTPUT = 1
LINES_PER_S = 150.0
BURST_LINES = 600.0
# Maximum output buffered while nobody reads it; further lines are dropped.
MAX_PENDING_BYTES = 256 << 10


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without waiting for its reader.

    Attributes:
      descriptor: File descriptor, in non-blocking mode.
      pending: Bytes that are not yet written.
      dropped: Lines dropped since the last line that was written.
      dropped_total: Lines dropped since the start.
      bucket: Limits the rate of lines; lines of level WARNING or above count
        but are exempt from the limit.
    """

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        """Sets `descriptor` to non-blocking mode and writes to it."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.pending = b""
        self.dropped = 0
        self.dropped_total = 0
        self.bucket = token_bucket.TokenBucket(
            LINES_PER_S, time.monotonic, burst_bytes=BURST_LINES
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line, or drops it if the rate or buffer limit is reached.

        The next written line reports the number of dropped lines in the field
        `left_out`. Lines of level WARNING or above are not rate-limited.
        """
        is_urgent = record.levelno >= logging.WARNING
        admitted = self.bucket.try_take(1, 1 / LINES_PER_S)
        if not (admitted or is_urgent) or self._is_full():
            self.dropped += 1
            self.dropped_total += 1
            return
        if self.dropped:
            record.left_out = self.dropped
            self.dropped = 0
        self.pending += self.format(record).encode() + b"\n"
        self._write()

    def _is_full(self) -> bool:
        return len(self.pending) >= MAX_PENDING_BYTES

    def _write(self) -> None:
        try:
            count = os.write(self.descriptor, self.pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; discard the lines, the process keeps running.
            count = len(self.pending)
        self.pending = self.pending[count:]


def configure(role: str, name: str, level: str = "info") -> BoundedHandler:
    """Sends the process's log lines to standard output as JSON.

    Args:
      role: Role of the process.
      name: Name of the process.
      level: One of `logs.LEVELS`.
    """
    handler = BoundedHandler()
    handler.setFormatter(logs.build_formatter(role, name))
    logs.install(handler, level)
    return handler
