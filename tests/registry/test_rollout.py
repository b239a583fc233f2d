"""Roll-outs of weights to engines of which some cannot be reached."""

from __future__ import annotations

import json
import typing

import anyio
import attrs
import pytest
from tests.registry import test_weights
from tests.support import virtual_clock

from cactusstile.platform import client as clients
from cactusstile.platform import listings
from cactusstile.registry import weights
from cactusstile.sites import model

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.consensus import replica
    from cactusstile.http import messages

pytestmark = pytest.mark.anyio
LIMIT_S = 6.0
UNREACHABLE_AFTER_S = 0.3
LOAD_S = 0.5


@pytest.fixture
def anyio_backend() -> virtual_clock.Backend:
    return virtual_clock.BACKEND


@attrs.define
class Engine:
    """Model of an engine.

    Attributes:
      version: Version of the weights that it holds.
      requests: Requests that it runs.
      reachable: Whether calls reach it.
      failing_reads: Of so many reads of the report, one fails; 0 for none.
      order_status: Status with which it refuses orders; 0 if it accepts them.
      answers_orders: Whether orders are answered; they are not carried out
        otherwise.
      reads: Reads of the report so far.
      swapped_s: Loop time of the last order.
      loads: Versions that it loaded, in order.
    """

    version: int = 1
    requests: int = 0
    reachable: bool = True
    failing_reads: int = 0
    order_status: int = 0
    answers_orders: bool = True
    reads: int = 0
    swapped_s: float | None = None
    loads: list[int] = attrs.field(factory=list)


class Client:
    """Calls to modelled engines."""

    def __init__(self, engines: dict[str, Engine]) -> None:
        self.engines = engines

    async def _reach(self, target: model.Target) -> Engine:
        engine = self.engines[target.id]
        if not engine.reachable:
            await anyio.sleep(UNREACHABLE_AFTER_S)
            raise clients.CallError("did not answer")
        return engine

    async def read_report(self, target: model.Target) -> listings.Report:
        engine = await self._reach(target)
        engine.reads += 1
        if engine.failing_reads and engine.reads % engine.failing_reads == 0:
            raise clients.CallError("did not answer")
        held = (model.Weights("m", engine.version),)
        return listings.Report(held, False, 0, engine.requests, 0)

    async def send_order(
        self,
        target: model.Target,
        request: messages.Request,
        _: collections.abc.Callable[[], bool] = lambda: True,
    ) -> int:
        engine = await self._reach(target)
        if not engine.answers_orders:
            raise clients.CallError("no answer in time")
        if engine.order_status:
            return engine.order_status
        engine.swapped_s = anyio.current_time()
        await anyio.sleep(LOAD_S)
        engine.version = json.loads(request.body)["version"]
        engine.loads.append(engine.version)
        return 202


class _Leader:
    """Test double of a replica that always is the leader."""

    is_leader = True
    settings = typing.cast("typing.Any", type("S", (), {"name": "leader"}))

    def status(self) -> object:
        return type("Status", (), {"term": 3})


async def roll_out(
    engines: dict[str, Engine],
    wanted: collections.abc.Callable[[], int],
    *awaited: str,
    limit_s: float = LIMIT_S,
) -> None:
    """Runs the controller until engines hold newer weights than at the start.

    Raises:
      TimeoutError: The limit passed before.
    """
    listed = tuple(
        attrs.evolve(
            test_weights.engine(number, 1),
            id=name,
        )
        for number, name in enumerate(engines)
    )
    controller = weights.WeightsController(
        typing.cast("clients.Client", Client(engines)),
        typing.cast("replica.Replica", _Leader()),
        lambda: listed,
        lambda: {"m": wanted()},
        on_change=lambda: None,
        rollout_limit_s=LIMIT_S,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(controller.run, group)
        with anyio.fail_after(limit_s):
            while any(engines[name].version == 1 for name in awaited):
                await anyio.sleep(0.05)
        group.cancel_scope.cancel()


async def test_unreachable_engines_do_not_hold_up_the_others() -> None:
    engines = {
        "a": Engine(reachable=False),
        "b": Engine(reachable=False),
        "c": Engine(),
        "d": Engine(),
        "e": Engine(),
    }
    await roll_out(engines, lambda: 2, "c", "d", "e")


async def test_report_that_cannot_be_read_does_not_renew_the_drain() -> None:
    busy = Engine(requests=3, failing_reads=4)
    await roll_out({"a": busy}, lambda: 2, "a")


@pytest.mark.parametrize(
    "faulty",
    [
        {"order_status": 400},
        {"order_status": 409},
        {"order_status": 421},
        {"answers_orders": False},
    ],
    ids=["refuse", "conflict", "misdirected", "silent"],
)
async def test_engines_that_do_not_swap_do_not_hold_up_the_others(
    faulty: dict[str, typing.Any],
) -> None:
    engines = {
        "a": Engine(**faulty),
        "b": Engine(**faulty),
        "c": Engine(),
        "d": Engine(),
        "e": Engine(),
    }
    await roll_out(engines, lambda: 2, "c", "d", "e")


@pytest.mark.parametrize("interval_s", [1.0, 1.5, 2.5])
async def test_engine_that_was_unreachable_gets_its_turn(
    interval_s: float,
) -> None:
    engines = {name: Engine(requests=3) for name in "abcde"}
    started_s = anyio.current_time()

    def wanted() -> int:
        since_s = anyio.current_time() - started_s
        engines["a"].reachable = since_s > 1.0
        return 2 + int(since_s / interval_s)

    await roll_out(engines, wanted, "a", limit_s=1.0 + LIMIT_S)


async def test_version_announced_during_a_drain_is_loaded_at_once() -> None:
    busy = Engine(requests=3)
    started_s = anyio.current_time()

    def wanted() -> int:
        return 2 if anyio.current_time() - started_s < 0.5 else 3

    await roll_out({"a": busy}, wanted, "a")
    assert busy.loads == [3]
