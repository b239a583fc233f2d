"""Clients that do not behave, at each listener of entry, agent and control."""

from __future__ import annotations

import contextlib
import json
import pathlib
import ssl
import typing

import anyio
import anyio.to_thread
import pytest
import trustme
from tests.processes import test_whole_path
from tests.support import crowd
from tests.support import site_processes

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
MEMORY_MB = 150
DESCRIPTORS = 256
# Left for files and for connections between processes.
MAX_DESCRIPTORS = 240
SENDERS = 8
SENT_BYTES = 32 << 20
# More clients than there are descriptors.
CROWD = 400
HEADS = 120
BUFFERED_BYTES = 8_000_000
HANDSHAKES_S = 5.0
PROCESSES = ("entry-1", "engine-1", "control-1")


@contextlib.asynccontextmanager
async def open_site(
    folder: pathlib.Path, entry_options: str = ""
) -> typing.AsyncIterator[site_processes.Site]:
    """Runs a site whose processes have few descriptors and little memory."""
    opened = site_processes.Site(folder)
    try:
        opened.write("fleet.secret", "fleet-secret-of-the-tests")
        opened.write("operator.secret", "operator-secret-of-tests")
        for name in site_processes.CONTROLS:
            site_processes.start_control(opened, name)
        port = opened.port("entry-1-callers")
        section = f"[entry]\ncallers_listen = {opened.host}:{port}\n"
        section += f"max_buffered_bytes = {BUFFERED_BYTES}\n"
        section += entry_options
        opened.start_role("entry", "entry-1", section)
        site_processes.start_target(opened, "engine-1", "engine")
        fleet = opened.write("fleet.ini", site_processes.fleet_text(opened))
        await test_whole_path.apply(opened, fleet)
        for name in PROCESSES:
            await anyio.to_thread.run_sync(opened.wait_ready, name)
            crowd.lower_descriptors(opened.processes[name].pid, DESCRIPTORS)
        yield opened
    finally:
        opened.close()


@pytest.fixture
async def site(
    tmp_path: pathlib.Path,
) -> typing.AsyncIterator[site_processes.Site]:
    async with open_site(tmp_path) as opened:
        yield opened


