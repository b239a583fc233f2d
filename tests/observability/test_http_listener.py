from __future__ import annotations

import anyio
import pytest
from starlette import responses

from cactusstile.observability import http_listener
from cactusstile.transport import address

pytestmark = pytest.mark.anyio


async def test_oversized_header_is_refused_before_it_is_complete() -> None:
    """Guards against a header limit that depends on the installed parser."""
    app = responses.PlainTextResponse("reached")
    listen = address.Address("127.0.0.1", 0)
    with anyio.fail_after(5):
        async with http_listener.open_listener(app, listen) as listener:
            bound = listener.bound
            async with await anyio.connect_tcp(bound.host, bound.port) as raw:
                await raw.send(b"GET / HTTP/1.1\r\nHost: x\r\nX-Long: ")
                await raw.send(b"x" * (2 * http_listener.MAX_HEADER_BYTES))
                answer = await raw.receive()
    assert answer.startswith(b"HTTP/1.1 400")
