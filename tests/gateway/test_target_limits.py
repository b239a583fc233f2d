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


async def test_gateways_that_were_not_sent_an_answer_keep_an_ended_limit() -> (
    None
):
    needy = LimitedTarget(b"1.0")
    async with (
        raw_target.open_target(*[needy.run] * 1000, id="a") as target,
        support.open_gateways(4, CONFIG, [target]) as gateways,
    ):
        await ask_often(gateways, 0.02, 1.5)
        assert len(needy.arrived_s) < 10
        needy.limit = None
        await ask_often(gateways, 0.02, 1.5)
        await anyio.sleep(0.05)
        statuses = await ask_often(gateways, 0.02, 0.5)
    assert set(statuses) == {200}


async def test_callers_learn_the_limit_of_a_target_and_wait_in_vain() -> None:
    needy = LimitedTarget(b"0")
    async with (
        raw_target.open_target(*[needy.run] * 9, id="a") as target,
        support.open_gateways(1, CONFIG, [target]) as (gateway,),
    ):
        data = await gateway.ask(support.request(b"POST"))
        assert b"server-limit" not in data.lower()
        with anyio.fail_after(0.5):
            data = await gateway.ask(support.request(b"POST"))
    assert support.status(data) == 503
    retry_after = raw_target.find_header(data, b"retry-after")
    assert retry_after is not None
    # A third of the time that the caller has left.
    assert 0.5 < float(retry_after) <= 0.7


async def test_answer_that_was_under_way_ends_a_limit() -> None:
    needy = LimitedTarget(None)
    gate = anyio.Event()
    late = raw_target.in_turn(raw_target.send_raw(b""), gate, needy.run)
    async with (
        raw_target.open_target(late, id="a") as target,
        support.open_gateways(1, CONFIG, [target]) as (gateway,),
        await gateway.connect() as caller,
    ):
        await caller.send(support.request(b"POST"))
        while not target.requests:
            await anyio.sleep(0.01)
        needy.limit = b"1.0"
        target.scripts.append(needy.run)
        other = support.request(b"POST").replace(b"Id: one", b"Id: two")
        await gateway.ask(other)
        needy.limit = None
        gate.set()
        await support.read_to_end(caller)
        view = gateway.site.targets.views["a", 0]
        assert view.notices.limit.per_s == 1.0
