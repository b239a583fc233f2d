"""A target that sends bytes without end, from a thread of its own."""

from __future__ import annotations

import collections.abc
import contextlib
import socket
import threading
import time

import attrs
from tests.support import raw_target

from cactusstile.sites import model
from cactusstile.transport import address

# Time after which the target gives up, so that a failing test ends.
SENDING_LIMIT_S = 4.0
BLOCK_BYTES = 64 << 10


@attrs.define
class EndlessTarget:
    """A listener that answers one request with bytes without end.

    Attributes:
      target: The target as it is in the platform's list.
      listener: Accepts the connection.
      first: Bytes at the start; `%(id)s` stands for the id of the request.
      unit: Bytes that are repeated until the caller closes.
      closed_by_caller: Whether the caller closed while bytes still came.
    """

    target: model.Target
    listener: socket.socket
    first: bytes
    unit: bytes
    closed_by_caller: bool = False

    def run(self) -> None:
        """Serves one connection until the caller closes it."""
        with contextlib.suppress(TimeoutError):
            accepted, _ = self.listener.accept()
            with accepted:
                accepted.settimeout(SENDING_LIMIT_S)
                self._send(accepted)

    def _send(self, accepted: socket.socket) -> None:
        request = b""
        while b"\r\n\r\n" not in request:
            request += accepted.recv(BLOCK_BYTES)
        names = {b"id": raw_target.request_id(request)}
        block = self.unit * max(1, BLOCK_BYTES // len(self.unit))
        end_s = time.monotonic() + SENDING_LIMIT_S
        try:
            accepted.sendall(self.first % names)
            while time.monotonic() < end_s:
                accepted.sendall(block)
        except (BrokenPipeError, ConnectionResetError):
            self.closed_by_caller = True


@contextlib.contextmanager
def open_target(
    first: bytes, unit: bytes, name: str = "endless"
) -> collections.abc.Iterator[EndlessTarget]:
    """Opens a target; on exit its thread has ended."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        listener.settimeout(SENDING_LIMIT_S)
        listed = model.Target(
            id=name,
            service="plain",
            address=address.Address(*listener.getsockname()),
            data_centre="here",
            slots=4,
        )
        endless = EndlessTarget(listed, listener, first, unit)
        thread = threading.Thread(target=endless.run)
        thread.start()
        try:
            yield endless
        finally:
            thread.join()
