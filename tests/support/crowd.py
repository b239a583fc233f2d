"""Clients that do not behave, and what a process uses while they stay."""

from __future__ import annotations

import contextlib
import errno
import itertools
import os
import pathlib
import resource
import socket
import typing

import anyio
import anyio.lowlevel
import attrs

if typing.TYPE_CHECKING:
    import collections.abc

# A client gives up sending once nothing was taken from it for this time.
STALL_S = 1.0
# Longest time after which a process counts as hanging.
HANG_S = 30.0
# Time between two bytes that a slow client sends or takes.
BYTE_INTERVAL_S = 1.0
_RECEIVE_BUFFER_BYTES = 4096
_PART_BYTES = 256 << 10


def peak_mb(pid: int) -> int:
    """Returns the largest resident size of a process so far, in MB."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) >> 10


def open_descriptors(pid: int) -> int:
    """Returns the number of descriptors that a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def lower_descriptors(pid: int, limit: int) -> None:
    """Sets the number of descriptors that a running process may open."""
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, limit))


async def connect(host: str, port: int) -> socket.socket | None:
    """Returns a connection that takes few answers; None if it is refused."""
    opened = socket.socket()
    opened.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    opened.setblocking(False)
    code = opened.connect_ex((host, port))
    if code == errno.EINPROGRESS:
        with anyio.move_on_after(STALL_S):
            await anyio.wait_writable(opened)
        code = opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        opened.close()
        return None
    return opened


async def _send(opened: socket.socket, data: bytes, times: int) -> None:
    """Sends `data` repeatedly and reads nothing, until the peer stalls."""
    repeats = max(1, _PART_BYTES // len(data))
    part = memoryview(data * min(repeats, times))
    rest = len(data) * times
    offset = 0
    while rest > 0:
        try:
            count = opened.send(part[offset : offset + rest])
        except BlockingIOError:
            with anyio.move_on_after(STALL_S) as scope:
                await anyio.wait_writable(opened)
            if scope.cancelled_caught:
                return
            continue
        except OSError:
            return
        rest -= count
        offset = (offset + count) % len(part)
        await anyio.lowlevel.checkpoint()


@contextlib.asynccontextmanager
async def open_crowd(
    host: str, port: int, connections: int, data: bytes, times: int = 1
) -> collections.abc.AsyncIterator[None]:
    """Keeps connections open that send without reading any answer.

    Args:
      host: Address of the listener.
      port: Port of the listener.
      connections: Number of connections; some may be refused.
      data: What each of them sends; may be empty.
      times: Number of times that it is sent.
    """
    with contextlib.ExitStack() as stack:

        async def run() -> None:
            opened = await connect(host, port)
            if opened is None:
                return
            stack.callback(opened.close)
            if data:
                await _send(opened, data, times)

        async with anyio.create_task_group() as group:
            for _ in range(connections):
                group.start_soon(run)
        yield


@attrs.define
class SlowClients:
    """Clients that send and take a byte at a time, and come again.

    Attributes:
      host: Address of the listener.
      port: Port of the listener.
      taken_bytes: Number of bytes that they took so far.
    """

    host: str
    port: int
    taken_bytes: int = 0

    async def run(self, begun: bytes, rest: bytes) -> None:
        """Runs one client; see `open_slow_crowd`."""
        while True:
            opened = await connect(self.host, self.port)
            if opened is not None:
                with opened, contextlib.suppress(OSError):
                    if begun:
                        await _send(opened, begun, 1)
                    await self._go_on(opened, rest)
            await anyio.sleep(BYTE_INTERVAL_S)

    async def _go_on(self, opened: socket.socket, rest: bytes) -> None:
        """Sends and takes bytes until the peer closes the connection."""
        for offset in itertools.count():
            await anyio.sleep(BYTE_INTERVAL_S)
            with contextlib.suppress(BlockingIOError):
                opened.send(rest[offset : offset + 1])
            with contextlib.suppress(BlockingIOError):
                taken = opened.recv(1)
                if not taken:
                    return
                self.taken_bytes += 1


@contextlib.asynccontextmanager
async def open_slow_crowd(
    host: str, port: int, connections: int, *parts: tuple[bytes, bytes]
) -> collections.abc.AsyncIterator[SlowClients]:
    """Keeps clients busy that send and take a byte every `BYTE_INTERVAL_S`.

    Args:
      host: Address of the listener, which need not listen yet.
      port: Port of the listener.
      connections: Number of clients.
      *parts: What the clients send, by turns: at once and then slowly.
    """
    clients = SlowClients(host, port)
    async with anyio.create_task_group() as group:
        for number in range(connections):
            group.start_soon(clients.run, *parts[number % len(parts)])
        yield clients
        group.cancel_scope.cancel()
