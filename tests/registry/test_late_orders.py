"""Orders of a leader that stood still while it opened a connection."""

from __future__ import annotations

import typing

import anyio
import anyio.abc
import pytest
from tests.registry import test_weights

from cactusstile.http import targets
from cactusstile.platform import client as clients
from cactusstile.platform import listings
from cactusstile.registry import swap_plan
from cactusstile.registry import weights
from cactusstile.sites import model
from cactusstile.transport import address

pytestmark = pytest.mark.anyio


class Leader:
    """Test double of a replica; loses its leadership when it is told."""

    settings = type("S", (), {"name": "leader"})

    def __init__(self) -> None:
        self.is_leader = True
        self.term = 3

    def status(self) -> object:
        return type("Status", (), {"term": self.term})


class SlowPool:
    """Test double of a pool; returns once the other side has accepted."""

    def __init__(self, target: address.Address) -> None:
        self.target = target
        self.pool = targets.Pool()

    async def take(self, *_: object) -> object:
        taken = await self.pool.take(self.target, 1.0)
        await anyio.sleep(0.1)
        return taken

    def give_back(self, connection: typing.Any) -> None:
        connection.close()


@pytest.mark.parametrize("leads_again", [False, True])
async def test_order_is_sent_by_a_leader_that_lost_its_term_meanwhile(
    *, leads_again: bool
) -> None:
    replica, received = Leader(), bytearray()

    async def accept(stream: anyio.abc.SocketStream) -> None:
        replica.is_leader, replica.term = leads_again, 4
        async with stream:
            async for data in stream:
                received.extend(data)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    where = address.Address("127.0.0.1", port)
    engine = test_weights.engine(1, 1)
    swap = swap_plan.Swap(engine, model.Weights("m", 2))
    report = listings.Report(engine.weights, False, 0, 0, 0)

    unchecked: typing.Any = (SlowPool(where), replica)
    controller = weights.WeightsController(
        clients.Client(unchecked[0]),
        unchecked[1],
        lambda: (engine,),
        lambda: {"m": 2},
        on_change=lambda: None,
        rollout_limit_s=8.0,
    )
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, accept)
        await controller._send_order(swap, report)
        group.cancel_scope.cancel()
    assert not received
