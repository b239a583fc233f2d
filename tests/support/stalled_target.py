"""A target that works on one request and accepts no further connection."""

from __future__ import annotations

import collections.abc
import contextlib
import socket
import typing

import anyio
import anyio.abc
import attrs

from cactusstile.sites import model
from cactusstile.transport import address
from cactusstile.transport import listeners

if typing.TYPE_CHECKING:
    from tests.support import raw_target

# More than fit into the queue of connections that wait to be accepted.
WAITING_CONNECTIONS = 8


@attrs.frozen
class StalledTarget:
    """A target that runs one script and then accepts nothing more.

    Attributes:
      target: The target as it is in the platform's list.
    """

    target: model.Target


async def _read_head(stream: anyio.abc.SocketStream) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    return data


def _fill_queue(place: address.Address, stack: contextlib.ExitStack) -> None:
    """Opens connections until no more are accepted."""
    for _ in range(WAITING_CONNECTIONS):
        waiting = stack.enter_context(socket.socket())
        waiting.setblocking(False)
        waiting.connect_ex((place.host, place.port))


@contextlib.asynccontextmanager
async def open_target(
    script: raw_target.Script,
    *,
    closes_port: bool = False,
    **fields: typing.Any,
) -> collections.abc.AsyncIterator[StalledTarget]:
    """Opens a target whose queue is full while `script` runs, and after it.

    Args:
      script: Answers the only request.
      closes_port: Whether it closes its port instead, so that connections are
        refused.
      fields: Further fields of the listed target.
    """
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.setblocking(False)
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        place = address.Address(*listener.getsockname())
        listed = model.Target(
            service="plain", address=place, data_centre="d", slots=4, **fields
        )

        async def serve() -> None:
            raw = await listeners.accept(listener)
            async with await anyio.abc.SocketStream.from_socket(raw) as stream:
                request = await _read_head(stream)
                if closes_port:
                    listener.close()
                else:
                    _fill_queue(place, stack)
                await script(stream, request)

        async with anyio.create_task_group() as group:
            group.start_soon(serve)
            yield StalledTarget(listed)
            group.cancel_scope.cancel()
