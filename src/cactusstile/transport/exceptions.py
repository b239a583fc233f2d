"""Errors of the transport."""

from __future__ import annotations


class TransportError(Exception):
    """Base of all errors of the transport."""


class ProtocolError(TransportError):
    """Raised when a peer breaks the protocol; the connection is closed."""


class AuthenticationError(TransportError):
    """Raised when a peer does not prove the shared deployment secret."""


class VersionError(TransportError):
    """Raised when two peers share no version of the protocol."""


class ConnectionLostError(TransportError):
    """Raised when a connection fails while a call is open.

    Attributes:
      sent: Whether any byte of the call may have left this process. False
        means that the peer surely did not see the call.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        """Describes the loss by `message`."""
        super().__init__(message)
        self.sent = sent


class CallTimeoutError(ConnectionLostError):
    """Raised when a call's time is over before its answer arrived."""


class RemoteError(TransportError):
    """Raised when the peer answered a call with an error.

    Attributes:
      code: Stable name of the error, chosen by the handler.
      detail: Further data of the error; its meaning depends on the code.
    """

    def __init__(self, code: str, message: str, detail: str = "") -> None:
        """Carries the error's `code`, text and `detail`."""
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message
        self.detail = detail
