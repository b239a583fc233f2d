"""Crowds of slow clients, also while a process reloads, drains and starts."""

from __future__ import annotations

import contextlib
import json
import pathlib
import signal
import typing

import anyio
import pytest
from tests.processes import test_crowds
from tests.processes import test_crowds_of_a_site
from tests.support import crowd
from tests.support import node_site
from tests.support import raw_target
from tests.support import site_processes

from cactusstile.http import messages
from cactusstile.observability import limited_protocol
from cactusstile.targets import service

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
# More clients than there are descriptors.
CROWD = 400
SETTLE_S = 5.0
RELOADS = 50
LARGE_BYTES = 1 << 20
EVENTS = 20_000
# More than the clients ask for.
MAX_ANSWERS = 100_000
ENTRY = "entry-1-callers"
# An entry lets what is in flight finish, within its longest wait for a caller.
ENTRY_DRAIN_S = limited_protocol.STALL_TIMEOUT_S + crowd.HANG_S
SLOW_BYTES = b"a" * 1000
HEAD = b"POST /a/x HTTP/1.1\r\nhost: h.example\r\nx-cactusstile-key: k\r\n"
SLOW_HEAD = (HEAD, b"a: " + SLOW_BYTES)
SLOW_BODY = (HEAD + b"content-length: 1000\r\n\r\n", SLOW_BYTES)
TAKER = (HEAD.replace(b"/a/", b"/l/") + b"\r\n", b"")
READER = (b"GET /-/Config.Get HTTP/1.1\r\nhost: x\r\n\r\n", b"")
WHOLE = raw_target.answer(bytes(LARGE_BYTES))
STREAMED = raw_target.stream_events(range(EVENTS))
site = test_crowds.site


@contextlib.asynccontextmanager
async def open_large_target(
    site: node_site.NodeSite, script: raw_target.Script
) -> typing.AsyncIterator[raw_target.RawTarget]:
    """Adds a route whose target sends large answers."""
    replace = test_crowds.configuration(4)
    document = json.loads(replace.body)
    split = [{"service": "large", "weight": 1}]
    added = {"name": "l", "pathPrefix": "/l/", "trafficSplit": split}
    document["routes"].append({**document["routes"][0], **added})
    document["services"].append({"name": "large"})
    replace = messages.Request(
        replace.method,
        replace.target,
        replace.headers,
        json.dumps(document).encode(),
    )
    scripts = [script] * MAX_ANSWERS
    opened = raw_target.open_target(*scripts, service="large", id="l")
    async with opened as target:
        site.listed.append(target.target)
        offset = test_crowds.OPERATOR
        await site.wait_for(site.registry_host, offset, replace, 200)
        yield target


# Guards against a gateway that is taken by callers of a byte a second.
@pytest.mark.parametrize(
    ("part", "script"),
    [
        (SLOW_HEAD, WHOLE),
        (SLOW_BODY, WHOLE),
        (TAKER, WHOLE),
        (TAKER, STREAMED),
    ],
    ids=["head", "body", "whole-answer", "streamed-answer"],
)
async def test_slow_callers_keep_others_from_a_gateway(
    site: node_site.NodeSite,
    part: tuple[bytes, bytes],
    script: raw_target.Script,
) -> None:
    listener = test_crowds.listeners(site)["callers"]
    opened = crowd.open_slow_crowd(
        site.gateway_host, listener.port, CROWD, part
    )
    async with open_large_target(site, script) as target, opened as clients:
        await anyio.sleep(SETTLE_S)
        await test_crowds.check(site, listener)
        assert part is not TAKER or (clients.taken_bytes and target.requests)


