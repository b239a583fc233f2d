"""Clients that do not behave, at each listener of gateways and registries."""

from __future__ import annotations

import contextlib
import json
import pathlib
import secrets
import typing

import anyio
import pytest
from tests.platform import test_configurations
from tests.registry import support
from tests.support import crowd
from tests.support import node_site
from tests.support import raw_target

from cactusstile.http import messages

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
FRONT, READY, OPERATOR = 6, 7, 8
MEMORY_MB = 100
DESCRIPTORS = 256
# Left for files and for connections to targets and between processes.
MAX_DESCRIPTORS = 240
HOST = ((b"host", b"x"),)
# Requests without the usual fields, sent ahead by a few clients.
SENDERS = 8
SENT_BYTES = 32 << 20
# More clients than there are descriptors.
CROWD = 400
HEADS = 200


class Listener(typing.NamedTuple):
    """A listener, a request that it answers, and the status of the answer."""

    process: str
    port: int
    request: messages.Request
    status: int


@pytest.fixture
async def site(
    tmp_path: pathlib.Path,
) -> typing.AsyncIterator[node_site.NodeSite]:
    answers, held = [raw_target.answer()] * 50, [raw_target.hold] * 400
    network = support.draw_network()
    async with (
        raw_target.open_target(*answers, service="s", id="t") as target,
        raw_target.open_target(*held, service="held", id="h") as holder,
        node_site.open_site(tmp_path, network, support.FIRST_PORT) as opened,
    ):
        opened.memory_mb = MEMORY_MB
        opened.listed += [target.target, holder.target]
        await opened.start("registry", "r-1", opened.registry_host)
        await opened.start("gateway", "g-1", opened.gateway_host)
        replace = configuration(3)
        await opened.wait_for(opened.registry_host, OPERATOR, replace, 200)
        await opened.wait_for(opened.gateway_host, FRONT, call("first"), 200)
        for process in opened.processes.values():
            crowd.lower_descriptors(process.pid, DESCRIPTORS)
        yield opened


def configuration(version: int, **content: object) -> messages.Request:
    """Returns a change to two routes, one to a service that answers nothing."""
    document = test_configurations.document(version=version, **content)
    (route,) = document["routes"]
    held = [{"service": "held", "weight": 1}]
    other = {"name": "h", "pathPrefix": "/h/", "trafficSplit": held}
    document["routes"].append({**route, **other})
    document["services"].append({"name": "held"})
    body = json.dumps(document).encode()
    return messages.Request(b"POST", b"/-/Config.Replace", HOST, body)


def call(identity: str) -> messages.Request:
    fields = (
        (b"host", b"h.example"),
        (b"x-cactusstile-attempt-id", identity.encode()),
        (b"x-cactusstile-key", b"k"),
    )
    return messages.Request(b"POST", b"/a/x", fields, b"body")


def listeners(site: node_site.NodeSite) -> dict[str, Listener]:
    """Returns the listeners of the site by name."""
    metrics = messages.Request(b"GET", b"/metrics", HOST)
    ready = messages.Request(b"GET", b"/-/readyz", HOST)
    read = messages.Request(b"GET", b"/-/Config.Get", HOST)
    port = site.port
    return {
        "callers": Listener("g-1", port + FRONT, call("ordinary"), 200),
        "readiness": Listener("g-1", port + READY, ready, 200),
        "gateway-metrics": Listener("g-1", 9464, metrics, 200),
        "operator": Listener("r-1", port + OPERATOR, read, 200),
        "registry-metrics": Listener("r-1", 9465, metrics, 200),
    }


def host_of(site: node_site.NodeSite, listener: Listener) -> str:
    if listener.process == "g-1":
        return site.gateway_host
    return site.registry_host


async def check(site: node_site.NodeSite, listener: Listener) -> None:
    """Checks what must hold while a crowd stays."""
    for name, process in site.processes.items():
        assert process.returncode is None, site.log(name)[-1]
        assert crowd.peak_mb(process.pid) < MEMORY_MB
        assert crowd.open_descriptors(process.pid) <= MAX_DESCRIPTORS
    host, offset = host_of(site, listener), listener.port - site.port
    with anyio.fail_after(crowd.HANG_S):
        while True:
            with contextlib.suppress(Exception):
                status, _ = await site.ask(host, offset, listener.request)
                if status == listener.status:
                    break
            await anyio.sleep(0.05)
    for process in site.processes.values():
        assert process.returncode is None
        assert crowd.peak_mb(process.pid) < MEMORY_MB


