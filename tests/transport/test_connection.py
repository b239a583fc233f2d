from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import errno
import socket
import time

import anyio
import anyio.from_thread
import pytest
from tests.support import cutting_relay

from cactusstile import event_loops
from cactusstile.transport import address
from cactusstile.transport import binding
from cactusstile.transport import connection
from cactusstile.transport import exceptions
from cactusstile.transport import handshake
from cactusstile.transport import incoming
from cactusstile.transport import messages
from cactusstile.transport import pool
from cactusstile.transport import server
from cactusstile.transport import stream

pytestmark = pytest.mark.anyio

SECRETS = handshake.Secrets(b"fleet-secret", b"operator-secret")
LOCAL = address.Address("127.0.0.1", 0)
FAST = connection.Timing(heartbeat_interval_s=0.05, silence_limit_s=0.2)


async def _echo(responder: incoming.Responder, message: object) -> object:
    assert isinstance(message, messages.CallError)
    if message.code == "fail":
        raise exceptions.RemoteError("refused", "as asked", "detail")
    if message.code in ("hang", "quiet"):
        responder.pings = message.code == "hang"
        await anyio.sleep_forever()
    if message.code == "late":
        await anyio.sleep(0.1)
    if message.code == "flood":
        item = messages.CallError("item", "x" * 100_000)
        for _ in range(40):
            await responder.send(item)
    return message


HANDLERS = incoming.Handlers(calls={messages.CallError: _echo})


@contextlib.asynccontextmanager
async def _open_pair(
    secrets: handshake.Secrets = SECRETS, role: str = "entry"
) -> collections.abc.AsyncIterator[connection.Connection]:
    identity = handshake.Identity("agent", "a")
    caller = handshake.Identity(role, "e")
    async with (
        server.open_server(LOCAL, identity, SECRETS, HANDLERS, FAST) as opened,
        pool.open_pool(caller, secrets, timing=FAST) as peers,
    ):
        yield await peers.connect(opened.bound)


async def test_call_returns_answer() -> None:
    async with _open_pair() as opened:
        sent = messages.CallError("ok", "text")
        assert await opened.call(sent, timeout_s=1) == sent


async def test_call_carries_remote_error() -> None:
    async with _open_pair() as opened:
        with pytest.raises(exceptions.RemoteError) as caught:
            await opened.call(messages.CallError("fail", ""), timeout_s=1)
        assert (caught.value.code, caught.value.detail) == ("refused", "detail")


async def test_call_reports_unserved_message() -> None:
    async with _open_pair() as opened:
        with pytest.raises(exceptions.RemoteError, match="unsupported"):
            await opened.call(messages.Empty(), timeout_s=1)


async def test_call_timeout_reports_that_bytes_were_sent() -> None:
    async with _open_pair() as opened:
        with pytest.raises(exceptions.CallTimeoutError) as caught:
            await opened.call(messages.CallError("hang", ""), timeout_s=0.1)
        assert caught.value.sent


async def test_stream_to_slow_reader_is_limited_by_its_window() -> None:
    async with (
        _open_pair() as opened,
        opened.open_stream(messages.CallError("flood", "")) as items,
    ):
        await anyio.sleep(0.1)
        buffered = items.inbox._buffered_bytes
        assert buffered <= stream.WINDOW_BYTES + 200_000
        assert len([item async for item in items]) == 40


# Guards against a part of an answer that passes for all of it, as its peer
# ended between two items.
async def test_stream_whose_peer_ends_looks_whole() -> None:
    caller = handshake.Identity("entry", "e")
    callee = handshake.Identity("agent", "a")
    async with contextlib.AsyncExitStack() as stack:
        peers = await stack.enter_async_context(
            pool.open_pool(caller, SECRETS, timing=FAST)
        )
        callees = await stack.enter_async_context(contextlib.AsyncExitStack())
        running = await callees.enter_async_context(
            server.open_server(LOCAL, callee, SECRETS, HANDLERS, FAST)
        )
        opened = await peers.connect(running.bound)
        items = await stack.enter_async_context(
            opened.open_stream(messages.CallError("flood", ""))
        )
        assert await anext(items)
        await callees.aclose()
        with pytest.raises(exceptions.ConnectionLostError):
            await items.result()


