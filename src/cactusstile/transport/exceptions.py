"""Errors of the transport."""

from __future__ import annotations


class TransportError(Exception):
    """Base class of transport errors."""


class ProtocolError(TransportError):
    """Raised when a peer violates the protocol; the connection is closed."""


class AuthenticationError(TransportError):
    """Raised when a peer does not prove that it has the shared secret."""


class VersionError(TransportError):
    """Raised when two peers have no protocol version in common."""


class ConnectionLostError(TransportError):
    """Raised when a connection fails while a call is open.

    Attributes:
      sent: Whether any byte of the call may have been sent. False guarantees
        that the peer has not received the call.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        """Creates an error with the text `message`."""
        super().__init__(message)
        self.sent = sent


class CallTimeoutError(ConnectionLostError):
    """Raised when a call times out before its answer arrives."""


class RemoteError(TransportError):
    """Raised when the peer answers a call with an error.

    Attributes:
      code: Stable error code, chosen by the handler.
      message: Description of the error.
      detail: Additional data; its meaning depends on `code`.
    """

    def __init__(self, code: str, message: str, detail: str = "") -> None:
        """Creates an error with a code, a description and additional data."""
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message
        self.detail = detail
