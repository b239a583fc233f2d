"""Retry budget that limits retries to a fraction of the requests."""

from __future__ import annotations

DEFAULT_FRACTION = 0.1
DEFAULT_BURST = 20.0


class RetryBudget:
    """Balance of retries that may be sent.

    Each first attempt adds `fraction` to the balance; each retry subtracts 1.
    The balance starts full, so that a process with little traffic can retry.

    Attributes:
      fraction: Retries allowed per request in the long run.
      burst: Maximum balance.
      balance: Number of retries that may be sent now.
      denied: Number of retries that were denied.
    """

    def __init__(
        self, fraction: float = DEFAULT_FRACTION, burst: float = DEFAULT_BURST
    ) -> None:
        """Starts with a full balance."""
        self.fraction = fraction
        self.burst = burst
        self.balance = burst
        self.denied = 0

    def earn(self) -> None:
        """Adds the retry credit of a first attempt."""
        self.balance = min(self.burst, self.balance + self.fraction)

    def spend(self) -> bool:
        """Subtracts one retry; returns whether the balance allowed it.

        >>> budget = RetryBudget(burst=1)
        >>> budget.spend(), budget.spend(), budget.denied
        (True, False, 1)
        """
        if self.balance < 1:
            self.denied += 1
            return False
        self.balance -= 1
        return True
