"""Resident memory of the current process."""

from __future__ import annotations

import gc
import pathlib


def resident_bytes() -> int:
    """Returns the resident bytes after a garbage collection."""
    gc.collect()
    status = pathlib.Path("/proc/self/status").read_text()
    line = next(
        line for line in status.splitlines() if line.startswith("VmRSS")
    )
    return int(line.split()[1]) * 1024
