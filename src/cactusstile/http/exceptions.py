"""Errors of HTTP connections."""

from __future__ import annotations


class HttpError(Exception):
    """Base class of HTTP connection errors."""


class ConnectionEndedError(HttpError):
    """Raised when a peer closed or reset the connection."""


class MalformedError(HttpError):
    """Raised when a peer sent invalid or unsupported HTTP.

    Attributes:
      status: Status code of the response to a caller.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        """Creates an error that a caller receives with `status`."""
        super().__init__(message)
        self.status = status


class UnreachableError(HttpError):
    """Raised when no connection could be opened; nothing was sent."""


class RefusedConnectionError(UnreachableError):
    """Raised when the peer's VM replies that nothing listens at the address."""


class ConnectTimeoutError(UnreachableError):
    """Raised when no reply to a connection request came in time."""