# Guards against a crowd that ends a process at a signal, or its successor.
@pytest.mark.parametrize(
    ("role", "name", "last"),
    [("gateway", "callers", TAKER), ("registry", "operator", READER)],
)
async def test_slow_crowd_while_a_process_reloads_and_restarts(
    site: node_site.NodeSite, role: str, name: str, last: tuple[bytes, bytes]
) -> None:
    listener = test_crowds.listeners(site)[name]
    process, host = listener.process, test_crowds.host_of(site, listener)
    opened = crowd.open_slow_crowd(
        host, listener.port, CROWD, SLOW_HEAD, SLOW_BODY, last
    )
    async with open_large_target(site, WHOLE), opened:
        await anyio.sleep(SETTLE_S)
        for _ in range(RELOADS):
            site.processes[process].send_signal(signal.SIGHUP)
            await anyio.sleep(0.05)
        await test_crowds.check(site, listener)
        assert await site.stop(process) == 0
        await site.start(role, process, host, first_start=False)
        pid = site.processes[process].pid
        crowd.lower_descriptors(pid, test_crowds.DESCRIPTORS)
        await test_crowds.check(site, listener)


@contextlib.asynccontextmanager
async def open_entry_site(
    folder: pathlib.Path, answer_bytes: int = LARGE_BYTES
) -> typing.AsyncIterator[site_processes.Site]:
    """Runs a site with a service that sends large answers."""
    scripts = [raw_target.answer(bytes(answer_bytes))] * MAX_ANSWERS
    async with (
        raw_target.open_target(*scripts) as target,
        test_crowds_of_a_site.open_site(folder) as site,
    ):
        section = "[agent]\nkind = service\ntarget = service-1\n"
        url = f"url = http://{target.target.address}\n"
        site.start_role("agent", "service-1", section + url)
        port, call = site.port(ENTRY), entry_parts(site)["answer"][0]
        with anyio.fail_after(crowd.HANG_S):
            answer = b""
            while not answer.startswith(b"HTTP/1.1 200"):
                answer = await test_crowds_of_a_site.ask(site.host, port, call)
        yield site


def entry_parts(site: site_processes.Site) -> dict[str, tuple[bytes, bytes]]:
    """Returns what clients of an entry send, by what is slow about it."""
    request = test_crowds_of_a_site.chat(site, 3)
    head, _, body = request.partition(b"\r\n\r\n")
    called = head.replace(b"/v1/chat/completions", b"/services/inventory/x")
    return {
        "head": (head + b"\r\n", b"a: " + SLOW_BYTES),
        "body": (head + b"\r\n\r\n", body),
        "answer": (called + b"\r\n\r\n" + body, b""),
    }


# Guards against an entry that is taken by callers of a byte a second.
@pytest.mark.parametrize("case", ["head", "body", "answer", "largest-answer"])
async def test_slow_callers_keep_others_from_an_entry(
    tmp_path: pathlib.Path, case: str
) -> None:
    answer_bytes = LARGE_BYTES
    if case == "largest-answer":
        answer_bytes = service.MAX_ANSWER_BYTES
    async with open_entry_site(tmp_path, answer_bytes) as site:
        port, part = (
            site.port(ENTRY),
            entry_parts(site)[case.removeprefix("largest-")],
        )
        async with crowd.open_slow_crowd(site.host, port, CROWD, part):
            await anyio.sleep(SETTLE_S)
            await test_crowds_of_a_site.check(site, ENTRY)


# Guards against a crowd that ends an entry at a signal, or its successor.
async def test_slow_crowd_while_an_entry_reloads_and_restarts(
    tmp_path: pathlib.Path,
) -> None:
    async with open_entry_site(tmp_path) as site:
        port, parts = site.port(ENTRY), entry_parts(site).values()
        async with crowd.open_slow_crowd(site.host, port, CROWD, *parts):
            await anyio.sleep(SETTLE_S)
            running = site.processes["entry-1"]
            for _ in range(RELOADS):
                running.send_signal(signal.SIGHUP)
                await anyio.sleep(0.05)
            await test_crowds_of_a_site.check(site, ENTRY)
            running.terminate()
            with anyio.fail_after(ENTRY_DRAIN_S):
                while running.poll() is None:
                    await anyio.sleep(0.05)
            assert running.returncode == 0
            settings = str(site.folder / "entry-1.ini")
            site.start("entry-1", "cactusstile", "entry", settings)
            crowd.lower_descriptors(
                site.processes["entry-1"].pid, test_crowds_of_a_site.DESCRIPTORS
            )
            await test_crowds_of_a_site.check(site, ENTRY)
