"""Resident memory of the process that measures."""

from __future__ import annotations

import gc
import pathlib


def resident_bytes() -> int:
    """Returns the resident bytes after a collection of garbage."""
    gc.collect()
    status = pathlib.Path("/proc/self/status").read_text()
    line = next(
        line for line in status.splitlines() if line.startswith("VmRSS")
    )
    return int(line.split()[1]) * 1024
