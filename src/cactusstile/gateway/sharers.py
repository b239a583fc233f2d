"""Number of gateways that share a limit of the site.

Each gateway uses its share without asking the others. The shares stay within
the limit across restarts, elections and new gateways because a gateway uses
none before it has followed control for a whole window, and divides by the
largest number of gateways within the last window.
"""

from __future__ import annotations

import collections
import logging

import attrs

logger = logging.getLogger(__name__)

# Time between two confirmations after which a gateway that does not know the
# number yet starts to count the window anew: three confirmation intervals. The
# leader may have changed, and the list of a new one is incomplete.
MAX_GAP_S = 1.2


@attrs.define
class Sharers:
    """Gateways that share a limit, as control confirms them.

    Attributes:
      window_s: Window of the limit, in seconds.
      count: Number of gateways that was confirmed last; 0 before the first.
      former: Numbers confirmed before, each with the loop time at which it was
        replaced, oldest first.
      since_s: Loop time at which the confirmations without a gap began.
      confirmed_s: Loop time of the last confirmation.
      settled: Whether control was followed for a whole window.
    """

    window_s: float
    count: int = 0
    former: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )
    since_s: float = float("-inf")
    confirmed_s: float = float("-inf")
    settled: bool = False

    def confirm(self, count: int, now_s: float) -> None:
        """Records the number of gateways, of which this one is one.

        >>> sharers = Sharers(window_s=2.0)
        >>> for at_s in (0.0, 1.0, 2.0):
        ...     sharers.confirm(4, at_s)
        ...     sharers.share(1.0, at_s)
        0.0
        0.0
        0.25
        """
        is_gap = now_s - self.confirmed_s > MAX_GAP_S
        if not self.settled and is_gap:
            self.since_s = now_s
        self.confirmed_s = now_s
        if now_s - self.since_s >= self.window_s:
            self.settled = True
        if count == self.count:
            return
        logger.info(
            "the retry budget is divided by another number",
            extra={"gateways": count, "before": self.count},
        )
        self.former.append((now_s, self.count))
        self.count = count

    def share(self, limit: float, now_s: float) -> float:
        """Returns this gateway's share of a limit; 0 until it is known."""
        if not self.settled:
            return 0.0
        return limit / self.most(now_s)

    def most(self, now_s: float) -> int:
        """Returns the largest number of gateways within the last window.

        After an election the gateways reconnect one after the other, and the
        list of them is incomplete.
        """
        while self.former and now_s - self.former[0][0] > self.window_s:
            self.former.popleft()
        former_counts = [count for _, count in self.former]
        return max(self.count, *former_counts, 1)
