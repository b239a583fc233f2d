from __future__ import annotations

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
