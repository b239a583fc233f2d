"""Errors of control and its client."""

from __future__ import annotations


class ControlError(Exception):
    """Base of all errors of this package."""


class ControlUnavailableError(ControlError):
    """Raised when no leader answered; the call surely had no effect."""


class OutcomeUnknownError(ControlError):
    """Raised when a call may have taken effect, now or later."""


class CallRefusedError(ControlError):
    """Raised when control refused a call for good; it had no effect.

    Attributes:
      code: Stable name of the cause.
    """

    def __init__(self, code: str, message: str) -> None:
        """Names the cause by `code` and says what to do in `message`."""
        super().__init__(message)
        self.code = code


class ControlOverloadedError(ControlError):
    """Raised when control refuses for lack of room; the call had no effect.

    Attributes:
      retry_after_s: Seconds after which a retry is sensible.
    """

    def __init__(self, message: str, retry_after_s: float) -> None:
        """Stores the time after which a retry is sensible."""
        super().__init__(message)
        self.retry_after_s = retry_after_s


class SnapshotError(ControlError):
    """Raised when a snapshot of the state cannot be read."""
