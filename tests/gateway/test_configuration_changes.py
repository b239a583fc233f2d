"""Requests that arrive right after a configuration has changed."""

from __future__ import annotations

import attrs
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.http import request_limits
from cactusstile.sites import model

pytestmark = pytest.mark.anyio
STREAM = support.route(model.Kind.STREAM, resumable=True)


def shared(**weights: float) -> model.SiteConfiguration:
    """Returns a configuration that splits streams over services."""
    shares = tuple(model.Share(name, part) for name, part in weights.items())
    config = support.configuration(attrs.evolve(STREAM, shares=shares))
    services = {name: model.Service(name) for name in weights}
    return attrs.evolve(config, services=services)


# Guards against a service that gets streams although its weight became 0.
async def test_stream_taken_up_runs_at_a_service_without_weight() -> None:
    cut = raw_target.stream_events([1, 2], whole=False)
    resume = support.request(b"POST", b"Last-Event-Id: 2\r\nResumes: one\r\n")
    async with (
        raw_target.open_target(cut, raw_target.stream_events([3])) as old,
        support.open_harness(shared(plain=1.0, later=0.0), old) as harness,
    ):
        await harness.ask(support.request(b"POST"))
        config = attrs.evolve(shared(plain=0.0, later=1.0), version=2)
        harness.site.replace_configuration(config)
        await harness.ask(resume.replace(b"Id: one", b"Id: two", 1))
    assert len(old.requests) == 1


async def ask_twice(
    before: dict[str, int], after: dict[str, int], request: bytes
) -> list[int]:
    """Asks on one connection, idle while the limits change; returns statuses.

    Args:
      before: Limits of the first configuration.
      after: Limits of the second one.
      request: The second request.
    """

    def limited(
        version: int, changes: dict[str, int]
    ) -> model.SiteConfiguration:
        limits = request_limits.CallerLimits(**changes)
        return support.configuration(
            support.route(), limits=limits, version=version
        )

    kept = support.request(b"POST", body=b"small").replace(
        b"Connection: close\r\n", b""
    )
    async with (
        raw_target.open_target(
            raw_target.answer(b"1"), raw_target.answer(b"2")
        ) as target,
        support.open_harness(limited(1, before), target) as harness,
        await harness.connect() as stream,
    ):
        await stream.send(kept)
        first = await stream.receive()
        harness.site.replace_configuration(limited(2, after))
        await stream.send(request)
        second = await support.read_to_end(stream)
    return [support.status(data) for data in (first, second)]


# Guards against a request that is refused by limits which hold no more.
async def test_first_request_on_an_idle_connection_meets_old_limits() -> None:
    body = support.request(b"POST", body=b"x" * 50)
    statuses = await ask_twice({"max_body_bytes": 10}, {}, body)
    assert statuses == [200, 200]


# Guards against the same for the size of a head.
async def test_first_long_head_on_an_idle_connection_meets_old_limits() -> None:
    head = support.request(b"GET", b"Long: " + b"x" * 2000 + b"\r\n")
    statuses = await ask_twice({"max_header_bytes": 1000}, {}, head)
    assert statuses == [200, 200]
