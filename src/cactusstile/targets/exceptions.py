"""Errors of calls to outside interfaces."""

from __future__ import annotations

from cactusstile import verdict


class TargetError(Exception):
    """Raised when a target did not answer a call as expected.

    Attributes:
      sent: Whether any byte of the call may have left this process.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        """Describes the failure by `message`."""
        super().__init__(message)
        self.sent = sent

    @property
    def verdict(self) -> verdict.Verdict:
        """Returns whether the call may have run."""
        if self.sent:
            return verdict.Verdict.MAY_HAVE_RUN
        return verdict.Verdict.NOT_RUN


class TargetStatusError(TargetError):
    """Raised when a target answered with an error status.

    Attributes:
      status: HTTP status.
    """

    def __init__(self, message: str, status: int) -> None:
        """Describes the answer by `message`."""
        super().__init__(message, sent=True)
        self.status = status
