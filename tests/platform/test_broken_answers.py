"""Answers of the platform, targets and stores that are cut off or none."""

from __future__ import annotations

import pytest
from tests.support import broken_heads
from tests.support import raw_target
from tests.support import resetting_target

from cactusstile.http import messages
from cactusstile.http import targets
from cactusstile.platform import client
from cactusstile.sites import model

pytestmark = pytest.mark.anyio
LONG_BODY = b"x" * resetting_target.LONG_REQUEST_BYTES
OK = b"HTTP/1.1 200 OK\r\n"


async def call(target: model.Target, body: bytes) -> int:
    """Returns the status of the answer to a call with this body."""
    pool = targets.Pool()
    request = messages.Request(b"POST", b"/", ((b"host", b"h"),), body)
    try:
        return await client.Client(pool).send_order(
            target, request, lambda: True
        )
    finally:
        pool.close()


# Guards against the start of an answer, without a length, that passes for all
# of it: of a list, the rest would count as gone.
async def test_answer_reset_during_a_long_call_looks_whole() -> None:
    answer = OK + b'\r\n{"targets": []}'
    async with resetting_target.open_target(answer) as resetting:
        with pytest.raises(client.CallError):
            await call(resetting.target, LONG_BODY)


# Guards against an answer that has no status, or a field without a name.
@pytest.mark.parametrize("answer", broken_heads.ANSWERS)
async def test_answer_without_a_proper_head_is_used(answer: bytes) -> None:
    async with raw_target.open_target(raw_target.send_raw(answer)) as raw:
        with pytest.raises(client.CallError) as caught:
            await call(raw.target, b"")
    assert not caught.value.status