def chat(
    site: site_processes.Site, max_tokens: int, fields: int = 0, **more: object
) -> bytes:
    """Returns a whole request for a prompt, with further header fields."""
    body = json.dumps(
        {
            "model": "chat",
            "messages": [{"role": "user", "content": "asset"}],
            "max_tokens": max_tokens,
            **more,
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
        f"authorization: Bearer {site.keys['bank']}\r\n"
        f"content-length: {len(body)}\r\n"
    )
    return head.encode() + b"a:\r\n" * fields + b"\r\n" + body


async def ask(
    host: str, port: int, request: bytes, tls: ssl.SSLContext | None = None
) -> bytes:
    """Returns the first bytes of an answer; empty if there is none."""
    try:
        async with await anyio.connect_tcp(
            host,
            port,
            ssl_context=tls,  # type: ignore[arg-type]
            tls_standard_compatible=False,
        ) as stream:
            await stream.send(request)
            return await stream.receive()
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        return b""


async def check(
    site: site_processes.Site, name: str, tls: ssl.SSLContext | None = None
) -> None:
    """Checks what must hold while a crowd stays at listener `name`."""
    for process in PROCESSES:
        running = site.processes[process]
        assert running.poll() is None
        assert crowd.peak_mb(running.pid) < MEMORY_MB
        assert crowd.open_descriptors(running.pid) <= MAX_DESCRIPTORS
    request = b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n"
    if name == "entry-1-callers":
        request = chat(site, 3)
    with anyio.fail_after(crowd.HANG_S):
        answer = b""
        while not answer.startswith(b"HTTP/1.1 200"):
            answer = await ask(site.host, site.port(name), request, tls)
            await anyio.sleep(0.05)
    for process in PROCESSES:
        assert site.processes[process].poll() is None
        assert crowd.peak_mb(site.processes[process].pid) < MEMORY_MB


SENT_AHEAD = [
    ("entry-1-callers", b"POST /v1/chat/completions HTTP/1.1"),
    ("entry-1-callers", b"GET /n HTTP/1.1"),
    ("entry-1-callers", b"GET /readyz HTTP/1.1"),
    ("entry-1-admin", b"GET /metrics HTTP/1.1"),
    ("entry-1-admin", b"GET /n HTTP/1.1"),
    ("engine-1-admin", b"GET /metrics HTTP/1.1"),
    ("engine-1-admin", b"GET /dump HTTP/1.1"),
    ("control-1-admin", b"GET /metrics HTTP/1.1"),
    ("control-1-admin", b"GET /readyz HTTP/1.1"),
]
LISTENERS = (
    "entry-1-callers",
    "entry-1-admin",
    "engine-1-admin",
    "control-1-admin",
)


# Guards against an end by memory while a client sends and reads nothing.
@pytest.mark.parametrize(
    ("name", "line"), SENT_AHEAD, ids=range(len(SENT_AHEAD))
)
async def test_requests_sent_ahead_fill_the_memory(
    site: site_processes.Site, name: str, line: bytes
) -> None:
    data = line + b"\r\nhost: x\r\n\r\n"
    times = SENT_BYTES // len(data)
    opened = crowd.open_crowd(site.host, site.port(name), SENDERS, data, times)
    async with opened:
        await check(site, name)


BODY_BYTES = SENT_BYTES // SENDERS
ENDLESS = {
    "chunk-extensions": b"5;" + b"a" * BODY_BYTES,
    "chunks-of-one-byte": b"1\r\na\r\n" * (BODY_BYTES // 6),
    "trailers": b"0\r\n" + b"a: b\r\n" * (BODY_BYTES // 6),
}


# Guards against requests whose parts never end, beside their heads and bodies.
@pytest.mark.parametrize("case", ENDLESS)
@pytest.mark.parametrize("name", ["entry-1-callers", "control-1-admin"])
async def test_requests_that_never_end_fill_the_memory(
    site: site_processes.Site, name: str, case: str
) -> None:
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
        f"authorization: Bearer {site.keys['bank']}\r\n"
        "transfer-encoding: chunked\r\n\r\n"
    )
    data = head.encode() + ENDLESS[case]
    async with crowd.open_crowd(site.host, site.port(name), SENDERS, data):
        await check(site, name)


# Guards against a listener that a crowd of silent clients takes for itself.
@pytest.mark.parametrize(
    "begun", [b"", b"GET /readyz HT"], ids=["nothing", "part-of-a-head"]
)
@pytest.mark.parametrize("name", LISTENERS)
async def test_silent_connections_keep_others_out(
    site: site_processes.Site, name: str, begun: bytes
) -> None:
    opened = crowd.open_crowd(site.host, site.port(name), CROWD, begun)
    async with opened:
        await check(site, name)


# Guards against bodies that never come, which hold what was admitted.
async def test_bodies_that_never_come_keep_others_out(
    site: site_processes.Site,
) -> None:
    begun = chat(site, 3)[:-10]
    port = site.port("entry-1-callers")
    async with crowd.open_crowd(site.host, port, CROWD, begun):
        await check(site, "entry-1-callers")


# Guards against heads of many fields, which take many times their size.
async def test_heads_of_many_fields_fill_the_memory(
    site: site_processes.Site,
) -> None:
    request = chat(site, 4000, fields=7_800)
    port = site.port("entry-1-callers")
    async with crowd.open_crowd(site.host, port, HEADS, request):
        await check(site, "entry-1-callers")


def hello() -> bytes:
    """Returns the first message of a TLS client."""
    sent = ssl.MemoryBIO()
    context = ssl.create_default_context()
    client = context.wrap_bio(ssl.MemoryBIO(), sent, server_hostname="x")
    with contextlib.suppress(ssl.SSLWantReadError):
        client.do_handshake()
    return sent.read()


# Guards against an entry that unfinished TLS handshakes take for themselves.
@pytest.mark.parametrize("begun_bytes", [0, 5, 10_000])
async def test_unfinished_handshakes_keep_others_from_an_entry(
    tmp_path: pathlib.Path, begun_bytes: int
) -> None:
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    issued.private_key_pem.write_to_path(tmp_path / "key.pem")
    issued.cert_chain_pems[0].write_to_path(tmp_path / "chain.pem")
    context = ssl.create_default_context()
    authority.configure_trust(context)
    context.check_hostname = False
    options = f"tls_certificate = {tmp_path / 'chain.pem'}\n"
    options += f"tls_key = {tmp_path / 'key.pem'}\n"
    first = hello()
    part = (first[:begun_bytes], first[begun_bytes:])
    async with open_site(tmp_path, options) as site:
        name = "entry-1-callers"
        port = site.port(name)
        async with crowd.open_slow_crowd(site.host, port, CROWD, part):
            await anyio.sleep(HANDSHAKES_S)
            await check(site, name, context)
