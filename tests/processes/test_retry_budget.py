from __future__ import annotations

import collections
import contextlib
import json
import pathlib
import signal

import anyio
import anyio.abc
import attrs
import pytest
from tests.platform import test_configurations
from tests.registry import support
from tests.support import node_site
from tests.support import raw_target
from tests.support import retry_rule

from cactusstile.http import exceptions
from cactusstile.http import messages

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
FRONT, READY, OPERATOR = 6, 7, 8
GATEWAYS = 5
REQUESTS_PER_GATEWAY = 50
RATIO = float(node_site.BOUNDS["bounds.retryBudgetRatio"])
SLACK = float(node_site.BOUNDS["bounds.budgetSlack"])
WINDOW_S = float(node_site.BOUNDS["bounds.budgetWindowS"])
CALL_TIMEOUT_S = 8.0


@attrs.define
class Load:
    """Requests of callers and their arrivals at targets, as loop times.

    Attributes:
      sent: Time of each request.
      arrivals: Times of the arrivals, by request id.
    """

    sent: list[float] = attrs.field(factory=list)
    arrivals: dict[bytes, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    @property
    def retries(self) -> list[float]:
        """Times of the arrivals beyond the first of each request."""
        found = []
        for times in self.arrivals.values():
            found.extend(times[1:])
        return found

    def reject(self) -> raw_target.Script:
        """Returns a script that records an arrival and rejects it."""
        answer = raw_target.reject()

        async def run(stream: anyio.abc.SocketStream, request: bytes) -> bool:
            identity = raw_target.request_id(request)
            self.arrivals[identity].append(anyio.current_time())
            return await answer(stream, request)

        return run

    async def send_burst(self, site: node_site.NodeSite, host: str) -> None:
        """Sends the requests of one gateway at once."""
        async with anyio.create_task_group() as group:
            for _ in range(REQUESTS_PER_GATEWAY):
                self.sent.append(anyio.current_time())
                group.start_soon(self._send, site, host, len(self.sent))

    async def _send(
        self, site: node_site.NodeSite, host: str, number: int
    ) -> None:
        fields = (
            (b"host", b"h.example"),
            (b"x-cactusstile-attempt-id", b"%d" % number),
            (b"x-cactusstile-key", b"k"),
        )
        request = messages.Request(b"GET", b"/a/x", fields)
        with (
            contextlib.suppress(exceptions.HttpError),
            anyio.move_on_after(CALL_TIMEOUT_S),
        ):
            await site.ask(host, FRONT, request)


def _replacement() -> messages.Request:
    document = test_configurations.document()
    document["routes"][0]["kind"] = "idempotent"
    body = json.dumps(document).encode()
    headers = ((b"host", b"x"),)
    return messages.Request(b"POST", b"/-/Config.Replace", headers, body)


def _hosts(site: node_site.NodeSite) -> dict[str, str]:
    return {
        f"g-{number}": f"{site.network}.{number + 10}"
        for number in range(GATEWAYS)
    }


async def _start(site: node_site.NodeSite, *, first_start: bool) -> None:
    """Starts all processes, the gateways before control."""
    for name, host in _hosts(site).items():
        await site.start("gateway", name, host, first_start=first_start)
    await site.start(
        "registry", "r-1", site.registry_host, first_start=first_start
    )


async def _kill(site: node_site.NodeSite) -> None:
    for name in tuple(site.processes):
        await site.stop(name, signal.SIGKILL)


async def _send_bursts(site: node_site.NodeSite, load: Load) -> None:
    """Sends a burst through each gateway as soon as it is ready."""
    ready = messages.Request(b"GET", b"/-/readyz", ((b"host", b"x"),))

    async def use_gateway(host: str) -> None:
        await site.wait_for(host, READY, ready, 200)
        await load.send_burst(site, host)

    async with anyio.create_task_group() as group:
        for host in _hosts(site).values():
            group.start_soon(use_gateway, host)


async def test_restarts_of_all_gateways_grant_no_further_retries(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against starts within a window that each grant the slack anew."""
    load = Load()
    scripts = [
        load.reject() for _ in range(GATEWAYS * REQUESTS_PER_GATEWAY * 6)
    ]
    async with (
        raw_target.open_target(*scripts, id="a", service="s") as first,
        raw_target.open_target(*scripts, id="b", service="s") as second,
        node_site.open_site(
            tmp_path, support.draw_network(), support.FIRST_PORT
        ) as site,
    ):
        site.listed.extend((first.target, second.target))
        await _start(site, first_start=True)
        configure = _replacement()
        await site.wait_for(site.registry_host, OPERATOR, configure, 200)
        await _send_bursts(site, load)
        for _ in range(2):
            await _kill(site)
            await _start(site, first_start=False)
            await _send_bursts(site, load)
    assert load.arrivals
    beyond = retry_rule.most_beyond(
        load.sent, load.retries, ratio=RATIO, slack=SLACK, window_s=WINDOW_S
    )
    assert beyond == 0
