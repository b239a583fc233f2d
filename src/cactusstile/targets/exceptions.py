"""Errors of calls to external interfaces."""

from __future__ import annotations

from cactusstile import verdict

_CLIENT_ERRORS = range(400, 500)


class TargetError(Exception):
    """Raised when a target does not answer a call as expected.

    Attributes:
      sent: Whether any byte of the call may have left this process.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        """Creates an error with a description of the failure."""
        super().__init__(message)
        self.sent = sent

    @property
    def verdict(self) -> verdict.Verdict:
        """Whether the call may have run."""
        if self.sent:
            return verdict.Verdict.MAY_HAVE_RUN
        return verdict.Verdict.NOT_RUN

    @property
    def was_refused(self) -> bool:
        """Whether the target certainly did not take this call."""
        return not self.sent


class TargetStatusError(TargetError):
    """Raised when a target answers with an error status.

    Attributes:
      status: HTTP status.
    """

    def __init__(self, message: str, status: int) -> None:
        """Creates an error with a description of the answer."""
        super().__init__(message, sent=True)
        self.status = status

    @property
    def was_refused(self) -> bool:
        """Whether the target certainly did not take this call."""
        return self.status in _CLIENT_ERRORS


# Raised by parsers of answers that do not have the expected form.
MALFORMED = (
    ValueError,
    KeyError,
    TypeError,
    IndexError,
    OverflowError,
    RecursionError,
)
