"""One HTTP exchange on its way through the chain of filters."""

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
    """State of one exchange; filters fill it in as it passes.

    Attributes:
      scope: ASGI scope.
      receive: ASGI receiver.
      send: ASGI sender.
      headers: Request headers by lower-case name; the last one wins.
      started_s: Time of arrival on the loop's clock.
      workspace: Workspace of the caller, once authenticated.
      body: Request body, once read.
      priority: Larger first.
      deadline_s: Deadline on the loop's clock; infinite without one.
      repeatable: Whether the request may run more than once; None when the
        caller does not say.
      request_key: Identity of the request within its workspace.
      status: Status sent; 0 before the response starts.
      finished: Whether the whole response was handed over.
      write_started_s: Time at which the write under way began; infinite
        while none is.
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
        """Sends status and headers."""
        self.status = status
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def write(self, data: bytes, *, more: bool = True) -> None:
        """Sends a part of the body; waits while the caller is slow."""
        self.write_started_s = anyio.current_time()
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )
        self.write_started_s = math.inf
        self.finished = not more

    async def answer(
        self, status: int, body: bytes, headers: Headers = (JSON_TYPE,)
    ) -> None:
        """Sends a whole response."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        await self.write(body, more=False)


def build(scope: Scope, receive: Receive, send: Send) -> Exchange:
    """Returns a fresh exchange for an ASGI call."""
    headers = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in scope["headers"]
    }
    return Exchange(scope, receive, send, headers, anyio.current_time())
