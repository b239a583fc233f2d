"""A target that answers a part and resets, while a request is being written."""

from __future__ import annotations

import collections.abc
import contextlib
import socket
import struct

import anyio
import attrs
from tests.support import raw_target

from cactusstile.sites import model
from cactusstile.transport import address
from cactusstile.transport import listeners

RECEIVE_BUFFER_BYTES = 4 << 10
# More than the operating system takes while the target reads nothing.
LONG_REQUEST_BYTES = 8 << 20
# Time in which the caller writes what the operating system takes.
WRITING_S = 0.1
_LINGER_ZERO = struct.pack("ii", 1, 0)


@attrs.frozen
class ResettingTarget:
    """A target that resets its first connection.

    Attributes:
      target: The target as it is in the platform's list.
    """

    target: model.Target


async def _reset_after(raw: socket.socket, data: bytes, *, ended: bool) -> None:
    """Sends `data`; the answer and the reset arrive at the same time."""
    request = b""
    while b"\r\n\r\n" not in request:
        await anyio.wait_readable(raw)
        request += raw.recv(RECEIVE_BUFFER_BYTES)
    await anyio.sleep(WRITING_S)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    raw.send(data.replace(b"%(id)s", raw_target.request_id(request)))
    if ended:
        raw.shutdown(socket.SHUT_WR)
    raw.close()


@contextlib.asynccontextmanager
async def open_target(
    data: bytes, *, ended: bool = False
) -> collections.abc.AsyncIterator[ResettingTarget]:
    """Opens a target that answers its only request by `data` and a reset.

    Args:
      data: Start of an answer; `%(id)s` stands for the id of the request.
      ended: Whether the connection is ended properly before the reset.
    """
    async with contextlib.AsyncExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.setblocking(False)
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind(("127.0.0.1", 0))
        listener.listen()

        async def serve() -> None:
            with await listeners.accept(listener) as raw:
                await _reset_after(raw, data, ended=ended)

        group = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(group.cancel_scope.cancel)
        group.start_soon(serve)
        yield ResettingTarget(
            model.Target(
                id="resetting",
                service="plain",
                address=address.Address(*listener.getsockname()),
                data_centre="here",
                slots=4,
            )
        )
