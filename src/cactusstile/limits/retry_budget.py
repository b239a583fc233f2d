"""Retry budget: retries stay a bounded share of traffic."""

from __future__ import annotations

DEFAULT_SHARE = 0.1
DEFAULT_BURST = 20.0


class RetryBudget:
    """Counts how many retries may still be sent.

    Each request earns a share of a retry; each retry spends a whole one. The
    balance starts full, so that a quiet process can retry too.

    Attributes:
      share: Retries allowed per request in the long run.
      burst: Bound on the balance.
      balance: Retries that may be sent now.
      denied: Count of retries that were not allowed.
    """

    def __init__(
        self, share: float = DEFAULT_SHARE, burst: float = DEFAULT_BURST
    ) -> None:
        """Starts with a full balance."""
        self.share = share
        self.burst = burst
        self.balance = burst
        self.denied = 0

    def earn(self) -> None:
        """Counts a first attempt."""
        self.balance = min(self.burst, self.balance + self.share)

    def spend(self) -> bool:
        """Takes one retry and returns whether it was there.

        >>> budget = RetryBudget(burst=1)
        >>> budget.spend(), budget.spend(), budget.denied
        (True, False, 1)
        """
        if self.balance < 1:
            self.denied += 1
            return False
        self.balance -= 1
        return True
