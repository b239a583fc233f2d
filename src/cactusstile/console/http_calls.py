"""HTTP calls of commands."""

from __future__ import annotations

import typing

import httpcore

from cactusstile.console import exceptions
from cactusstile.http import messages

if typing.TYPE_CHECKING:
    import collections.abc

    Trace = collections.abc.Callable[[str, object], None]

_STEPS = ("connect", "read", "write", "pool")
_FAILED_WRITES = (
    "http11.send_request_headers.failed",
    "http11.send_request_body.failed",
)
_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    # Raised for an address that is none.
    httpcore.UnsupportedProtocol,
    ValueError,
)


def request(
    method: str,
    url: str | bytes,
    *,
    timeout_s: float,
    headers: collections.abc.Mapping[str | bytes, str | bytes] | None = None,
    content: bytes | None = None,
) -> httpcore.Response:
    """Returns the complete response to a request.

    Args:
      method: HTTP method.
      url: Address of the process, and path.
      timeout_s: Timeout of each step of the call, in seconds.
      headers: Header fields.
      content: Body of the request.

    Raises:
      NoAnswerError: There was no response, it is malformed, or it may not be
        complete.
    """
    timeouts = dict.fromkeys(_STEPS, timeout_s)
    failed: list[str] = []
    extensions = {"timeout": timeouts, "trace": _record_failed_writes(failed)}
    try:
        response = httpcore.request(
            method, url, headers=headers, content=content, extensions=extensions
        )
    except _ERRORS as error:
        raise exceptions.NoAnswerError(str(error)) from error
    # The library drops the error of a write. The operating system reports a
    # reset only once: the end of stream that was read then is no proper end.
    fields = tuple((name.lower(), value) for name, value in response.headers)
    if failed and not messages.is_framed(fields):
        raise exceptions.NoAnswerError("the connection was reset")
    return response


def _record_failed_writes(failed: list[str]) -> Trace:
    """Returns a function that adds the steps that failed to a list."""

    def record(event: str, details: object) -> None:
        del details
        if event in _FAILED_WRITES:
            failed.append(event)

    return record