async def test_connect_rejects_wrong_secret() -> None:
    wrong = handshake.Secrets(b"other")
    with pytest.raises(ExceptionGroup) as caught:
        async with _open_pair(wrong):
            pass
    assert caught.group_contains(
        (exceptions.ConnectionLostError, exceptions.AuthenticationError)
    )


async def test_connect_rejects_operator_with_fleet_secret() -> None:
    wrong = handshake.Secrets(b"", b"fleet-secret")
    with pytest.raises(ExceptionGroup):
        async with _open_pair(wrong, role="operator"):
            pass


async def test_server_stays_available_after_malformed_input() -> None:
    identity = handshake.Identity("agent", "a")
    async with server.open_server(LOCAL, identity, SECRETS, HANDLERS) as opened:
        bound = opened.bound
        for malformed in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 100, b""):
            async with await anyio.connect_tcp(bound.host, bound.port) as raw:
                await raw.send(malformed)
                await raw.send_eof()
                with contextlib.suppress(
                    anyio.EndOfStream, anyio.BrokenResourceError
                ):
                    await raw.receive()
        caller = handshake.Identity("entry", "e")
        async with pool.open_pool(caller, SECRETS) as peers:
            message = messages.CallError("ok", "")
            answer = await peers.call(bound, message, timeout_s=1)
            assert answer == message


async def test_connection_to_silent_peer_fails_open_calls() -> None:
    """A relay that stops forwarding simulates a network partition."""
    identity = handshake.Identity("agent", "a")
    caller = handshake.Identity("entry", "e")
    async with contextlib.AsyncExitStack() as stack:
        opened = await stack.enter_async_context(
            server.open_server(LOCAL, identity, SECRETS, HANDLERS)
        )
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        relay_port = listener.extra(anyio.abc.SocketAttribute.local_port)
        cut = anyio.Event()

        async def forward(
            source: anyio.abc.ByteStream, sink: anyio.abc.ByteStream
        ) -> None:
            async for data in source:
                if not cut.is_set():
                    await sink.send(data)

        async def relay(near: anyio.abc.SocketStream) -> None:
            bound = opened.bound
            far = await anyio.connect_tcp(bound.host, bound.port)
            async with near, far, anyio.create_task_group() as group:
                group.start_soon(forward, near, far)
                group.start_soon(forward, far, near)

        group = await stack.enter_async_context(anyio.create_task_group())
        group.start_soon(listener.serve, relay)
        peers = await stack.enter_async_context(
            pool.open_pool(caller, SECRETS, timing=FAST)
        )
        target = address.Address("127.0.0.1", relay_port)
        link = await peers.connect(target)
        cut.set()
        with anyio.fail_after(1):
            with pytest.raises(exceptions.ConnectionLostError, match="silent"):
                await link.call(messages.CallError("ok", ""), timeout_s=5)
        group.cancel_scope.cancel()


async def test_connect_to_closed_port_reports_nothing_sent() -> None:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        closed_address = address.Address("127.0.0.1", probe.getsockname()[1])
    caller = handshake.Identity("entry", "e")
    async with pool.open_pool(caller, SECRETS) as peers:
        with pytest.raises(exceptions.ConnectionLostError) as caught:
            await peers.connect(closed_address)
        assert not caught.value.sent


async def test_idle_connection_sends_nothing() -> None:
    async with _open_pair() as opened:
        await opened.call(messages.CallError("ok", ""), timeout_s=1)
        await anyio.sleep(FAST.silence_limit_s)
        queued = opened._outbox.queued
        await anyio.sleep(4 * FAST.heartbeat_interval_s)
        assert opened._outbox.queued == queued
        assert not opened.closed.is_set()


async def test_idle_connection_closes_and_is_redialled() -> None:
    timing = connection.Timing(0.05, 0.2, idle_limit_s=0.2)
    identity = handshake.Identity("agent", "a")
    caller = handshake.Identity("entry", "e")
    message = messages.CallError("ok", "")
    async with (
        server.open_server(LOCAL, identity, SECRETS, HANDLERS) as opened,
        pool.open_pool(caller, SECRETS, timing=timing) as peers,
    ):
        assert await peers.call(opened.bound, message, timeout_s=1)
        with anyio.fail_after(2):
            while opened.connections:
                await anyio.sleep(0.02)
        assert await peers.call(opened.bound, message, timeout_s=1) == message


