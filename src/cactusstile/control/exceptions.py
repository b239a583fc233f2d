"""Errors of control and its client."""

from __future__ import annotations


class ControlError(Exception):
    """Base of all errors of this package."""


class ControlUnavailableError(ControlError):
    """Raised when no leader answered; the call had no effect."""


class OutcomeUnknownError(ControlError):
    """Raised when a call may have taken effect, now or later."""


class CallRefusedError(ControlError):
    """Raised when control refused a call permanently; it had no effect.

    Attributes:
      code: Stable name of the cause.
    """

    def __init__(self, code: str, message: str) -> None:
        """Stores the code of the cause; `message` explains it."""
        super().__init__(message)
        self.code = code


class ControlOverloadedError(ControlError):
    """Raised when control lacks capacity for a call; it had no effect.

    Attributes:
      retry_after_s: Recommended delay before a retry, in seconds.
    """

    def __init__(self, message: str, retry_after_s: float) -> None:
        """Stores the recommended delay before a retry."""
        super().__init__(message)
        self.retry_after_s = retry_after_s


class SnapshotError(ControlError):
    """Raised when a snapshot is damaged or of the wrong type."""
