"""Client of a plain service."""

from __future__ import annotations

import typing

from cactusstile.agent import messages
from cactusstile.http import messages as http_messages
from cactusstile.targets import http

if typing.TYPE_CHECKING:
    import collections.abc

MAX_ANSWER_BYTES = 2 * 1024 * 1024
WORKSPACE_HEADER = "X-Workspace"
KEY_HEADER = "Idempotency-Key"
_DROPPED_FIELDS = frozenset(
    (
        b"content-length",
        b"host",
        KEY_HEADER.lower().encode(),
        WORKSPACE_HEADER.lower().encode(),
    )
)


def build_request(call: messages.ServiceCall) -> http.Request:
    """Returns the HTTP request of a call, with workspace and key headers."""
    headers = _end_to_end_headers(
        (item.name, item.value) for item in call.headers
    )
    headers.append((WORKSPACE_HEADER, call.workspace))
    headers.append((KEY_HEADER, call.request_key))
    path = call.path if call.path.startswith("/") else "/" + call.path
    return http.Request(call.method, path, call.body, tuple(headers))


def build_reply(response: http.Response) -> messages.ServiceReply:
    """Returns the reply message for a service's response."""
    headers = tuple(
        messages.Header(name, value)
        for name, value in _end_to_end_headers(response.headers)
    )
    return messages.ServiceReply(response.status, headers, response.body)


async def call_service(
    target: http.HttpTarget, call: messages.ServiceCall, timeout_s: float
) -> messages.ServiceReply:
    """Returns the service's response, regardless of its status.

    Args:
      target: Connections to the service.
      call: The call to forward.
      timeout_s: Timeout of the complete call.

    Raises:
      TargetError: If the response was not complete; its `sent` attribute
        reports whether any byte of the call may have been sent.
    """
    response = await target.call(
        build_request(call), timeout_s=timeout_s, max_bytes=MAX_ANSWER_BYTES
    )
    return build_reply(response)


def _end_to_end_headers(
    headers: collections.abc.Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Returns the fields that are not of one connection, in lower case."""
    fields = tuple(
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in headers
    )
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in http_messages.end_to_end(fields, _DROPPED_FIELDS)
    ]
