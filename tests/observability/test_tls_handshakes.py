"""TLS handshakes that begin at a listener and never end."""

from __future__ import annotations

import contextlib
import ssl
import typing

import anyio
import pytest
import trustme

from cactusstile.limits import connections
from cactusstile.observability import http_listener
from cactusstile.observability import limited_protocol
from cactusstile.transport import address

pytestmark = pytest.mark.anyio
PLACES = 4
HANG_S = 10.0
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"


async def app(scope: typing.Any, receive: typing.Any, send: typing.Any) -> None:
    del scope, receive
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b""})


def contexts() -> tuple[ssl.SSLContext, ssl.SSLContext]:
    """Returns the context of a server and that of its clients."""
    authority = trustme.CA()
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(server)
    client = ssl.create_default_context()
    authority.configure_trust(client)
    return server, client


async def ask(on: address.Address, context: ssl.SSLContext) -> bytes:
    """Returns the first bytes of an answer; empty if there is none."""
    with contextlib.suppress(
        OSError, anyio.EndOfStream, anyio.BrokenResourceError
    ):
        async with await anyio.connect_tcp(
            on.host, on.port, ssl_context=context, tls_standard_compatible=False
        ) as stream:
            await stream.send(REQUEST)
            return await stream.receive()
    return b""


# Guards against a listener that unfinished handshakes take for themselves.
@pytest.mark.parametrize(
    "begun", [b"", b"\x16\x03\x01\x02"], ids=["nothing", "part"]
)
async def test_handshakes_that_stay_open_keep_others_out(
    monkeypatch: pytest.MonkeyPatch, begun: bytes
) -> None:
    monkeypatch.setattr(http_listener, "HANDSHAKE_TIMEOUT_S", 10 * HANG_S)
    server, client = contexts()
    opened = connections.Connections(PLACES, 1.0)
    async with (
        http_listener.open_listener(
            app,
            address.Address("127.0.0.1", 0),
            server,
            limited_protocol.Limits(opened),
        ) as listener,
        contextlib.AsyncExitStack() as stack,
    ):
        for _ in range(PLACES):
            stream = await stack.enter_async_context(
                await anyio.connect_tcp("127.0.0.1", listener.bound.port)
            )
            if begun:
                await stream.send(begun)
        with anyio.fail_after(HANG_S):
            while not (await ask(listener.bound, client)).startswith(
                b"HTTP/1.1 200"
            ):
                await anyio.sleep(0.05)
        assert len(opened.places) <= PLACES
        assert listener.open_connections() <= PLACES
