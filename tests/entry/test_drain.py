"""Graceful shutdown without interrupting requests in flight."""

from __future__ import annotations

import collections.abc
import contextlib
import os
import pathlib
import signal
import socket

import anyio
import httpcore
import pytest
from tests.entry import support

from cactusstile.console import application
from cactusstile.console import entry as console_entry
from cactusstile.console import exceptions
from cactusstile.entry import daemon
from cactusstile.fakes import scripted_agent
from cactusstile.settings import entry as entry_settings
from cactusstile.state import holder
from cactusstile.transport import address
from cactusstile.transport import handshake
from cactusstile.transport import pool

pytestmark = pytest.mark.anyio
CALLERS = 30


async def test_drain_cuts_off_no_request_under_load() -> None:
    agent = scripted_agent.ScriptedAgent(batch_interval_s=0.02)
    finished: list[str] = []
    refused: list[Exception] = []
    async with support.open_site([agent], drain_delay_s=0.3) as site:

        async def send_requests_until_refused() -> None:
            while True:
                try:
                    events = await site.stream(60)
                except httpcore.ConnectError as error:
                    refused.append(error)
                    return
                assert events[-1] == "[DONE]"
                finished.append(support.text_of(events))

        with anyio.fail_after(60):
            async with anyio.create_task_group() as group:
                for _ in range(CALLERS):
                    group.start_soon(send_requests_until_refused)
                while len(finished) < 2 * CALLERS:
                    await anyio.sleep(0.01)
                await site.entry.drain()
        assert site.entry.listener.open_connections() == 0
    assert len(refused) == CALLERS
    assert set(finished) == {support.expected_text(60)}


async def test_drain_withdraws_readiness_and_closes_connections(
    site: support.Site,
) -> None:
    async with anyio.create_task_group() as group:
        group.start_soon(site.entry.drain)
        await anyio.sleep(0.02)
        ready = await site.http.request("GET", f"{site.url}/readyz")
        live = await site.http.request("GET", f"{site.url}/livez")
        late = await site.complete()
    assert (ready.status, live.status, late.status) == (503, 200, 200)
    assert support.header(late, "connection") == "close"


async def test_drain_serves_connection_in_the_accept_queue(
    site: support.Site,
) -> None:
    """Guards against dropping a connection that was not accepted yet.

    The event loop does not run between the connect and the drain, so that the
    connection is still in the accept queue when the drain begins.
    """
    bound = site.entry.callers_address()
    with socket.create_connection((bound.host, bound.port)) as client:
        client.sendall(b"GET /livez HTTP/1.1\r\nHost: x\r\n\r\n")
        await site.entry.listener.drain()
        assert client.recv(100).startswith(b"HTTP/1.1 200")


def _free_port() -> int:
    with socket.socket() as temporary_socket:
        temporary_socket.bind(("127.0.0.1", 0))
        return int(temporary_socket.getsockname()[1])


@contextlib.asynccontextmanager
async def _open_parts(
    _: entry_settings.EntrySettings,
) -> collections.abc.AsyncIterator[daemon.Parts]:
    agent = scripted_agent.ScriptedAgent(batch_interval_s=0.05)
    identity = handshake.Identity("entry", "e")
    async with (
        scripted_agent.open_agent(agent, support.SECRETS),
        pool.open_pool(identity, support.SECRETS) as peers,
    ):
        fleet = holder.FleetHolder()
        fleet.advance(support.build_fleet([agent]))
        fleet.confirmed.set()
        yield daemon.Parts(fleet, peers, support.KEYS.get)


@pytest.mark.parametrize("signals", [1, 2])
async def test_sigterm_finishes_streams_and_a_second_cuts_them(
    signals: int,
) -> None:
    listen = address.Address("127.0.0.1", _free_port())
    settings = support.settings(callers_listen=listen, drain_delay_s=0.0)
    events: list[str] = []

    async def stream_completion() -> None:
        async with httpcore.AsyncConnectionPool() as http:
            entry = support.Caller(f"http://{listen}", http)
            with contextlib.suppress(httpcore.RemoteProtocolError):
                events.extend(await entry.stream(40))

    async def send_signals() -> None:
        await anyio.sleep(0.3)
        os.kill(os.getpid(), signal.SIGTERM)
        if signals > 1:
            await anyio.sleep(0.1)
            os.kill(os.getpid(), signal.SIGTERM)

    failure: BaseException | None = None
    with anyio.fail_after(10):
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(console_entry.serve, settings, _open_parts)
                await anyio.sleep(0.1)
                group.start_soon(stream_completion)
                group.start_soon(send_signals)
        except* exceptions.CommandError as errors:
            failure = errors
    assert (failure is not None) == (signals > 1)
    assert ("[DONE]" in events) == (signals == 1)


def _write_settings(folder: pathlib.Path, callers: str) -> str:
    (folder / "secret").write_text("s" * 20)
    file = folder / "entry.ini"
    file.write_text(
        "[process]\nname = e\ndata_centre = ikeja\nlisten = 127.0.0.1:0\n"
        f"control = 127.0.0.1:1\nsecret_file = {folder / 'secret'}\n"
        f"[entry]\ncallers_listen = {callers}\n"
    )
    return str(file)


def test_port_in_use_is_reported_with_its_exit_code(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.socket() as occupying_socket:
        occupying_socket.bind(("127.0.0.1", 0))
        occupying_socket.listen()
        occupied_address = f"127.0.0.1:{occupying_socket.getsockname()[1]}"
        code = application.run(
            ["entry", _write_settings(tmp_path, occupied_address)]
        )
    assert code == exceptions.ExitCode.ADDRESS_IN_USE
    assert f"cannot listen on {occupied_address}" in capsys.readouterr().err


def test_all_invalid_settings_are_reported_together(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = _write_settings(tmp_path, "localhost:80\nretry_share = 2\nx = 1")
    code = application.run(["entry", path])
    stderr = capsys.readouterr().err
    assert code == exceptions.ExitCode.INVALID_FILE
    for option in ("callers_listen", "retry_share", "x: unknown option"):
        assert option in stderr
