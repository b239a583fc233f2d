from __future__ import annotations

import errno
import socket
import typing

import anyio
import pytest

from cactusstile.transport import listeners

pytestmark = pytest.mark.anyio


class FailingListener(socket.socket):
    """Listener whose accept fails with the given errors at first."""

    errors: typing.ClassVar[list[int]] = []

    def accept(self) -> tuple[socket.socket, typing.Any]:
        if self.errors:
            raise OSError(self.errors.pop(0), "scripted")
        return super().accept()


def refuse_once() -> listeners.Configure:
    """Returns a function that refuses the first connection that it gets."""
    refused: list[socket.socket] = []

    def configure(raw: socket.socket) -> None:
        if not refused:
            refused.append(raw)
            raise OSError(errno.EINVAL, "scripted")

    return configure


async def test_error_of_a_connection_ends_the_listener() -> None:
    names = (
        "EPROTO ENETDOWN ENETUNREACH EHOSTUNREACH EHOSTDOWN ENONET ENOPROTOOPT"
        " EOPNOTSUPP EPERM ENOBUFS ENOMEM EMFILE ENFILE ECONNABORTED ETIMEDOUT"
        " ECONNRESET EINTR"
    )
    numbers = [getattr(errno, name) for name in names.split()]
    with FailingListener() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        listener.errors.extend(numbers)
        place = listener.getsockname()
        with (
            socket.create_connection(place),
            socket.create_connection(place) as second,
            anyio.fail_after(5),
        ):
            raw = await listeners.accept(listener, refuse_once())
            with raw:
                assert raw.getpeername() == second.getsockname()


async def test_closed_listener_ends_its_loop() -> None:
    with socket.socket() as listener:
        listener.listen()
        listener.setblocking(False)
    with anyio.fail_after(1), pytest.raises(OSError, match="descriptor"):
        await listeners.accept(listener, lambda _: None)
