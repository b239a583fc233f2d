"""Client of a plain service."""

from __future__ import annotations

import typing

from cactusstile.agent import messages
from cactusstile.targets import http

if typing.TYPE_CHECKING:
    import collections.abc

MAX_ANSWER_BYTES = 2 * 1024 * 1024
WORKSPACE_HEADER = "X-Workspace"
KEY_HEADER = "Idempotency-Key"
_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        KEY_HEADER.lower(),
        WORKSPACE_HEADER.lower(),
    )
)


def build_request(call: messages.ServiceCall) -> http.Request:
    """Returns the HTTP request of a call, naming workspace and key."""
    headers = _pass_on((item.name, item.value) for item in call.headers)
    headers.append((WORKSPACE_HEADER, call.workspace))
    headers.append((KEY_HEADER, call.request_key))
    path = call.path if call.path.startswith("/") else "/" + call.path
    return http.Request(call.method, path, call.body, tuple(headers))


def build_reply(response: http.Response) -> messages.ServiceReply:
    """Returns the message that carries a service's answer."""
    headers = tuple(
        messages.Header(name, value)
        for name, value in _pass_on(response.headers)
    )
    return messages.ServiceReply(response.status, headers, response.body)


async def call_service(
    target: http.HttpTarget, call: messages.ServiceCall, timeout_s: float
) -> messages.ServiceReply:
    """Returns the service's answer, whatever its status.

    Raises:
      TargetError: If there was no whole answer; says whether a byte left.
    """
    response = await target.call(
        build_request(call), timeout_s=timeout_s, max_bytes=MAX_ANSWER_BYTES
    )
    return build_reply(response)


def _pass_on(
    headers: collections.abc.Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_HEADERS
    ]
