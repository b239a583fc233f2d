"""Requests of callers that have left while the process stood still."""

from __future__ import annotations

import socket

import anyio
import pytest

from cactusstile.http import callers
from cactusstile.http import messages
from cactusstile.http import responder as responders
from cactusstile.http import sockets
from cactusstile.transport import address

pytestmark = pytest.mark.anyio
REQUEST = b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\nx"


@pytest.mark.parametrize(("leaves", "handled"), [(True, 1), (False, 2)])
async def test_request_whose_caller_left_in_a_pause_is_handled(
    *, leaves: bool, handled: int
) -> None:
    bodies: list[bytes] = []

    async def handle(
        request: messages.Request, responder: responders.Responder
    ) -> None:
        bodies.append(request.body)
        await responder.respond(200, (), b"")

    listener = sockets.listen(address.Address("127.0.0.1", 0))
    place = listener.getsockname()
    serving = callers.internal_serving(handle)
    serving.skips_departed = True
    async with anyio.create_task_group() as group:
        group.start_soon(callers.serve_listener, listener, serving, group)
        with socket.create_connection(place) as caller:
            caller.sendall(REQUEST)
            await anyio.sleep(0.1)
            assert len(bodies) == 1
            # The event loop stands still between these two.
            caller.sendall(REQUEST)
            if leaves:
                caller.shutdown(socket.SHUT_WR)
            await anyio.sleep(0.1)
        assert len(bodies) == handled
        group.cancel_scope.cancel()
