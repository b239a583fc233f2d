from __future__ import annotations

import pytest

from cactusstile.agent import status
from cactusstile.fakes import site
from cactusstile.transport import exceptions
from cactusstile.transport import handshake
from cactusstile.transport import pool

pytestmark = pytest.mark.anyio


async def test_target_state_is_restricted_to_operators() -> None:
    operator = handshake.Identity("operator", "ada")
    async with (
        site.open_site() as opened,
        site.open_engine_agent(opened) as running,
        pool.open_pool(operator, site.SECRETS) as connections,
    ):
        with pytest.raises(exceptions.RemoteError, match="forbidden"):
            await opened.call("engine-1", status.ReadTargetState())
        running.node.drained = True
        state = await connections.call(
            running.bound, status.ReadTargetState(), timeout_s=2
        )
    assert isinstance(state, status.TargetState)
    assert (state.version, state.ready, state.leaving) == ("v1", False, True)
