from __future__ import annotations

import typing

import anyio
import httpcore
import pytest
from starlette import responses

from cactusstile.observability import http_listener
from cactusstile.transport import address

pytestmark = pytest.mark.anyio
# The drain begins halfway; the rest is longer than all its waits together.
ANSWER_S = 3.0
PAUSE_S = 0.2


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


async def _answer_slowly(
    scope: typing.Any, receive: typing.Any, send: typing.Any
) -> None:
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await anyio.sleep(ANSWER_S)
    await send({"type": "http.response.body", "body": b"whole"})


async def test_drain_serves_the_request_that_follows_a_long_answer() -> None:
    """Guards against connections that close while a request is on its way."""
    answers = []
    listen = address.Address("127.0.0.1", 0)
    with anyio.fail_after(10):
        async with (
            http_listener.open_listener(_answer_slowly, listen) as listener,
            httpcore.AsyncConnectionPool() as http,
            anyio.create_task_group() as group,
        ):

            async def drain() -> None:
                await anyio.sleep(ANSWER_S / 2)
                await listener.drain()

            group.start_soon(drain)
            for _ in range(2):
                answer = await http.request("GET", f"http://{listener.bound}/")
                answers.append((answer.content, dict(answer.headers)))
                await anyio.sleep(PAUSE_S)
    assert [content for content, _ in answers] == [b"whole", b"whole"]
    closes = [headers.get(b"connection") for _, headers in answers]
    assert closes == [None, b"close"]


async def test_drain_closes_a_connection_that_stays_idle() -> None:
    listen = address.Address("127.0.0.1", 0)
    app = responses.PlainTextResponse("reached")
    with anyio.fail_after(5):
        async with http_listener.open_listener(app, listen) as listener:
            bound = listener.bound
            async with await anyio.connect_tcp(bound.host, bound.port) as raw:
                await listener.drain()
                with pytest.raises(anyio.EndOfStream):
                    await raw.receive()
