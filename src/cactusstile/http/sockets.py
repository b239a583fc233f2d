"""Unbuffered, non-blocking TCP sockets that count the bytes sent.

A proxy has to determine whether any byte of a request left this process, and
whether an idle connection has unread input. Buffered streams hide both.
"""

from __future__ import annotations

import contextlib
import errno
import select
import socket
import typing

import anyio

from cactusstile import event_loops
from cactusstile.http import exceptions
from cactusstile.transport import address
from cactusstile.transport import binding
from cactusstile.transport import listeners

if typing.TYPE_CHECKING:
    import collections.abc

    Stalled = collections.abc.Callable[
        [int], contextlib.AbstractContextManager[object]
    ]

RECEIVE_BYTES = 64 << 10
# Calls of one socket that succeed at once before other tasks get a turn.
CALLS_PER_TURN = 16
BACKLOG_CONNECTIONS = 1024
# Buffers of the operating system for each accepted connection.
LISTENER_RECEIVE_BUFFER_BYTES = 32 << 10
LISTENER_SEND_BUFFER_BYTES = 64 << 10
# A target is considered lost if it acknowledges, or takes, nothing more of what
# was sent for this time.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
# A caller is considered lost after this many unanswered retransmissions, or
# probes, which take about the same time. One that is slow answers them.
MAX_UNANSWERED = 3
# Shortest time between two looks at whether a caller is lost.
SILENCE_CHECK_INTERVAL_S = 0.5
# Consecutive timeouts and unanswered probes in Linux's `struct tcp_info`.
_RETRANSMITS_OFFSET, _PROBES_OFFSET, _INFO_BYTES = 2, 3, 8
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
LINGER_TIMEOUT_S = 1.0


def _unlimited(_: int) -> contextlib.AbstractContextManager[object]:
    return contextlib.nullcontext()


class Socket:
    """A connected TCP socket.

    Attributes:
      raw: Underlying socket.
      bytes_sent: Number of bytes passed to the operating system.
      stalled: Context of a wait for the peer to take bytes, given the size of
        what is being sent.
      is_accepted: Whether the peer opened the connection.
    """

    def __init__(
        self, raw: socket.socket, *, is_accepted: bool = False
    ) -> None:
        """Takes ownership of a connected, non-blocking socket."""
        self.raw = raw
        self.is_accepted = is_accepted
        self.bytes_sent = 0
        self._failure = ""
        self.stalled: Stalled = _unlimited
        self._calls_in_turn = 0
        self._checked_s = float("-inf")

    async def send(self, data: bytes) -> None:
        """Sends all of `data`.

        Raises:
          ConnectionEndedError: The peer closed or reset the connection.
        """
        self._check_peer()
        view = memoryview(data)
        while view:
            await self._take_turn()
            try:
                count = self.raw.send(view)
            except BlockingIOError:
                with self.stalled(len(data)):
                    await self._wait(anyio.wait_writable)
                continue
            except OSError as error:
                self._record_failure(error)
                raise exceptions.ConnectionEndedError(str(error)) from error
            self.bytes_sent += count
            view = view[count:]

    def send_now(self, data: bytes) -> None:
        """Sends as much of `data` as is taken at once; ignores failures."""
        try:
            self.bytes_sent += self.raw.send(data)
        except BlockingIOError:
            pass
        except OSError as error:
            self._record_failure(error)

    async def receive(self, limit_bytes: int = RECEIVE_BYTES) -> bytes:
        """Returns the next bytes; empty if the peer ended its stream.

        Args:
          limit_bytes: Maximum number of bytes to return.

        Raises:
          ConnectionEndedError: The connection was reset or timed out.
        """
        while True:
            await self._take_turn()
            try:
                data = self.raw.recv(limit_bytes)
            except BlockingIOError:
                await self._wait(anyio.wait_readable)
                continue
            except OSError as error:
                self._record_failure(error)
                raise exceptions.ConnectionEndedError(str(error)) from error
            if not data and self._failure:
                raise exceptions.ConnectionEndedError(self._failure)
            return data

    def _record_failure(self, error: OSError) -> None:
        """Records why the connection failed.

        The operating system reports a reset or a timeout to one call only;
        later ones read an end of stream, as if the peer had closed. A broken
        pipe is no failure of what the peer sent: its stream ended before.
        """
        if not isinstance(error, BrokenPipeError):
            self._failure = str(error)

    async def _take_turn(self) -> None:
        """Lets other tasks run if this socket never had to wait."""
        self._calls_in_turn += 1
        if self._calls_in_turn > CALLS_PER_TURN:
            self._calls_in_turn = 0
            await event_loops.take_turn()

    async def _wait(
        self,
        wait: collections.abc.Callable[
            [socket.socket], collections.abc.Awaitable[None]
        ],
    ) -> None:
        self._calls_in_turn = 0
        try:
            await wait(self.raw)
        except (OSError, ValueError, anyio.ClosedResourceError) as error:
            raise exceptions.ConnectionEndedError(str(error)) from error

    def has_input(self) -> bool:
        """Returns whether unread bytes, an end of stream or an error wait."""
        poller = select.poll()
        poller.register(self.raw, select.POLLIN)
        return bool(poller.poll(0))

    def has_ended(self) -> bool:
        """Returns whether the peer ended its stream, read or not."""
        poller = select.poll()
        poller.register(self.raw, select.POLLRDHUP)
        return bool(poller.poll(0))

    def _check_peer(self) -> None:
        """Looks from time to time whether a caller is lost.

        Raises:
          ConnectionEndedError: It is.
        """
        now_s = anyio.current_time()
        if not self.is_accepted or (
            now_s - self._checked_s < SILENCE_CHECK_INTERVAL_S
        ):
            return
        self._checked_s = now_s
        if self.is_peer_silent():
            raise exceptions.ConnectionEndedError("the peer does not respond")

    def is_peer_silent(self) -> bool:
        """Returns whether the peer's machine answers nothing any more."""
        try:
            info = self.raw.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES
            )
        except OSError:
            return False
        unanswered = info[_RETRANSMITS_OFFSET] + info[_PROBES_OFFSET]
        return unanswered >= MAX_UNANSWERED

    async def linger(self, limit_s: float = LINGER_TIMEOUT_S) -> None:
        """Shuts down sending and discards input until the peer closes.

        Closing a socket with unread input resets the connection, which can
        discard a response before the peer has read it. A peer that has sent
        nothing for `LINGER_TIMEOUT_S` is not awaited any longer.

        Args:
          limit_s: Time after which a peer that still sends is not awaited.
        """
        with (
            contextlib.suppress(OSError, exceptions.ConnectionEndedError),
            anyio.move_on_after(limit_s),
        ):
            self.raw.shutdown(socket.SHUT_WR)
            with anyio.move_on_after(LINGER_TIMEOUT_S) as silence:
                while await self.receive():
                    silence.deadline = anyio.current_time() + LINGER_TIMEOUT_S

    def close(self) -> None:
        """Closes the socket."""
        if self.raw.fileno() >= 0:
            anyio.notify_closing(self.raw)
        self.raw.close()


