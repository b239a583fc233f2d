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


async def test_connect_without_descriptors_raises_unreachable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*_: object) -> socket.socket:
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(socket, "socket", fail)
    with pytest.raises(exceptions.UnreachableError, match="too many"):
        await sockets.connect(address.Address("127.0.0.1", 1), 1.0)


async def test_connect_to_port_without_listener_raises_unreachable() -> None:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        listen_address = address.Address(*probe.getsockname())
        with pytest.raises(exceptions.UnreachableError, match="ECONNREFUSED"):
            await sockets.connect(listen_address, 1.0)


async def test_idle_connection_closed_by_target_is_not_reused() -> None:
    with listening() as (listener, listen_address):
        pool = targets.Pool()
        first = await pool.take(listen_address, 1.0)
        accepted, _ = listener.accept()
        first.expires_s = anyio.current_time() + 9
        pool.idle[listen_address] = [first]
        accepted.close()
        await anyio.sleep(0.05)
        second = await pool.take(listen_address, 1.0)
        assert second is not first
        assert pool.opened == 2
        second.close()


async def test_socket_counts_sent_bytes_and_detects_input() -> None:
    with listening() as (listener, listen_address):
        opened = await sockets.connect(listen_address, 1.0)
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


async def test_reset_connection_raises_on_receive() -> None:
    with listening() as (listener, listen_address):
        opened = await sockets.connect(listen_address, 1.0)
        accepted, _ = listener.accept()
        linger = b"\x01\0\0\0\0\0\0\0"
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        accepted.close()
        with pytest.raises(exceptions.ConnectionEndedError):
            await opened.receive()
        opened.close()


# Guards against a proper end after a peer that took nothing for too long, as
# the write heard of the timeout.
async def test_timeout_that_a_write_heard_of_is_a_proper_end() -> None:
    with listening() as (listener, listen_address):
        opened = await sockets.connect(listen_address, 1.0)
        accepted, _ = listener.accept()
        accepted.sendall(b"half")
        with accepted:
            with pytest.raises(exceptions.ConnectionEndedError, match="timed"):
                await opened.send(b"x" * (64 << 20))
            assert await opened.receive() == b"half"
            with pytest.raises(exceptions.ConnectionEndedError, match="timed"):
                await opened.receive()
        opened.close()


# Guards against work for a caller whose machine is gone.
@pytest.mark.parametrize(
    ("retransmits", "probes", "is_silent"),
    [(0, 0, False), (1, 0, False), (0, 2, False), (3, 0, True), (0, 3, True)],
)
async def test_peer_that_acknowledges_nothing_is_lost(
    retransmits: int, probes: int, *, is_silent: bool
) -> None:
    class Raw:
        def getsockopt(self, *_: int) -> bytes:
            return bytes([1, 0, retransmits, probes, 0, 0, 0, 0])

        def send(self, data: memoryview) -> int:
            return len(data)

    opened = sockets.Socket(Raw(), is_accepted=True)  # type: ignore[arg-type]
    assert opened.is_peer_silent() == is_silent
    if not is_silent:
        await opened.send(b"x")
        return
    with pytest.raises(exceptions.ConnectionEndedError):
        await opened.send(b"x")