async def test_only_one_side_pings_during_a_silent_call() -> None:
    async with (
        _open_pair() as opened,
        opened.open_stream(messages.CallError("hang", "")),
    ):
        await anyio.sleep(FAST.heartbeat_interval_s)
        queued = opened._outbox.queued
        await anyio.sleep(20 * FAST.heartbeat_interval_s)
        sent = opened._outbox.queued - queued
        assert 10 <= sent <= 30
        assert not opened.closed.is_set()


async def test_stream_without_pings_sends_none() -> None:
    async with (
        _open_pair() as opened,
        opened.open_stream(messages.CallError("quiet", ""), pings=False),
    ):
        await anyio.sleep(FAST.heartbeat_interval_s)
        queued = opened._outbox.queued
        await anyio.sleep(2 * FAST.silence_limit_s)
        assert opened._outbox.queued == queued
        await opened.verify(FAST.heartbeat_interval_s)
        assert opened._outbox.queued == queued + 1
        assert not opened.closed.is_set()


async def test_verify_closes_connection_to_silent_peer() -> None:
    identity = handshake.Identity("agent", "a")
    caller = handshake.Identity("entry", "e")
    async with (
        server.open_server(LOCAL, identity, SECRETS, HANDLERS) as served,
        cutting_relay.open_relay(served.bound) as cut,
        pool.open_pool(caller, SECRETS) as peers,
    ):
        opened = await peers.connect(cut.bound)
        cut.cut()
        await anyio.sleep(0.2)
        with pytest.raises(exceptions.ConnectionLostError) as caught:
            await opened.verify(0.1)
        assert not caught.value.sent
        assert opened.closed.is_set()


async def test_server_error_contains_the_address_in_use(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(binding, "IN_USE_LIMIT_S", 0.3)
    identity = handshake.Identity("agent", "a")
    with socket.socket() as holder:
        holder.bind(("127.0.0.1", 0))
        holder.listen()
        taken = address.Address("127.0.0.1", holder.getsockname()[1])
        with pytest.raises(OSError, match=str(taken)) as caught:
            async with server.open_server(taken, identity, SECRETS, HANDLERS):
                pass
    assert caught.value.errno == errno.EADDRINUSE


@pytest.mark.parametrize(
    "number",
    [errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM],
)
async def test_error_that_may_pass_does_not_end_a_start(number: int) -> None:
    """Guards against a process that ends before its network is set up."""
    errors = [OSError(number, "cannot"), OSError(number, "cannot")]

    async def bind() -> str:
        if errors:
            raise errors.pop()
        return "bound"

    assert await binding.wait_until_free(bind) == "bound"


async def test_error_that_cannot_pass_ends_a_start() -> None:
    async def bind() -> None:
        raise PermissionError(errno.EACCES, "refused")

    with pytest.raises(PermissionError):
        await binding.wait_until_free(bind)


def fail_lookup(*args: object, **options: object) -> None:
    del args, options
    raise socket.gaierror(socket.EAI_NONAME, "no address of the family")


@pytest.mark.parametrize("host", ["127.0.0.1", "::1"])
async def test_failing_lookup_of_the_own_address_does_not_end_a_start(
    monkeypatch: pytest.MonkeyPatch, host: str
) -> None:
    """Guards against a process that ends before its network is set up."""
    monkeypatch.setattr(socket, "getaddrinfo", fail_lookup)
    identity = handshake.Identity("agent", "a")
    place = address.Address(host, 0)
    async with server.open_server(place, identity, SECRETS, HANDLERS) as served:
        assert served.bound.host == host
        assert served.bound.port


async def _call_and_pause(on: address.Address) -> object:
    """Calls and stands still until the time of the call has run out."""
    sent = messages.CallError("late", "")
    identity = handshake.Identity("entry", "e")
    async with pool.open_pool(identity, SECRETS) as peers:
        opened = await peers.connect(on)
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, time.sleep, 0.4)
        return await opened.call(sent, timeout_s=0.3)


# Guards against a call that fails as its answer came in a pause of the caller.
def test_time_of_a_call_that_ran_out_in_a_pause_discards_the_answer() -> None:
    identity = handshake.Identity("agent", "a")
    serving = server.open_server(LOCAL, identity, SECRETS, HANDLERS)
    with (
        anyio.from_thread.start_blocking_portal() as portal,
        portal.wrap_async_context_manager(serving) as opened,
    ):
        answer = event_loops.run(_call_and_pause, opened.bound)
    assert isinstance(answer, messages.CallError)
