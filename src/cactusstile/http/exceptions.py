"""Errors of HTTP connections."""

from __future__ import annotations


class HttpError(Exception):
    """Base of all errors of this package."""


class ConnectionEndedError(HttpError):
    """Raised when a peer closed or reset the connection."""


class MalformedError(HttpError):
    """Raised when a peer sent bytes that are not valid HTTP here.

    Attributes:
      status: Status that tells a caller what was wrong.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        """Describes what was wrong by `message` and `status`."""
        super().__init__(message)
        self.status = status


class UnreachableError(HttpError):
    """Raised when no connection could be opened; nothing was sent."""
