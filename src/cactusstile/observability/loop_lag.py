"""Measures how long the event loop, and with it the process, stood still."""

from __future__ import annotations

import logging
import time
import typing

import anyio
import attrs
import prometheus_client

from cactusstile import clocks

logger = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.1
# Lag that counts as a pause. What waited during it may be as old as the pause.
PAUSE_S = 0.25
# Time after a pause in which what is read may have waited during it.
HELD_UP_WINDOW_S = 1.0
# Lag that is logged, and the shortest time between two such lines.
LOGGED_LAG_S = 0.5
LOG_INTERVAL_S = 1.0


@attrs.define
class LoopLag:
    """Lag of the event loop, suspension of the VM included.

    Attributes:
      paused_until_s: Loop time at which the end of the last pause was noticed;
        negative infinity if there was none.
      pause_s: Length of the last pause, in seconds.
      pauses: Number of pauses so far.
      max_lag_s: Longest lag since the metrics were last read, in seconds.
    """

    paused_until_s: float = float("-inf")
    pause_s: float = 0.0
    pauses: int = 0
    max_lag_s: float = 0.0
    _tick_s: float | None = None
    _tick_boot_s: float = 0.0
    _tick_steady_s: float = 0.0
    _tick_cpu_s: float = 0.0
    _logged_s: float = float("-inf")
    _unlogged: int = 0

    async def run(self) -> None:
        """Measures the lag for as long as the process runs."""
        self._tick_s = None
        while True:
            self.check(anyio.current_time())
            await anyio.sleep(TICK_INTERVAL_S)

    def check(self, now_s: float) -> float:
        """Notices a pause that has just ended; see `paused_until_s`.

        After a pause other tasks may run before the ticker does: they call
        this before they rely on what they know.
        """
        if self._tick_s is None:
            self._set_tick(now_s)
            return self.paused_until_s
        boot_s = clocks.boot_s() - self._tick_boot_s
        elapsed_s = max(now_s - self._tick_s, boot_s)
        if elapsed_s < TICK_INTERVAL_S:
            # The ticker is not late.
            return self.paused_until_s
        lag_s = elapsed_s - TICK_INTERVAL_S
        self.max_lag_s = max(self.max_lag_s, lag_s)
        if lag_s > PAUSE_S:
            self.paused_until_s = now_s
            self.pause_s = lag_s
            self.pauses += 1
        if lag_s > LOGGED_LAG_S:
            steady_s = time.monotonic() - self._tick_steady_s
            self._log(now_s, lag_s, max(0.0, boot_s - steady_s))
        self._set_tick(now_s)
        return self.paused_until_s

    def held_up_s(self) -> float:
        """Returns for how long what arrives now may have waited, in seconds."""
        now_s = anyio.current_time()
        is_recent = now_s - self.check(now_s) < HELD_UP_WINDOW_S
        return self.pause_s if is_recent else 0.0

    def _set_tick(self, now_s: float) -> None:
        self._tick_s = now_s
        self._tick_boot_s = clocks.boot_s()
        self._tick_steady_s = time.monotonic()
        self._tick_cpu_s = time.process_time()

    def _log(self, now_s: float, lag_s: float, suspended_s: float) -> None:
        """Logs a pause, unless one was logged within the last second."""
        if now_s - self._logged_s < LOG_INTERVAL_S:
            self._unlogged += 1
            return
        used_s = time.process_time() - self._tick_cpu_s
        logger.warning(
            "event loop stood still",
            extra={
                "lag_ms": round(lag_s * 1000),
                "processor_ms": round(used_s * 1000),
                "suspended_ms": round(suspended_s * 1000),
                "not_logged": self._unlogged,
            },
        )
        self._logged_s = now_s
        self._unlogged = 0

    def describe(self, now_s: float) -> dict[str, typing.Any]:
        """Returns the fields of the state dump."""
        ended_s = now_s - self.paused_until_s
        return {
            "pauses": self.pauses,
            "last_pause_ms": round(self.pause_s * 1000),
            "ended_ms_ago": round(ended_s * 1000) if self.pauses else -1,
            "max_lag_ms": round(self.max_lag_s * 1000),
        }

    def show(self, registry: prometheus_client.CollectorRegistry) -> None:
        """Adds the metrics to `registry`; reading them resets the maximum."""
        longest = prometheus_client.Gauge(
            "cactusstile_loop_max_lag_seconds",
            "Longest lag of the event loop since the last reading.",
            registry=registry,
        )
        longest.set_function(self._take_max_lag_s)
        pauses = prometheus_client.Gauge(
            "cactusstile_loop_pauses",
            "Times that the event loop stood still for more than 0.25 s.",
            registry=registry,
        )
        pauses.set_function(lambda: self.pauses)

    def _take_max_lag_s(self) -> float:
        longest_s, self.max_lag_s = self.max_lag_s, 0.0
        return longest_s
