"""Connections to targets that announce how long they stay open."""

from __future__ import annotations

import anyio
import pytest
from tests.support import raw_target

from cactusstile.http import messages
from cactusstile.http import targets

pytestmark = pytest.mark.anyio


async def idle_limit_s(fields: bytes) -> float:
    """Returns for how long a connection with these fields may be used again."""
    request = messages.Request(b"GET", b"/", ((b"host", b"h"),))
    pool = targets.Pool()
    async with raw_target.open_target(
        raw_target.answer(rest=raw_target.SEAL + fields)
    ) as target:
        connection = await pool.open(target.target.address, 1.0)
        await connection.ask(request, lambda _: True)
        await connection.read_full_body(100)
        pool.give_back(connection)
        left_s = connection.expires_s - anyio.current_time()
    pool.close()
    return left_s


# Guards against a request on a connection that its target is about to close, as
# only the first of several Keep-Alive lines is read.
async def test_idle_timeout_in_a_second_line_is_not_heard() -> None:
    fields = b"Keep-Alive: max=9\r\nKeep-Alive: TIMEOUT=1\r\n"
    assert await idle_limit_s(fields) <= targets.IDLE_REUSE_FRACTION


# Guards against a whole answer that is lost, as its idle timeout has too many
# digits for a number.
@pytest.mark.parametrize(
    "value", [b"9" * 400, b"9" * 5000, "٣".encode(), b"-1", b"1.5", b""]
)
async def test_idle_timeout_that_is_no_number_fails_the_answer(
    value: bytes,
) -> None:
    left_s = await idle_limit_s(b"Keep-Alive: timeout=%b\r\n" % value)
    assert 0 < left_s <= targets.DEFAULT_IDLE_LIMIT_S


async def test_idle_timeout_after_blanks_is_not_heard() -> None:
    limit_s = await idle_limit_s(b"Keep-Alive: max=9 , timeout = 1\r\n")
    assert limit_s <= targets.IDLE_REUSE_FRACTION
