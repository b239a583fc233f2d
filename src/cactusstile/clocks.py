"""Clocks of this machine; processes run by the first, see `event_loops`."""

from __future__ import annotations

import time


def boot_s() -> float:
    """Returns seconds since boot, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Returns the time of day, in ms since 1970; it may step."""
    return time.time_ns() // 1_000_000
