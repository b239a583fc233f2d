"""Serves an ASGI application on the running event loop."""

from __future__ import annotations

import contextlib
import socket
import typing

import anyio
import anyio.lowlevel
import uvicorn
from starlette import responses

from cactusstile.observability import http_listener
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    import collections.abc

START_POLL_S = 0.005
KEEP_ALIVE_S = 60


class InjectedDisconnectError(Exception):
    """Raised by a test double to abort a connection."""


def cut_off() -> responses.StreamingResponse:
    """Returns a response whose connection is aborted before the body."""

    async def body() -> collections.abc.AsyncIterator[bytes]:
        await anyio.lowlevel.checkpoint()
        raise InjectedDisconnectError("connection aborted by fault injection")
        yield b""

    headers = {"Content-Length": "2"}
    return responses.StreamingResponse(body(), headers=headers)


@contextlib.asynccontextmanager
async def open_app(
    app: typing.Any, listen: address.Address | None = None
) -> collections.abc.AsyncIterator[address.Address]:
    """Serves `app` while the context is open; yields the bound address.

    Args:
      app: ASGI application.
      listen: Address to bind; None binds a free port of 127.0.0.1.

    Raises:
      OSError: If the address cannot be bound.
    """
    requested = listen or address.Address("127.0.0.1", 0)
    family = socket.AF_INET6 if ":" in requested.host else socket.AF_INET
    with socket.socket(
        family, socket.SOCK_STREAM, socket.IPPROTO_TCP
    ) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((requested.host, requested.port))
        config = uvicorn.Config(
            app,
            lifespan="off",
            log_config=None,
            access_log=False,
            http="h11",
            ws="none",
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=1,
        )
        app_server = http_listener.EmbeddedServer(config)
        async with anyio.create_task_group() as group:
            group.start_soon(app_server.serve, [listener])
            while not app_server.started:  # noqa: ASYNC110
                await anyio.sleep(START_POLL_S)
            port = listener.getsockname()[1]
            try:
                yield address.Address(requested.host, port)
            finally:
                group.cancel_scope.cancel()
                _abort_connections(app_server)


def _abort_connections(app_server: uvicorn.Server) -> None:
    """Closes listeners and connections that a stopped server leaves open."""
    for listener_server in app_server.servers:
        listener_server.close()
    for connection in list(app_server.server_state.connections):
        connection.transport.abort()
    for task in app_server.server_state.tasks:
        task.cancel()
