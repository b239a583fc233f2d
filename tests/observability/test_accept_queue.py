from __future__ import annotations

import contextlib
import socket

import pytest

from cactusstile.observability import accept_queue


def test_blocked_socket_serves_queued_but_no_new_connections() -> None:
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        listening.listen(8)
        bound = listening.getsockname()
        with socket.create_connection(bound) as queued:
            accept_queue.block_new_connections(listening)
            accepted, _ = listening.accept()
            with accepted:
                queued.sendall(b"x")
                assert accepted.recv(1) == b"x"
            with pytest.raises(TimeoutError):
                socket.create_connection(bound, timeout=0.3)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(bound, timeout=3)


def test_blocked_socket_completes_handshakes_that_have_begun() -> None:
    """Guards against resets of callers whose handshake was not complete.

    With deferred accepts the listener completes a handshake only when data
    arrives, as if the last packet of the handshake were late.
    """
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(socket.socket())
        listening.bind(("127.0.0.1", 0))
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 5)
        listening.listen(8)
        listening.settimeout(1.0)
        bound = listening.getsockname()
        callers = [
            stack.enter_context(socket.create_connection(bound))
            for _ in range(3)
        ]
        accept_queue.block_new_connections(listening)
        for caller in callers:
            caller.sendall(b"x")
        for _ in callers:
            accepted, _ = listening.accept()
            with accepted:
                assert accepted.recv(1) == b"x"