SENT_AHEAD = {
    "requests-without-their-headers": (
        "callers",
        b"POST /a/x HTTP/1.1\r\nhost: h.example\r\n\r\n",
    ),
    "paths-without-a-route": ("callers", b"GET /n HTTP/1.1\r\nhost: x\r\n\r\n"),
    "heads-without-a-host": ("callers", b"GET /a/x HTTP/1.0\r\n\r\n"),
    "readiness": ("readiness", b"GET /-/readyz HTTP/1.1\r\nhost: x\r\n\r\n"),
    "gateway-metrics": (
        "gateway-metrics",
        b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n",
    ),
    "gateway-dumps": (
        "gateway-metrics",
        b"GET /dump HTTP/1.1\r\nhost: x\r\n\r\n",
    ),
    "configurations": (
        "operator",
        b"GET /-/Config.Get HTTP/1.1\r\nhost: x\r\n\r\n",
    ),
    "unknown-operator-calls": (
        "operator",
        b"GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n",
    ),
    "registry-metrics": (
        "registry-metrics",
        b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n",
    ),
}


# Guards against an end by memory while a client sends and reads nothing.
@pytest.mark.parametrize("case", SENT_AHEAD)
async def test_requests_sent_ahead_fill_the_memory(
    site: node_site.NodeSite, case: str
) -> None:
    name, data = SENT_AHEAD[case]
    listener = listeners(site)[name]
    opened = crowd.open_crowd(
        host_of(site, listener),
        listener.port,
        SENDERS,
        data,
        SENT_BYTES // len(data),
    )
    async with opened:
        await check(site, listener)


BODY_BYTES = SENT_BYTES // SENDERS
CHUNKED = (
    b"POST /a/x HTTP/1.1\r\nhost: h.example\r\nx-cactusstile-key: k\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
ENDLESS = {
    "chunk-extensions": CHUNKED + b"5;" + b"a" * BODY_BYTES,
    "chunks-of-one-byte": CHUNKED + b"1\r\na\r\n" * (BODY_BYTES // 6),
    "trailers": CHUNKED + b"0\r\n" + b"a: b\r\n" * (BODY_BYTES // 6),
    "http2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes(BODY_BYTES),
}


# Guards against requests whose parts never end, beside their heads and bodies.
@pytest.mark.parametrize("case", ENDLESS)
@pytest.mark.parametrize("name", ["callers", "operator"])
async def test_requests_that_never_end_fill_the_memory(
    site: node_site.NodeSite, name: str, case: str
) -> None:
    listener = listeners(site)[name]
    opened = crowd.open_crowd(
        host_of(site, listener), listener.port, SENDERS, ENDLESS[case]
    )
    async with opened:
        await check(site, listener)


# Guards against a listener that a crowd of silent clients takes for itself.
@pytest.mark.parametrize(
    "begun", [b"", b"GET /a/x HT"], ids=["nothing", "part-of-a-head"]
)
@pytest.mark.parametrize(
    "name",
    [
        "callers",
        "readiness",
        "gateway-metrics",
        "operator",
        "registry-metrics",
    ],
)
async def test_silent_connections_keep_others_out(
    site: node_site.NodeSite, name: str, begun: bytes
) -> None:
    listener = listeners(site)[name]
    opened = crowd.open_crowd(
        host_of(site, listener), listener.port, CROWD, begun
    )
    async with opened:
        await check(site, listener)


# Guards against heads of many fields, which take many times their size.
async def test_heads_of_many_fields_fill_the_memory(
    site: node_site.NodeSite,
) -> None:
    head = b"POST /h/x HTTP/1.1\r\nhost: h.example\r\nx-cactusstile-key: k\r\n"
    fields = b"a:\r\n" * 3900
    begun = head + fields + b"content-length: 9\r\n\r\nbody"
    listener = listeners(site)["callers"]
    opened = crowd.open_crowd(site.gateway_host, listener.port, HEADS, begun)
    async with opened:
        await check(site, listener)


# Guards against large answers that each of many clients leaves unread.
async def test_configurations_that_nobody_reads_fill_the_memory(
    site: node_site.NodeSite,
) -> None:
    workspaces = [
        {
            "name": f"w{number}",
            "apiKeys": ["k" if not number else secrets.token_hex(64)],
            "priority": 1,
        }
        for number in range(16_000)
    ]
    replace = configuration(4, tenants=workspaces)
    await site.wait_for(site.registry_host, OPERATOR, replace, 200)
    holds = messages.Request(b"GET", b"/holds", HOST)
    listener = listeners(site)["operator"]._replace(request=holds)
    data = b"GET /-/Config.Get HTTP/1.1\r\nhost: x\r\n\r\n"
    opened = crowd.open_crowd(site.registry_host, listener.port, HEADS, data)
    async with opened:
        await check(site, listener)


# Guards against a port between processes that nobody else reaches any more.
@pytest.mark.parametrize(
    "begun", [b"", bytes(4000)], ids=["nothing", "part-of-a-frame"]
)
async def test_crowd_keeps_a_new_gateway_from_its_registry(
    site: node_site.NodeSite, begun: bytes
) -> None:
    opened = crowd.open_crowd(site.registry_host, site.port, CROWD, begun)
    async with opened:
        await check(site, listeners(site)["operator"])
        host = f"{site.network}.4"
        await site.start("gateway", "g-2", host, first_start=False)
        await site.wait_for(host, FRONT, call("new"), 200)
