"""Token bucket that limits transfers over a link."""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    import collections.abc

BURST_S = 0.25
BACKGROUND_MIN_FRACTION = 0.5
RECENT_HALF_LIFE_S = 10.0
BYTES_PER_GB = 1_000_000_000


class TokenBucket:
    """Token bucket whose tokens are bytes on a link.

    A transfer is granted in full and may make the level negative; the deficit
    divided by the bandwidth is the time until its last byte has been
    transferred. Foreground transfers, for which a caller waits, may queue up to
    a delay chosen by the caller. Background transfers are granted only while
    the bucket is at least `BACKGROUND_MIN_FRACTION` full, so that they use
    spare bandwidth only.

    Attributes:
      bytes_per_s: Bandwidth of the link.
      burst_bytes: Capacity of the bucket.
      price_per_gb: Cost of a transferred gigabyte, in a unit chosen by the
        operators.
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
        """Starts with a full bucket.

        Args:
          bytes_per_s: Bandwidth of the link.
          clock: Returns monotonic time in seconds.
          burst_bytes: Capacity of the bucket; None for `BURST_S` seconds at
            full bandwidth.
          price_per_gb: Cost of a transferred gigabyte.

        Raises:
          ValueError: If the bandwidth is not positive.
        """
        if bytes_per_s <= 0:
            raise ValueError("the bandwidth of a link must be above 0 bytes/s")
        self.bytes_per_s = bytes_per_s
        self.burst_bytes = burst_bytes or bytes_per_s * BURST_S
        self.price_per_gb = price_per_gb
        self.sent_bytes = 0
        self._clock = clock
        self._level = self.burst_bytes
        self._recent_bytes = 0.0
        self._refilled_s = clock()

    def delay_s(self, size: int) -> float:
        """Returns the duration of a transfer of `size` bytes started now.

        Includes the time for transfers that were granted earlier and are still
        in progress.
        """
        self._refill()
        deficit_bytes = max(0.0, -self._level)
        return (deficit_bytes + size) / self.bytes_per_s

    def try_take(self, size: int, max_delay_s: float) -> bool:
        """Grants a foreground transfer.

        Returns:
          Whether the transfer is granted; False if it would not complete
          within `max_delay_s` seconds.
        """
        if self.delay_s(size) > max_delay_s:
            return False
        self._take(size)
        return True

    def try_take_background(self, size: int) -> bool:
        """Grants a background transfer if the link has spare bandwidth."""
        self._refill()
        if self._level < self.burst_bytes * BACKGROUND_MIN_FRACTION:
            return False
        self._take(size)
        return True

    def refund(self, size: int) -> None:
        """Refunds bytes that were granted and not sent."""
        self._level = min(self.burst_bytes, self._level + size)
        self.sent_bytes -= size
        self._recent_bytes = max(0.0, self._recent_bytes - size)

    def recent_bytes_per_s(self) -> float:
        """Returns the rate of recently granted bytes.

        The mean decays exponentially with `RECENT_HALF_LIFE_S`.
        """
        self._refill()
        return self._recent_bytes * math.log(2) / RECENT_HALF_LIFE_S

    def price(self, size: int) -> float:
        """Returns the cost of `size` bytes, in the unit of `price_per_gb`."""
        return size / BYTES_PER_GB * self.price_per_gb

    def _take(self, size: int) -> None:
        self._level -= size
        self.sent_bytes += size
        self._recent_bytes += size

    def _refill(self) -> None:
        now_s = self._clock()
        elapsed_s = max(0.0, now_s - self._refilled_s)
        refill_bytes = elapsed_s * self.bytes_per_s
        self._level = min(self.burst_bytes, self._level + refill_bytes)
        self._recent_bytes *= 0.5 ** (elapsed_s / RECENT_HALF_LIFE_S)
        self._refilled_s = now_s
