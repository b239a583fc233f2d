"""Token bucket of a limited link."""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    import collections.abc

BURST_S = 0.25
BACKGROUND_RESERVE = 0.5
RECENT_HALF_LIFE_S = 10.0
BYTES_PER_GB = 1_000_000_000


class TokenBucket:
    """Bytes that a link has room for.

    A transfer is granted as a whole and may leave the bucket in debt; the debt
    is the time until its last byte is through. Transfers that a caller waits
    for may queue behind each other up to a bound given by the caller.
    Background transfers are granted only while the bucket is at least
    `BACKGROUND_RESERVE` full, so that they take what is left over.

    Attributes:
      bytes_per_s: Bandwidth of the link.
      burst_bytes: Size of the bucket.
      price_per_gb: Cost of a transferred gigabyte, in the operators' unit.
      sent_bytes: Bytes granted so far.
    """

    def __init__(
        self,
        bytes_per_s: float,
        clock: collections.abc.Callable[[], float],
        *,
        burst_bytes: float | None = None,
        price_per_gb: float = 0.0,
    ) -> None:
        """Starts full; `clock` returns monotonic seconds."""
        if bytes_per_s <= 0:
            raise ValueError("a link needs a bandwidth above 0 bytes/s")
        self.bytes_per_s = bytes_per_s
        self.burst_bytes = burst_bytes or bytes_per_s * BURST_S
        self.price_per_gb = price_per_gb
        self.sent_bytes = 0
        self._clock = clock
        self._level = self.burst_bytes
        self._recent_bytes = 0.0
        self._refilled_s = clock()

    def delay_s(self, size: int) -> float:
        """Returns how long a transfer of `size` bytes takes if begun now.

        Covers what was granted before and is still under way.
        """
        self._refill()
        debt = max(0.0, -self._level)
        return (debt + size) / self.bytes_per_s

    def try_take(self, size: int, max_delay_s: float) -> bool:
        """Grants a transfer that a caller waits for.

        Returns:
          Whether it is granted; False if it would not be through within
          `max_delay_s` seconds.
        """
        if self.delay_s(size) > max_delay_s:
            return False
        self._take(size)
        return True

    def try_take_background(self, size: int) -> bool:
        """Grants a transfer that no caller waits for, if the link is idle."""
        self._refill()
        if self._level < self.burst_bytes * BACKGROUND_RESERVE:
            return False
        self._take(size)
        return True

    def give_back(self, size: int) -> None:
        """Returns bytes that were granted and not sent."""
        self._level = min(self.burst_bytes, self._level + size)
        self.sent_bytes -= size
        self._recent_bytes = max(0.0, self._recent_bytes - size)

    def recent_bytes_per_s(self) -> float:
        """Returns the mean rate of what was granted of late."""
        self._refill()
        return self._recent_bytes * math.log(2) / RECENT_HALF_LIFE_S

    def price(self, size: int) -> float:
        """Returns the cost of `size` bytes, in the operators' unit."""
        return size / BYTES_PER_GB * self.price_per_gb

    def _take(self, size: int) -> None:
        self._level -= size
        self.sent_bytes += size
        self._recent_bytes += size

    def _refill(self) -> None:
        now_s = self._clock()
        elapsed_s = max(0.0, now_s - self._refilled_s)
        gained = elapsed_s * self.bytes_per_s
        self._level = min(self.burst_bytes, self._level + gained)
        self._recent_bytes *= 0.5 ** (elapsed_s / RECENT_HALF_LIFE_S)
        self._refilled_s = now_s
