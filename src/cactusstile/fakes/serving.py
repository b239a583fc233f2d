"""Serves an ASGI application on the running loop."""

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
    """Raised by a fake to break a connection off."""


def cut_off() -> responses.StreamingResponse:
    """Returns an answer that breaks off before its body."""

    async def body() -> collections.abc.AsyncIterator[bytes]:
        await anyio.lowlevel.checkpoint()
        raise InjectedDisconnectError("connection cut as asked")
        yield b""

    headers = {"Content-Length": "2"}
    return responses.StreamingResponse(body(), headers=headers)


@contextlib.asynccontextmanager
async def open_app(
    app: typing.Any, listen: address.Address | None = None
) -> collections.abc.AsyncIterator[address.Address]:
    """Serves `app` until the context is left; yields its address.

    Raises:
      OSError: If the address cannot be bound.
    """
    wanted = listen or address.Address("127.0.0.1", 0)
    family = socket.AF_INET6 if ":" in wanted.host else socket.AF_INET
    with socket.socket(
        family, socket.SOCK_STREAM, socket.IPPROTO_TCP
    ) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((wanted.host, wanted.port))
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
        served = http_listener.EmbeddedServer(config)
        async with anyio.create_task_group() as group:
            group.start_soon(served.serve, [listener])
            while not served.started:  # noqa: ASYNC110
                await anyio.sleep(START_POLL_S)
            port = listener.getsockname()[1]
            try:
                yield address.Address(wanted.host, port)
            finally:
                group.cancel_scope.cancel()
                _cut_connections(served)


def _cut_connections(served: uvicorn.Server) -> None:
    """Closes what a stopped server would leave open."""
    for listening in served.servers:
        listening.close()
    for connection in list(served.server_state.connections):
        connection.transport.abort()
    for task in served.server_state.tasks:
        task.cancel()