def _configure(raw: socket.socket) -> None:
    """Enables detection of idle silent peers; disables Nagle's algorithm."""
    tcp = socket.IPPROTO_TCP
    raw.setsockopt(tcp, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def _configure_outgoing(raw: socket.socket) -> None:
    """Enables detection of all silent peers, of slow ones too."""
    _configure(raw)
    raw.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_TIMEOUT_MS,
    )


async def connect(target: address.Address, timeout_s: float) -> Socket:
    """Opens a connection to `target`.

    Raises:
      UnreachableError: It could not be opened within `timeout_s` seconds;
        nothing was sent.
    """
    try:
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise exceptions.UnreachableError(
            f"cannot create a socket: {error}"
        ) from error
    try:
        raw.setblocking(False)
        _configure_outgoing(raw)
        code = raw.connect_ex((target.host, target.port))
        if code == errno.EINPROGRESS:
            code = await _wait_connected(raw, target, timeout_s)
        if code:
            reason = errno.errorcode.get(code, str(code))
            kind = exceptions.UnreachableError
            if code == errno.ECONNREFUSED:
                kind = exceptions.RefusedConnectionError
            raise kind(f"{target} refused: {reason}")
    except OSError as error:
        raw.close()
        raise exceptions.UnreachableError(f"{target}: {error}") from error
    except BaseException:
        raw.close()
        raise
    return Socket(raw)


async def _wait_connected(
    raw: socket.socket, target: address.Address, timeout_s: float
) -> int:
    """Waits for the outcome of a connection request; returns its error code.

    Raises:
      ConnectTimeoutError: There was no reply within `timeout_s` seconds.
    """
    with anyio.move_on_after(timeout_s) as scope:
        await anyio.wait_writable(raw)
    if scope.cancelled_caught:
        raise exceptions.ConnectTimeoutError(
            f"{target} did not accept within {timeout_s:.2f} s"
        )
    return raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def listen(on: address.Address) -> socket.socket:
    """Returns a listening socket.

    Raises:
      OSError: The address cannot be bound; the message contains the address.
    """
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        raw.setblocking(False)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit these.
        for option, size in (
            (socket.SO_RCVBUF, LISTENER_RECEIVE_BUFFER_BYTES),
            (socket.SO_SNDBUF, LISTENER_SEND_BUFFER_BYTES),
        ):
            raw.setsockopt(socket.SOL_SOCKET, option, size)
        raw.bind((on.host, on.port))
        raw.listen(BACKLOG_CONNECTIONS)
    except OSError as error:
        raw.close()
        text = f"cannot listen on {on}: {error.strerror}"
        raise OSError(error.errno, text) from error
    return raw


async def listen_when_free(on: address.Address) -> socket.socket:
    """Returns a listening socket; waits a while if the address is in use.

    Raises:
      OSError: As `listen`.
    """

    async def bind() -> socket.socket:
        return listen(on)

    return await binding.wait_until_free(bind)


async def accept(listener: socket.socket) -> Socket:
    """Accepts and returns the next connection of a listener.

    Raises:
      OSError: The listener is closed.
    """
    raw = await listeners.accept(listener, _configure)
    return Socket(raw, is_accepted=True)


def accept_waiting(listener: socket.socket) -> Socket | None:
    """Returns a connection that waits to be accepted; None without one."""
    try:
        raw, _ = listener.accept()
    except OSError:
        return None
    raw.setblocking(False)
    with contextlib.suppress(OSError):
        _configure(raw)
    return Socket(raw, is_accepted=True)
