"""A gateway process that stands still while requests and answers arrive."""

from __future__ import annotations

import contextlib
import json
import pathlib
import signal
import typing

import anyio
import anyio.abc
import attrs
import pytest
from tests.processes import test_crowds
from tests.registry import support
from tests.support import node_site
from tests.support import raw_target

from cactusstile.gateway import lifecycle
from cactusstile.http import messages
from cactusstile.http import targets

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
IDLE_MS = 500
TIMEOUT_MS = 600
EVENTS = 200
# Read with a reservation of memory, and received as a whole in a pause.
LARGE_BYTES = targets.UNRESERVED_BYTES + (32 << 10)
REQUEST = (
    b"POST /a/x HTTP/1.1\r\nhost: h.example\r\nx-cactusstile-key: k\r\n"
    b"x-cactusstile-attempt-id: one\r\ncontent-length: 4\r\n\r\nbody"
)


async def answer_late(stream: anyio.abc.SocketStream, request: bytes) -> bool:
    if b"/a/stream" in request:
        return await stream_late(stream, request)
    await anyio.sleep(0.3)
    body = b"x" * LARGE_BYTES if b"/a/large" in request else b"done"
    return await raw_target.answer(body)(stream, request)


async def stream_late(stream: anyio.abc.SocketStream, request: bytes) -> bool:
    """Sends the first event of a stream, and the others later."""
    await raw_target.stream_events([0], whole=False)(stream, request)
    await anyio.sleep(0.3)
    rest = b""
    for number in range(1, EVENTS):
        event = b"id: %d\ndata: x\n\n" % number
        rest += b"%x\r\n%b\r\n" % (len(event), event)
    return await raw_target.send_raw(rest + b"0\r\n\r\n", keep=True)(
        stream, request
    )


@pytest.fixture
async def site(
    tmp_path: pathlib.Path,
) -> typing.AsyncIterator[node_site.NodeSite]:
    scripts = [raw_target.answer(), *[answer_late] * 40]
    held = [raw_target.hold] * 9
    network = support.draw_network()
    async with (
        raw_target.open_target(*scripts, service="s", id="t") as target,
        raw_target.open_target(*held, service="held", id="h") as holder,
        node_site.open_site(tmp_path, network, support.FIRST_PORT) as opened,
    ):
        opened.listed += [target.target, holder.target]
        await opened.start("registry", "r-1", opened.registry_host)
        await opened.start("gateway", "g-1", opened.gateway_host)
        await opened.wait_for(
            opened.registry_host, test_crowds.OPERATOR, configuration(), 200
        )
        await opened.wait_for(
            opened.gateway_host,
            test_crowds.FRONT,
            test_crowds.call("first"),
            200,
        )
        yield opened


def configuration() -> messages.Request:
    request = test_crowds.configuration(7)
    document = json.loads(request.body)
    document["routes"][0]["timeoutMs"] = TIMEOUT_MS
    document["routes"][1]["timeoutMs"] = 20_000
    document["limits"]["idleTimeoutMs"] = IDLE_MS
    return attrs.evolve(request, body=json.dumps(document).encode())


async def connect(site: node_site.NodeSite) -> anyio.abc.SocketStream:
    port = site.port + test_crowds.FRONT
    return await anyio.connect_tcp(site.gateway_host, port)


async def receive(stream: anyio.abc.SocketStream) -> bytes:
    """Returns what comes next; empty if the connection ends."""
    with (
        anyio.fail_after(10),
        contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError),
    ):
        return await stream.receive()
    return b""


async def receive_rest(stream: anyio.abc.SocketStream) -> bytes:
    """Returns what comes until the last chunk of a stream."""
    received = b""
    while not received.endswith(b"0\r\n\r\n"):
        data = await receive(stream)
        assert data, received[-100:]
        received += data
    return received


@contextlib.asynccontextmanager
async def paused(
    site: node_site.NodeSite, pause_s: float
) -> typing.AsyncIterator[None]:
    """The gateway stands still in the context, and for some time after."""
    process = site.processes["g-1"]
    process.send_signal(signal.SIGSTOP)
    # Until it stands still.
    await anyio.sleep(0.1)
    try:
        yield
        await anyio.sleep(pause_s)
    finally:
        process.send_signal(signal.SIGCONT)


