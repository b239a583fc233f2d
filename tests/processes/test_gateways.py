from __future__ import annotations

import json
import pathlib
import signal

import anyio
import pytest
from tests.platform import test_configurations
from tests.registry import support
from tests.support import node_site
from tests.support import raw_target

from cactusstile.http import messages
from cactusstile.observability import request_trace

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
FRONT, READY, OPERATOR = 6, 7, 8


def _request(identity: str) -> messages.Request:
    return messages.Request(
        b"POST",
        b"/a/x",
        (
            (b"host", b"h.example"),
            (b"x-cactusstile-attempt-id", identity.encode()),
            (b"x-cactusstile-key", b"k"),
        ),
        b"body",
    )


def _replace(version: int) -> messages.Request:
    document = test_configurations.document(version=version)
    document["routes"][0]["kind"] = "non_idempotent"
    body = json.dumps(document).encode()
    headers = ((b"host", b"x"),)
    return messages.Request(b"POST", b"/-/Config.Replace", headers, body)


def _get(path: bytes) -> messages.Request:
    return messages.Request(b"GET", path, ((b"host", b"x"),))


async def _check_lost_answer(site: node_site.NodeSite) -> None:
    """Checks that a lost answer is a 502 and logged under its request id."""
    status, _ = await site.ask(site.gateway_host, FRONT, _request("three"))
    assert status == 502
    assert await site.stop("g-1") == 0
    lines = request_trace.describe("three", site.log("g-1"))
    assert any("closed or reset the connection" in line for line in lines)


async def test_gateway_and_registry_serve_across_kills(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against the loss of an acknowledged configuration."""
    scripts = [raw_target.answer(b"1"), raw_target.answer(b"2")]
    async with (
        raw_target.open_target(
            *scripts, raw_target.send_raw(b""), service="s"
        ) as target,
        node_site.open_site(
            tmp_path, support.draw_network(), support.FIRST_PORT
        ) as site,
    ):
        site.listed.append(target.target)
        await site.start("registry", "r-1", site.registry_host)
        await site.start("gateway", "g-1", site.gateway_host)
        await site.wait_for(site.registry_host, OPERATOR, _replace(3), 200)
        await site.wait_for(site.gateway_host, READY, _get(b"/-/readyz"), 200)
        answer = await site.wait_for(
            site.gateway_host, FRONT, _request("one"), 200
        )
        assert answer == b"1"

        # After a kill of both, the acknowledged configuration applies again.
        for name in ("r-1", "g-1"):
            assert await site.stop(name, signal.SIGKILL) == -signal.SIGKILL
        await site.start("gateway", "g-1", site.gateway_host)
        await site.start("registry", "r-1", site.registry_host)
        answer = await site.wait_for(
            site.gateway_host, FRONT, _request("two"), 200
        )
        assert answer == b"2"
        read = await site.wait_for(
            site.registry_host, OPERATOR, _get(b"/-/Config.Get"), 200
        )
        assert json.loads(read)["version"] == 3

        await _check_lost_answer(site)
        assert len(target.requests) == 3


async def test_gateway_drains_and_is_not_ready_after_sigterm(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a SIGTERM that interrupts requests in flight."""

    async def answer_late(stream: object, request: bytes) -> bool:
        await anyio.sleep(1.0)
        return await raw_target.answer(b"late")(stream, request)  # type: ignore[arg-type]

    async with (
        raw_target.open_target(answer_late, service="s") as target,
        node_site.open_site(
            tmp_path, support.draw_network(), support.FIRST_PORT
        ) as site,
        anyio.create_task_group() as group,
    ):
        site.listed.append(target.target)
        await site.start("registry", "r-1", site.registry_host)
        await site.start("gateway", "g-1", site.gateway_host)
        await site.wait_for(site.registry_host, OPERATOR, _replace(3), 200)
        await site.wait_for(site.gateway_host, READY, _get(b"/-/readyz"), 200)
        answers: list[tuple[int, bytes]] = []

        async def send_request() -> None:
            answers.append(
                await site.ask(site.gateway_host, FRONT, _request("one"))
            )

        group.start_soon(send_request)
        while not target.requests:
            await anyio.sleep(0.02)
        site.processes["g-1"].send_signal(signal.SIGTERM)
        await site.wait_for(site.gateway_host, READY, _get(b"/-/readyz"), 503)
        with anyio.fail_after(10):
            assert await site.processes.pop("g-1").wait() == 0
        assert answers == [(200, b"late")]
