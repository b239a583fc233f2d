"""Log lines on standard output: bounded in rate, and never blocking."""

from __future__ import annotations

import logging
import os
import time

from cactusstile.limits import token_bucket
from cactusstile.observability import logs

STANDARD_OUTPUT = 1
LINES_PER_S = 150.0
BURST_LINES = 600.0
# Bytes that wait while nobody reads; later lines are left out.
MAX_PENDING_BYTES = 256 << 10


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without waiting for its reader.

    Attributes:
      left_out: Lines that were left out since the last one written.
      left_out_total: Lines that were left out since the start.
    """

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        """Writes to `descriptor`, which no longer blocks from now on."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.pending = b""
        self.left_out = 0
        self.left_out_total = 0
        self.bucket = token_bucket.TokenBucket(
            LINES_PER_S, time.monotonic, burst_bytes=BURST_LINES
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line, or counts it as left out."""
        is_urgent = record.levelno >= logging.WARNING
        admitted = self.bucket.try_take(1, 1 / LINES_PER_S)
        if not (admitted or is_urgent) or self._is_full():
            self.left_out += 1
            self.left_out_total += 1
            return
        if self.left_out:
            record.left_out = self.left_out
            self.left_out = 0
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
            # Nobody reads any more; the lines are lost, the process goes on.
            count = len(self.pending)
        self.pending = self.pending[count:]


def configure(role: str, name: str, level: str = "info") -> BoundedHandler:
    """Sends the process's log lines to standard output as JSON."""
    handler = BoundedHandler()
    handler.setFormatter(logs.build_formatter(role, name))
    logs.install(handler, level)
    return handler
