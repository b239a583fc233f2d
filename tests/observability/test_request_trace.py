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


def format_log_lines(harness: support.GatewayHarness) -> list[str]:
    """Returns the gateway's log lines for the requests of the harness."""
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(logs.build_formatter("gateway", "g-1"))
    logger = logging.getLogger("cactusstile.requests.test")
    logger.setLevel(logging.INFO)
    logger.propagate = False
    logger.handlers.clear()
    logger.addHandler(handler)
    for record in harness.records:
        logger.info(request_trace.REQUEST_MESSAGE, extra=record.fields())
    return stream.getvalue().splitlines()


async def describe_request(
    route: model.Route, *targets: raw_target.RawTarget
) -> list[str]:
    configuration = support.configuration(route)
    async with support.open_harness(configuration, *targets) as harness:
        await harness.ask(support.request(b"POST"))
        while not harness.records:
            await anyio.sleep(0.01)
        return request_trace.describe("one", format_log_lines(harness))


async def test_refusal_by_target_is_described() -> None:
    async with raw_target.open_target(raw_target.reject()) as target:
        description = await describe_request(
            support.route(model.Kind.ONCE), target
        )
    assert any("it rejected 503" in line for line in description)
    assert any(
        "status 503, whole; verdict not_run" in line for line in description
    )


async def test_lost_answer_is_described() -> None:
    async with raw_target.open_target(raw_target.send_raw(b"")) as target:
        description = await describe_request(
            support.route(model.Kind.ONCE), target
        )
    assert any("closed or reset the connection" in line for line in description)
    assert any("status 502" in line for line in description)
    assert any("verdict may_have_run" in line for line in description)


async def test_expired_deadline_is_described() -> None:
    async with raw_target.open_target(raw_target.silent()) as target:
        route = support.route(model.Kind.ONCE, timeout_s=0.2)
        description = await describe_request(route, target)
    assert any("had not answered when" in line for line in description)
    assert description[-1] == "  cause: the time of the route was over"


def test_changes_around_the_request_are_listed() -> None:
    request = (
        '12.3 g-1 {"time": "2026-01-02 10:00:10,000", "message": "request'
        ' ended", "process": "g-1", "request": "x", "took_ms": 100,'
        ' "outcome": "target_lost", "attempts": [{"target": "t-1"}]}'
    )
    recent = (
        '{"time": "2026-01-02 10:00:09,000", "message": "targets changed",'
        ' "process": "r-1", "went": ["t-1"]}'
    )
    other_target = recent.replace("t-1", "t-2")
    earlier = recent.replace("10:00:09", "09:00:09")
    description = request_trace.describe(
        "x", [request, recent, other_target, earlier, "no line", "{torn"]
    )
    assert sum("targets changed" in line for line in description) == 1
    assert request_trace.describe("y", [request]) == []
