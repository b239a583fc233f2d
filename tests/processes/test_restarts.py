"""What processes still know after all of them were killed and started."""

from __future__ import annotations

import contextlib
import json
import signal
import typing

import anyio
import anyio.abc
import anyio.to_thread
import attrs
import pytest
from tests.platform import test_configurations
from tests.registry import support
from tests.support import node_site
from tests.support import raw_target

from cactusstile.console import application
from cactusstile.console import exceptions
from cactusstile.http import exceptions as http_exceptions
from cactusstile.http import messages

if typing.TYPE_CHECKING:
    import pathlib

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
FRONT, READY, OPERATOR = 6, 7, 8
BAD = b"/a/bad"
ENDS = 3


def request(
    identity: str, *, key: bytes = b"k", path: bytes = b"/a/x"
) -> messages.Request:
    fields = (
        (b"host", b"h.example"),
        (b"x-cactusstile-attempt-id", identity.encode()),
        (b"x-cactusstile-key", key),
    )
    return messages.Request(b"POST", path, fields, b"body")


def replace(version: int, key: str) -> messages.Request:
    workspace = {"name": "w", "apiKeys": [key], "priority": 1}
    document = test_configurations.document(
        version=version, tenants=[workspace]
    )
    document["routes"][0]["kind"] = "idempotent"
    document["routes"][0]["maxAttempts"] = ENDS
    headers = ((b"host", b"x"),)
    body = json.dumps(document).encode()
    return messages.Request(b"POST", b"/-/Config.Replace", headers, body)


def get(path: bytes) -> messages.Request:
    return messages.Request(b"GET", path, ((b"host", b"x"),))


async def start(site: node_site.NodeSite) -> None:
    await site.start("registry", "r-1", site.registry_host)
    await site.start("gateway", "g-1", site.gateway_host)


async def kill_and_start_all(site: node_site.NodeSite) -> None:
    for name in ("r-1", "g-1"):
        assert await site.stop(name, signal.SIGKILL) == -signal.SIGKILL
    await start(site)


@pytest.fixture
async def site(
    tmp_path: pathlib.Path,
) -> typing.AsyncIterator[node_site.NodeSite]:
    async with node_site.open_site(
        tmp_path, support.draw_network(), support.FIRST_PORT
    ) as opened:
        yield opened


async def test_withdrawn_key_or_target_that_left_is_in_use_after_a_restart(
    site: node_site.NodeSite,
) -> None:
    answers = [raw_target.answer()] * 50
    async with (
        raw_target.open_target(*answers, service="s", id="stays") as stays,
        raw_target.open_target(*answers, service="s", id="leaves") as leaves,
    ):
        site.listed += [stays.target, leaves.target]
        await start(site)
        for version, key in ((3, "k"), (4, "new")):
            change = replace(version, key)
            await site.wait_for(site.registry_host, OPERATOR, change, 200)
        site.listed[1] = attrs.evolve(leaves.target, leaving=True)
        await kill_and_start_all(site)
        statuses = set()
        with anyio.fail_after(node_site.STARTUP_TIMEOUT_S):
            while 401 not in statuses:
                with contextlib.suppress(http_exceptions.HttpError):
                    status, _ = await site.ask(
                        site.gateway_host, FRONT, request("withdrawn")
                    )
                    statuses.add(status)
                await anyio.sleep(0.02)
        assert statuses <= {401, 503}
        for number in range(20):
            asked = request(f"new-{number}", key=b"new")
            await site.wait_for(site.gateway_host, FRONT, asked, 200)
        assert len(stays.requests) == 20
        assert leaves.requests == []


async def test_held_request_is_sent_on_after_all_processes_have_ended(
    site: node_site.NodeSite, capsys: pytest.CaptureFixture[str]
) -> None:
    async with contextlib.AsyncExitStack() as stack:
        targets = []
        for number in range(ENDS + 1):
            target = await stack.enter_async_context(
                raw_target.open_target(service="s", id=f"t-{number}")
            )
            target.scripts += [end_of(target)] * 9
            targets.append(target)
        site.listed += [target.target for target in targets]
        await start(site)
        change = replace(3, "k")
        await site.wait_for(site.registry_host, OPERATOR, change, 200)
        await site.wait_for(site.gateway_host, READY, get(b"/-/readyz"), 200)
        bad = request("bad", path=BAD)
        # A gateway that has just started sends no repeats.
        await site.wait_for(site.gateway_host, FRONT, bad, 503)
        hold = await wait_for_hold(site)
        assert (hold["route"], hold["workspace"]) == ("r", "w")
        await kill_and_start_all(site)
        await site.wait_for(site.gateway_host, READY, get(b"/-/readyz"), 200)
        status, body = await site.ask(site.gateway_host, FRONT, bad)
        assert (status, b"quarantined" in body) == (503, True)
        assert sum(len(target.requests) for target in targets) == ENDS

        registry = f"{site.registry_host}:{site.port + OPERATOR}"
        command = ["holds", registry, "--release", hold["id"]]
        code = await anyio.to_thread.run_sync(application.run, command)
        assert code is exceptions.ExitCode.OK
        assert hold["id"] in capsys.readouterr().out
        await site.wait_for(site.gateway_host, FRONT, bad, 502)
        assert sum(len(target.requests) for target in targets) == ENDS + 1


def end_of(target: raw_target.RawTarget) -> raw_target.Script:
    """Returns a script that ends the target."""

    async def run(stream: anyio.abc.SocketStream, data: bytes) -> bool:
        del stream, data
        await anyio.sleep(0.05)
        await target.end()
        return False

    return run


async def wait_for_hold(site: node_site.NodeSite) -> dict[str, typing.Any]:
    with anyio.fail_after(10):
        while True:
            _, body = await site.ask(
                site.registry_host, OPERATOR, get(b"/holds")
            )
            holds = json.loads(body)["holds"]
            if holds:
                return typing.cast("dict[str, typing.Any]", holds[0])
            await anyio.sleep(0.05)
