"""Number of gateways that share a limit of the site.

Each gateway uses its share without asking the others. Within any window the
shares stay within the limit across restarts, elections, cuts and new gateways:

- A gateway that starts waits `SETTLING_WINDOWS` before it uses its share. That
  of its predecessor, and of gateways that were told of it late, has expired.
- A gateway that lost control stops within `LOSS_WINDOWS`, a whole window before
  the others divide its share among themselves.
- A smaller number of gateways counts only after `SETTLING_WINDOWS`, since the
  list of a new leader is incomplete.
"""

from __future__ import annotations

import collections
import logging

import attrs

logger = logging.getLogger(__name__)

# Windows without a confirmation after which a gateway uses no share.
LOSS_WINDOWS = 0.5
# Windows for which a gateway follows control before it uses its share, and for
# which a larger number holds after it was replaced.
SETTLING_WINDOWS = LOSS_WINDOWS + 1.0
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
      settled: Whether control was followed for long enough before the last
        confirmation.
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
        >>> for at_s in (0.0, 1.0, 2.0, 3.0):
        ...     sharers.confirm(4, at_s)
        ...     sharers.share(1.0, at_s)
        0.0
        0.0
        0.0
        0.25
        """
        was_settled = self.is_settled(now_s)
        if not was_settled and now_s - self.confirmed_s > MAX_GAP_S:
            self.since_s = now_s
        self.confirmed_s = now_s
        settling_s = SETTLING_WINDOWS * self.window_s
        self.settled = was_settled or now_s - self.since_s >= settling_s
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
        if not self.is_settled(now_s):
            return 0.0
        return limit / self.most(now_s)

    def is_settled(self, now_s: float) -> bool:
        """Returns whether the number of gateways is known."""
        silent_s = now_s - self.confirmed_s
        return self.settled and silent_s <= LOSS_WINDOWS * self.window_s

    def most(self, now_s: float) -> int:
        """Returns the largest number of gateways lately.

        After an election the gateways reconnect one after the other, and the
        list of them is incomplete.
        """
        oldest_s = now_s - SETTLING_WINDOWS * self.window_s
        while self.former and self.former[0][0] < oldest_s:
            self.former.popleft()
        former_counts = [count for _, count in self.former]
        return max(self.count, *former_counts, 1)
