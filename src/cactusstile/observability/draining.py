"""Ends HTTP connections without losing requests that are on their way."""

from __future__ import annotations

import collections.abc
import itertools
import typing

import anyio
from uvicorn.protocols.http import h11_impl

# Idle time after which no further request is expected on a connection. It is
# counted in polls, so that it does not pass while the event loop is held up.
POLL_INTERVAL_S = 0.05
IDLE_POLLS = 10
_CLOSE = (b"connection", b"close")

# Uvicorn describes connections by a union of its protocols; this project uses
# the one of h11.
Connection = h11_impl.H11Protocol


def announce_close(
    app: typing.Any, is_closing: collections.abc.Callable[[], bool]
) -> typing.Any:
    """Returns `app` with answers that announce the end of their connection.

    Args:
      app: ASGI application.
      is_closing: Returns whether an answer that begins now is the last one of
        its connection.
    """

    async def serve(
        scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        async def send_closing(message: typing.Any) -> None:
            if message["type"] == "http.response.start" and is_closing():
                headers = [*message.get("headers", ()), _CLOSE]
                message = {**message, "headers": headers}
            await send(message)

        await app(scope, receive, send_closing)

    return serve


async def close_when_idle(connections: collections.abc.Set[Connection]) -> None:
    """Closes each connection once it is idle, until none is left.

    An answer that did not announce the end of its connection may be followed
    by a request that is on its way when the answer ends. So a connection is
    idle only after `IDLE_POLLS` polls without a request. Connections whose TLS
    handshake is not complete get as much time.

    Args:
      connections: Open connections; the server adds and removes them.
    """
    idle: dict[Connection, tuple[object, int]] = {}
    for poll in itertools.count(1):
        await anyio.sleep(POLL_INTERVAL_S)
        if not connections and poll >= IDLE_POLLS:
            return
        for connection in list(connections):
            cycle = connection.cycle
            if cycle is not None and not cycle.response_complete:
                idle.pop(connection, None)
                continue
            last_cycle, idle_polls = idle.get(connection, (cycle, 0))
            idle_polls = idle_polls + 1 if cycle is last_cycle else 1
            idle[connection] = (cycle, idle_polls)
            if idle_polls >= IDLE_POLLS:
                connection.shutdown()
