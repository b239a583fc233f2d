"""A target that responds with raw bytes given by the test."""

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

Script = collections.abc.Callable[
    [anyio.abc.SocketStream, bytes], collections.abc.Awaitable[bool]
]
SEAL = b"X-Cactusstile-Response-Seal: s\r\n"


@attrs.define
class RawTarget:
    """A listener that responds to each request by the next script.

    Attributes:
      target: The target as it is in the platform's list.
      scripts: Scripts of the requests to come, in order.
      requests: Received requests, head and body.
      closed: Set once a caller has closed its connection.
      connections: Number of accepted connections.
      read_bodies: Whether the whole body is read before the script runs.
      listener: The listener.
      process: Scope of the listener and its connections.
    """

    target: model.Target
    listener: anyio.abc.Listener[anyio.abc.SocketStream]
    scripts: list[Script]
    requests: list[bytes] = attrs.field(factory=list)
    closed: anyio.Event = attrs.field(factory=anyio.Event)
    connections: int = 0
    read_bodies: bool = True
    process: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)

    async def end(self) -> None:
        """Closes the listener and all connections, as the end of a process."""
        await self.listener.aclose()
        self.process.cancel()

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves one accepted connection."""
        self.connections += 1
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    request = await self._read_request(stream)
                    self.requests.append(request)
                    script = self.scripts.pop(0)
                    if not await script(stream, request):
                        return
            self.closed.set()

    async def _read_request(self, stream: anyio.abc.SocketStream) -> bytes:
        data = b""
        while b"\r\n\r\n" not in data:
            data += await stream.receive()
        head, _, body = data.partition(b"\r\n\r\n")
        length = int(find_header(head, b"content-length") or b"0")
        while len(body) < length and self.read_bodies:
            body += await stream.receive()
        return head + b"\r\n\r\n" + body


async def hold(stream: anyio.abc.SocketStream, request: bytes) -> bool:
    """Takes a request and never answers it."""
    del request
    while True:
        await stream.receive()


def find_header(request: bytes, name: bytes) -> bytes | None:
    """Returns the value of a header by lower-case name; None if absent."""
    for line in request.split(b"\r\n\r\n")[0].split(b"\r\n")[1:]:
        field, _, value = line.partition(b":")
        if field.strip().lower() == name:
            return value.strip()
    return None


def request_id(request: bytes) -> bytes:
    """Returns the attempt id of a request."""
    return find_header(request, b"x-cactusstile-attempt-id") or b""


def _head(request: bytes, status: bytes, rest: bytes) -> bytes:
    identity = b"X-Cactusstile-Attempt-Id: " + request_id(request) + b"\r\n"
    return b"HTTP/1.1 " + status + b"\r\n" + identity + rest + b"\r\n"


def answer(
    body: bytes = b"done", status: bytes = b"200 OK", rest: bytes = SEAL
) -> Script:
    """Returns a script that sends a complete response."""

    async def run(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        length = b"Content-Length: %d\r\n" % len(body)
        await stream.send(_head(request, status, rest + length) + body)
        return True

    return run


def reject(status: bytes = b"503 Full") -> Script:
    """Returns a script that rejects the request as not executed."""
    return answer(b"", status, b"X-Cactusstile-Not-Executed: 1\r\n")


def send_raw(
    data: bytes, *, with_head: bool = False, keep: bool = False
) -> Script:
    """Returns a script that sends raw bytes.

    Args:
      data: The bytes.
      with_head: Whether a response head without its end precedes them.
      keep: Whether the connection stays open afterwards.
    """

    async def run(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        head = b""
        if with_head:
            head = _head(request, b"200 OK", SEAL).removesuffix(b"\r\n")
        await stream.send(head + data)
        return keep

    return run


def stream_events(
    ids: collections.abc.Iterable[int],
    *,
    whole: bool = True,
    rest: bytes = b"",
    fields: bytes = b"",
) -> Script:
    """Returns a script that streams events.

    Args:
      ids: Ids of the events.
      whole: Whether the stream ends properly; otherwise the connection is
        closed in the middle.
      rest: Bytes that follow the last event.
      fields: Further header fields.
    """

    async def run(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        head_fields = SEAL + b"Content-Type: text/event-stream\r\n" + fields
        head_fields += b"Transfer-Encoding: chunked\r\n"
        await stream.send(_head(request, b"200 OK", head_fields))
        for number in ids:
            event = b"id: %d\ndata: x\n\n" % number
            await stream.send(b"%x\r\n%b\r\n" % (len(event), event))
        if rest:
            await stream.send(b"%x\r\n%b\r\n" % (len(rest), rest))
        if whole:
            await stream.send(b"0\r\n\r\n")
        return whole

    return run


def in_turn(first: Script, gate: anyio.Event, second: Script) -> Script:
    """Returns a script that waits for `gate` between two scripts."""

    async def run(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        await first(stream, request)
        await gate.wait()
        return await second(stream, request)

    return run


def silent() -> Script:
    """Returns a script that never responds."""

    async def run(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        del request
        await stream.receive()
        return True

    return run


_RECEIVE_BUFFER = (socket.SOL_SOCKET, socket.SO_RCVBUF)


@contextlib.asynccontextmanager
async def open_target(
    *scripts: Script, receive_buffer_bytes: int = 0, **fields: typing.Any
) -> collections.abc.AsyncIterator[RawTarget]:
    """Opens a target that runs `scripts`, one for each request.

    Args:
      scripts: Scripts of the requests to come, in order.
      receive_buffer_bytes: Size of the kernel's buffer for what the target has
        not read; 0 for the kernel's choice.
      fields: Further fields of the listed target.
    """
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    if receive_buffer_bytes:
        opened = listener.extra(anyio.abc.SocketAttribute.raw_socket)
        opened.setsockopt(*_RECEIVE_BUFFER, receive_buffer_bytes)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    fields.setdefault("id", f"t-{port}")
    listed = model.Target(
        service=fields.pop("service", "plain"),
        address=address.Address("127.0.0.1", port),
        data_centre="here",
        slots=4,
        **fields,
    )
    raw = RawTarget(listed, listener, list(scripts))

    async def serve() -> None:
        with raw.process:
            try:
                async with listener:
                    await listener.serve(raw.handle)
            except* anyio.ClosedResourceError:
                pass

    async with anyio.create_task_group() as group:
        group.start_soon(serve)
        yield raw
        # Cancelling an accept as a connection arrives raises InvalidStateError.
        await listener.aclose()
        group.cancel_scope.cancel()
