"""HTTP exchange that the filter chain processes."""

from __future__ import annotations

import collections.abc
import math
import typing

import anyio
import attrs

from cactusstile.state import model

Scope: typing.TypeAlias = typing.Any
Receive: typing.TypeAlias = collections.abc.Callable[
    [], collections.abc.Awaitable[typing.Any]
]
Send: typing.TypeAlias = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[None]
]
Headers: typing.TypeAlias = collections.abc.Sequence[tuple[bytes, bytes]]

ANONYMOUS = model.Workspace("", ())
JSON_TYPE = (b"content-type", b"application/json")


@attrs.define
class Exchange:
    """State of one HTTP exchange, filled in by the filters.

    Attributes:
      scope: ASGI scope.
      receive: ASGI receiver.
      send: ASGI sender.
      headers: Request headers by lower-case name; the last value wins.
      started_s: Time of arrival in seconds on the event loop's clock.
      workspace: Workspace of the caller, once authenticated.
      body: Request body, once read.
      priority: Requests with a larger value go first.
      deadline_s: Deadline in seconds on the event loop's clock; infinite if
        there is none.
      repeatable: Whether the request may run more than once; None if the
        caller does not specify it.
      request_key: Identifier of the request, unique within its workspace.
      status: Status code that was sent; 0 before the response starts.
      finished: Whether the complete response was passed to the server.
      write_started_s: Time at which the current write began, in seconds on the
        event loop's clock; infinite if there is none.
    """

    scope: Scope
    receive: Receive
    send: Send
    headers: dict[str, str]
    started_s: float
    workspace: model.Workspace = ANONYMOUS
    body: bytes = b""
    priority: int = 0
    deadline_s: float = math.inf
    repeatable: bool | None = None
    request_key: str = ""
    status: int = 0
    finished: bool = False
    write_started_s: float = math.inf

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the status code and headers."""
        self.status = status
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def write(self, data: bytes, *, more: bool = True) -> None:
        """Sends a part of the body; blocks while the caller is slow."""
        self.write_started_s = anyio.current_time()
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )
        self.write_started_s = math.inf
        self.finished = not more

    async def answer(
        self, status: int, body: bytes, headers: Headers = (JSON_TYPE,)
    ) -> None:
        """Sends a complete response."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        await self.write(body, more=False)


def build(scope: Scope, receive: Receive, send: Send) -> Exchange:
    """Returns a new exchange for an ASGI call."""
    headers = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in scope["headers"]
    }
    return Exchange(scope, receive, send, headers, anyio.current_time())
