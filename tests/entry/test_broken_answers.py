"""Broken answers of services, through an agent and an entry."""

from __future__ import annotations

import contextlib
import typing

import pytest
from tests.entry import support
from tests.support import broken_heads
from tests.support import raw_target
from tests.support import resetting_target

from cactusstile.fakes import site as fake_site

if typing.TYPE_CHECKING:
    import httpcore

pytestmark = pytest.mark.anyio
# The largest that an entry can be set to take.
LONG_BODY = b"x" * 3_000_000
BODY_LIMITS = {
    "max_body_bytes": len(LONG_BODY),
    "max_buffered_bytes": 2 * len(LONG_BODY),
}


async def call(
    stand_in: contextlib.AbstractAsyncContextManager[
        raw_target.RawTarget | resetting_target.ResettingTarget
    ],
    body: bytes = b"",
) -> httpcore.Response:
    """Returns what a caller gets of a service that is a stand-in."""
    async with (
        stand_in as running,
        fake_site.open_site() as site,
        fake_site.open_agent(
            site, "a", "service", f"http://{running.target.address}"
        ),
        support.open_entry(site, **BODY_LIMITS) as caller,
    ):
        return await caller.request("/services/inventory/stock", body)


def check_refused(response: httpcore.Response) -> None:
    assert response.status in (502, 503, 504)
    told = support.header(response, "cactusstile-verdict")
    assert told == "may_have_run"


# Guards against half an answer, without a length, that passes for a whole one.
@pytest.mark.parametrize("body", [b"", LONG_BODY])
async def test_answer_of_a_service_that_resets_looks_whole(body: bytes) -> None:
    answer = b"HTTP/1.1 200 OK\r\n\r\nhalf of"
    response = await call(resetting_target.open_target(answer), body)
    check_refused(response)
    assert b"half of" not in response.content


# Guards against an answer that has no status, or a field without a name.
@pytest.mark.parametrize("answer", broken_heads.ANSWERS)
async def test_answer_of_a_service_without_a_proper_head_is_passed_on(
    answer: bytes,
) -> None:
    script = raw_target.send_raw(answer)
    check_refused(await call(raw_target.open_target(*[script] * 3)))
