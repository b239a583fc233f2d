"""Connections to targets that announce how long they stay open."""

from __future__ import annotations

import anyio
import pytest
from tests.support import raw_target

from cactusstile.http import messages
from cactusstile.http import targets

pytestmark = pytest.mark.anyio


# Guards against a request on a connection that its target is about to close, as
# only the first of several Keep-Alive lines is read.
async def test_idle_timeout_in_a_second_line_is_not_heard() -> None:
    rest = b"Keep-Alive: max=9\r\nKeep-Alive: TIMEOUT=1\r\n"
    request = messages.Request(b"GET", b"/", ((b"host", b"h"),))
    pool = targets.Pool()
    async with raw_target.open_target(
        raw_target.answer(rest=raw_target.SEAL + rest)
    ) as target:
        connection = await pool.open(target.target.address, 1.0)
        await connection.ask(request, lambda _: True)
        await connection.read_full_body(100)
        pool.give_back(connection)
        left_s = connection.expires_s - anyio.current_time()
    pool.close()
    assert left_s <= targets.IDLE_REUSE_FRACTION
