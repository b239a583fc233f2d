from __future__ import annotations

import contextlib
import errno
import socket

import anyio
import pytest

from cactusstile.http import exceptions
from cactusstile.http import sockets
from cactusstile.http import targets
from cactusstile.transport import address

pytestmark = pytest.mark.anyio


@contextlib.contextmanager
def listening(backlog: int = 5):  # type: ignore[no-untyped-def]
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(backlog)
        yield listener, address.Address(*listener.getsockname())


async def test_missing_descriptors_are_no_fault_of_the_program(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*_: object) -> socket.socket:
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(socket, "socket", fail)
    with pytest.raises(exceptions.UnreachableError, match="too many"):
        await sockets.connect(address.Address("127.0.0.1", 1), 1.0)


async def test_port_without_a_listener_refuses_at_once() -> None:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        place = address.Address(*probe.getsockname())
        with pytest.raises(exceptions.UnreachableError, match="ECONNREFUSED"):
            await sockets.connect(place, 1.0)


async def test_idle_connection_that_was_closed_is_not_used_again() -> None:
    with listening() as (listener, place):
        pool = targets.Pool()
        first = await pool.take(place, 1.0)
        accepted, _ = listener.accept()
        first.expires_s = anyio.current_time() + 9
        pool.idle[place] = [first]
        accepted.close()
        await anyio.sleep(0.05)
        second = await pool.take(place, 1.0)
        assert second is not first
        assert pool.opened == 2
        second.close()


async def test_bytes_that_left_are_counted() -> None:
    with listening() as (listener, place):
        opened = await sockets.connect(place, 1.0)
        await opened.send(b"abc")
        assert opened.bytes_sent == 3
        assert not opened.has_input()
        accepted, _ = listener.accept()
        accepted.sendall(b"x")
        await anyio.sleep(0.05)
        assert opened.has_input()
        assert await opened.receive() == b"x"
        accepted.close()
        opened.close()


async def test_reset_is_told_from_an_end() -> None:
    with listening() as (listener, place):
        opened = await sockets.connect(place, 1.0)
        accepted, _ = listener.accept()
        linger = b"\x01\0\0\0\0\0\0\0"
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        accepted.close()
        with pytest.raises(exceptions.ConnectionEndedError):
            await opened.receive()
        opened.close()
