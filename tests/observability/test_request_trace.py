from __future__ import annotations

import io
import logging

import anyio
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.observability import logs
from cactusstile.observability import request_trace
from cactusstile.sites import model

pytestmark = pytest.mark.anyio


def write_lines(bench: support.Bench) -> list[str]:
    """Returns the log lines of all requests, as a gateway writes them."""
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(logs.build_formatter("gateway", "g-1"))
    own = logging.getLogger("cactusstile.requests.test")
    own.setLevel(logging.INFO)
    own.propagate = False
    own.handlers.clear()
    own.addHandler(handler)
    for record in bench.records:
        own.info(request_trace.REQUEST_MESSAGE, extra=record.fields())
    return stream.getvalue().splitlines()


async def play(route: model.Route, *targets: raw_target.RawTarget) -> list[str]:
    found = support.configuration(route)
    async with support.open_bench(found, *targets) as bench:
        await bench.ask(support.request(b"POST"))
        while not bench.records:
            await anyio.sleep(0.01)
        return request_trace.describe("one", write_lines(bench))


async def test_truthful_refusal_is_explained() -> None:
    async with raw_target.open_target(raw_target.reject()) as target:
        told = await play(support.route(model.Kind.ONCE), target)
    assert any("it rejected 503" in line for line in told)
    assert any("status 503, whole; verdict not_run" in line for line in told)


async def test_lost_answer_is_explained() -> None:
    async with raw_target.open_target(raw_target.send_raw(b"")) as target:
        told = await play(support.route(model.Kind.ONCE), target)
    assert any("closed or reset the connection" in line for line in told)
    assert any("status 502" in line for line in told)
    assert any("verdict may_have_run" in line for line in told)


async def test_request_out_of_time_is_explained() -> None:
    async with raw_target.open_target(raw_target.silent()) as target:
        route = support.route(model.Kind.ONCE, timeout_s=0.2)
        told = await play(route, target)
    assert any("had not answered when" in line for line in told)
    assert told[-1] == "  cause: the time of the route was over"


def test_changes_around_the_request_are_told() -> None:
    request = (
        '12.3 g-1 {"time": "2026-01-02 10:00:10,000", "message": "request'
        ' ended", "process": "g-1", "request": "x", "took_ms": 100,'
        ' "outcome": "target_lost", "attempts": [{"target": "t-1"}]}'
    )
    near = (
        '{"time": "2026-01-02 10:00:09,000", "message": "targets changed",'
        ' "process": "r-1", "went": ["t-1"]}'
    )
    other = near.replace("t-1", "t-2")
    old = near.replace("10:00:09", "09:00:09")
    told = request_trace.describe(
        "x", [request, near, other, old, "no line", "{torn"]
    )
    assert sum("targets changed" in line for line in told) == 1
    assert request_trace.describe("y", [request]) == []
