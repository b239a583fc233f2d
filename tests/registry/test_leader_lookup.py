from __future__ import annotations

import typing

import anyio
import pytest
from tests.support import virtual_clock

from cactusstile.registry import commands
from cactusstile.registry import leader_lookup
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    from cactusstile.transport import pool as pools

pytestmark = pytest.mark.anyio
PEER = address.Address("127.0.0.1", 1)
ELECTION_S = 0.4


@pytest.fixture
def anyio_backend() -> virtual_clock.Backend:
    return virtual_clock.BACKEND


class _Pool:
    """A replica that learns of the new leader after a moment."""

    def __init__(self) -> None:
        self.elected_s = anyio.current_time() + ELECTION_S

    async def call(self, *_: object, timeout_s: float) -> commands.LeaderFound:
        del timeout_s
        await anyio.sleep(0.001)
        is_elected = anyio.current_time() >= self.elected_s
        leader = str(PEER) if is_elected else ""
        return commands.LeaderFound(leader, (str(PEER),))


async def test_lookup_outlasts_an_election() -> None:
    lookup = leader_lookup.LeaderLookup(
        typing.cast("pools.Pool", _Pool()), (PEER,)
    )
    found = None
    with anyio.move_on_after(0.9):
        found = await lookup.find()
    assert found == PEER
