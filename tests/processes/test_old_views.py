"""Requests to a gateway whose view of the site is older than it seems."""

from __future__ import annotations

import collections.abc
import contextlib
import json
import pathlib
import signal
import typing

import anyio
import pytest
from tests.platform import test_configurations
from tests.registry import support
from tests.support import node_site
from tests.support import raw_target

from cactusstile.http import messages

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
FRONT, READY, OPERATOR = 6, 7, 8
# Time after its acknowledgement from which a version has to be in force.
APPLY_S = 2.5
CONT, STOP = signal.SIGCONT, signal.SIGSTOP


def _request(path: bytes, identity: str) -> messages.Request:
    fields = (
        (b"host", b"h.example"),
        (b"x-cactusstile-attempt-id", identity.encode()),
        (b"x-cactusstile-key", b"k"),
    )
    return messages.Request(b"GET", path, fields)


def _replace(version: int, *prefixes: str) -> messages.Request:
    """Returns the operator's call that sends a version with some routes."""
    document = test_configurations.document(version=version)
    pattern = document["routes"][0]
    document["routes"] = [
        {**pattern, "name": prefix, "pathPrefix": prefix, "kind": "idempotent"}
        for prefix in prefixes
    ]
    headers = ((b"host", b"x"),)
    return messages.Request(
        b"POST", b"/-/Config.Replace", headers, json.dumps(document).encode()
    )


def _ready() -> messages.Request:
    return messages.Request(b"GET", b"/-/readyz", ((b"host", b"x"),))


class Site(typing.NamedTuple):
    """A registry and a gateway that serve a first version."""

    processes: node_site.NodeSite
    target: raw_target.RawTarget

    async def ask(self, path: bytes, identity: str) -> int:
        """Returns the status of a request to the gateway."""
        host = self.processes.gateway_host
        request = _request(path, identity)
        status, _ = await self.processes.ask(host, FRONT, request)
        return status

    async def acknowledge(self, version: int, *prefixes: str) -> None:
        await self.processes.wait_for(
            self.processes.registry_host,
            OPERATOR,
            _replace(version, *prefixes),
            200,
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        self.processes.processes[name].send_signal(number)

    async def ask_paused(
        self, path: bytes, version: int, *prefixes: str, alone: bool = False
    ) -> list[int]:
        """Returns the statuses of requests that waited during a pause.

        Args:
          path: Path of the requests.
          version: Version that is acknowledged during the pause.
          prefixes: Routes of this version.
          alone: Whether the registry stops before the gateway goes on.
        """
        self.signal("g-1", STOP)
        await self.acknowledge(version, *prefixes)
        await anyio.sleep(APPLY_S)
        if alone:
            self.signal("r-1", STOP)
        statuses: list[int] = []

        async def ask(number: int) -> None:
            statuses.append(await self.ask(path, f"paused-{number}"))

        async with anyio.create_task_group() as group:
            for number in range(3):
                group.start_soon(ask, number)
            await anyio.sleep(0.2)
            self.signal("g-1", CONT)
        return statuses


@contextlib.asynccontextmanager
async def open_site(
    folder: pathlib.Path, *prefixes: str
) -> collections.abc.AsyncIterator[Site]:
    answers = [raw_target.answer(b"ok")] * 50
    async with (
        raw_target.open_target(*answers, service="s") as target,
        node_site.open_site(
            folder, support.draw_network(), support.FIRST_PORT
        ) as processes,
    ):
        site = Site(processes, target)
        processes.listed.append(target.target)
        await processes.start("registry", "r-1", processes.registry_host)
        await processes.start("gateway", "g-1", processes.gateway_host)
        await site.acknowledge(1, *prefixes)
        host = processes.gateway_host
        await processes.wait_for(host, READY, _ready(), 200)
        request = _request(b"/a/x", "first")
        await processes.wait_for(host, FRONT, request, 200)
        yield site


async def test_paused_gateway_refuses_a_route_that_was_added(
    tmp_path: pathlib.Path,
) -> None:
    async with open_site(tmp_path, "/a/") as site:
        assert await site.ask_paused(b"/b/x", 2, "/a/", "/b/") == [200] * 3


async def test_paused_gateway_without_control_refuses_an_added_route_for_good(
    tmp_path: pathlib.Path,
) -> None:
    async with open_site(tmp_path, "/a/") as site:
        statuses = await site.ask_paused(b"/b/x", 2, "/a/", "/b/", alone=True)
        # Control may have sent the version before it stopped.
        assert set(statuses) <= {200, 503}


@pytest.mark.parametrize("alone", [False, True])
async def test_paused_gateway_runs_requests_of_a_dropped_route(
    tmp_path: pathlib.Path, *, alone: bool
) -> None:
    async with open_site(tmp_path, "/a/", "/b/") as site:
        before = len(site.target.requests)
        statuses = await site.ask_paused(b"/b/x", 2, "/a/", alone=alone)
        assert len(site.target.requests) == before
        assert statuses == [503 if alone else 404] * 3


async def test_gateway_stops_serving_in_a_long_cut_of_control(
    tmp_path: pathlib.Path,
) -> None:
    async with open_site(tmp_path, "/a/") as site:
        site.signal("r-1", STOP)
        await anyio.sleep(6)
        for number in range(5):
            assert await site.ask(b"/a/x", f"cut-{number}") == 200
            # What the cut hides may allow the request.
            assert await site.ask(b"/b/x", f"unknown-{number}") == 503
        site.signal("r-1", CONT)
        await anyio.sleep(2)
        assert await site.ask(b"/b/x", "known") == 404
