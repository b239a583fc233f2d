"""Targets in need that name how many requests a second they take from all."""

from __future__ import annotations

import itertools

import anyio
import anyio.abc
import attrs
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.sites import model

pytestmark = pytest.mark.anyio
ONCE = model.Kind.ONCE
CONFIG = support.configuration(support.route(ONCE, timeout_s=2.0))
# The users' rule: half more than the limit allows and 5, in any 4 s that begin
# 3 s after the limit was named.
WINDOW_S = 4.0
STABLE_S = 3.0
FACTOR = 1.5
SLACK = 5
DAY_S = 8.0


@attrs.define
class LimitedTarget:
    """Answers of a target that names a limit, or none.

    Attributes:
      limit: Value of the header field; None for an answer without it.
      arrived_s: Loop times at which requests arrived.
    """

    limit: bytes | None
    arrived_s: list[float] = attrs.field(factory=list)

    async def run(self, stream: anyio.abc.SocketStream, request: bytes) -> bool:
        self.arrived_s.append(anyio.current_time())
        fields = raw_target.SEAL
        if self.limit is not None:
            fields += b"Server-Limit: " + self.limit + b"\r\n"
        return await raw_target.answer(rest=fields)(stream, request)


def most_in_window(arrived_s: list[float], from_s: float) -> int:
    """Returns the most arrivals in a window that begins after `from_s`."""
    late = [at_s for at_s in arrived_s if at_s >= from_s]
    counts = [
        sum(begin_s <= at_s < begin_s + WINDOW_S for at_s in late)
        for begin_s in late
    ]
    return max(counts, default=0)


async def ask_often(
    gateways: list[support.GatewayHarness], interval_s: float, total_s: float
) -> list[int]:
    """Sends requests to gateways in turn; returns the statuses."""
    statuses: list[int] = []
    numbers = itertools.count()

    async def ask(gateway: support.GatewayHarness) -> None:
        identity = b"Id: n%d" % next(numbers)
        request = support.request(b"POST").replace(b"Id: one", identity)
        statuses.append(support.status(await gateway.ask(request)))

    ends_s = anyio.current_time() + total_s
    async with anyio.create_task_group() as group:
        for gateway in itertools.cycle(gateways):
            if anyio.current_time() > ends_s:
                break
            group.start_soon(ask, gateway)
            await anyio.sleep(interval_s)
    return statuses


@pytest.mark.parametrize("limit", [b"1.4", b"6"])
async def test_gateways_together_send_more_than_a_target_takes(
    limit: bytes,
) -> None:
    needy, sound = LimitedTarget(limit), LimitedTarget(None)
    async with (
        raw_target.open_target(*[needy.run] * 1000, id="a") as first,
        raw_target.open_target(*[sound.run] * 1000, id="b") as second,
        support.open_gateways(4, CONFIG, [first, second]) as gateways,
    ):
        began_s = anyio.current_time()
        statuses = await ask_often(gateways, 0.025, DAY_S)
    most = most_in_window(needy.arrived_s, began_s + STABLE_S)
    assert most <= FACTOR * WINDOW_S * float(limit) + SLACK
    # Most of what the target takes is used, and nobody is refused for it.
    assert most >= WINDOW_S * float(limit) / 2
    assert set(statuses) == {200}