# Guards against a request that is lost as its connection expired in a pause.
async def test_idle_timeout_that_ran_out_in_a_pause_loses_a_request(
    site: node_site.NodeSite,
) -> None:
    async with await connect(site) as stream:
        # Until it is accepted.
        await anyio.sleep(0.1)
        async with paused(site, 1.5 * IDLE_MS / 1000):
            await stream.send(REQUEST)
        assert (await receive(stream)).startswith(b"HTTP/1.1 200")
        # Once nothing comes it expires all the same.
        assert await receive(stream) == b""


# Guards against an answer that is thrown away as the pause used up its time.
async def test_timeout_that_ran_out_in_a_pause_discards_an_answer(
    site: node_site.NodeSite,
) -> None:
    async with await connect(site) as stream:
        await stream.send(REQUEST)
        await anyio.sleep(0.1)
        async with paused(site, 1.5 * TIMEOUT_MS / 1000):
            pass
        assert (await receive(stream)).startswith(b"HTTP/1.1 200")


# Guards against an answer that is thrown away only since it is large.
async def test_timeout_that_ran_out_in_a_pause_discards_a_large_answer(
    site: node_site.NodeSite,
) -> None:
    async with await connect(site) as stream:
        await stream.send(REQUEST.replace(b"/a/x", b"/a/large"))
        await anyio.sleep(0.1)
        async with paused(site, 1.5 * TIMEOUT_MS / 1000):
            pass
        received = await receive(stream)
        assert received.startswith(b"HTTP/1.1 200"), received
        while not received.endswith(b"x" * LARGE_BYTES):
            data = await receive(stream)
            assert data, len(received)
            received += data


# Guards against a stream that is cut off though its rest came in the pause.
async def test_timeout_that_ran_out_in_a_pause_cuts_a_stream(
    site: node_site.NodeSite,
) -> None:
    async with await connect(site) as stream:
        await stream.send(REQUEST.replace(b"/a/x", b"/a/stream"))
        received = await receive(stream)
        async with paused(site, 1.5 * TIMEOUT_MS / 1000):
            pass
        received += await receive_rest(stream)
    assert received.count(b"data: ") == EVENTS


# Guards against a stream that is cut off as another pause ended shortly before.
async def test_short_pause_after_a_shorter_one_cuts_a_stream(
    site: node_site.NodeSite,
) -> None:
    async with await connect(site) as stream:
        await stream.send(REQUEST.replace(b"/a/x", b"/a/stream"))
        received = await receive(stream)
        async with paused(site, 0.1):
            pass
        await anyio.sleep(0.02)
        async with paused(site, 0.5):
            pass
        received += await receive_rest(stream)
    assert received.count(b"data: ") == EVENTS


# Guards against a request that is begun although its time ran out before.
async def test_request_whose_time_ran_out_in_a_pause_is_sent_to_a_target(
    site: node_site.NodeSite,
) -> None:
    body = b"x" * 30_000
    request = REQUEST.removesuffix(b"body").replace(
        b"content-length: 4", b"content-length: %d" % len(body)
    )
    async with await connect(site) as stream:
        await stream.send(request + body[:1])
        await anyio.sleep(0.1)
        async with paused(site, 1.5 * TIMEOUT_MS / 1000):
            await stream.send(body[1:])
        assert b"may_have_run" not in await receive(stream)


# Guards against a request that is taken too late in a stop and cut off.
async def test_request_that_came_in_a_pause_of_a_drain_is_cut_off(
    site: node_site.NodeSite,
) -> None:
    site.processes["g-1"].send_signal(signal.SIGTERM)
    await anyio.sleep(lifecycle.NOTICE_S - 0.4)
    async with await connect(site) as stream:
        # Until it is accepted.
        await anyio.sleep(0.1)
        async with paused(site, 0.2):
            await anyio.sleep(lifecycle.ACCEPT_S - lifecycle.NOTICE_S + 0.4)
            await stream.send(REQUEST.replace(b"/a/x", b"/h/x"))
        assert (await receive(stream)).startswith(b"HTTP/1.1 503")


# Guards against a stop that outlasts its time as the signal came in a pause.
async def test_stop_whose_signal_came_in_a_pause_ends_too_late(
    site: node_site.NodeSite,
) -> None:
    process = site.processes["g-1"]
    async with await connect(site) as stream:
        await stream.send(REQUEST.replace(b"/a/x", b"/h/x"))
        await anyio.sleep(0.2)
        sent_s = anyio.current_time()
        async with paused(site, 2.0):
            process.send_signal(signal.SIGTERM)
        with anyio.fail_after(10):
            await process.wait()
    grace_s = float(node_site.BOUNDS["bounds.graceS"])
    assert anyio.current_time() - sent_s < grace_s + 0.3
