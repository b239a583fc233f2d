from __future__ import annotations

import collections.abc
import contextlib
import time

import anyio
import attrs
import pytest

from cactusstile.agent import messages
from cactusstile.controllers import fencing
from cactusstile.controllers import orders
from cactusstile.controllers import rollout
from cactusstile.fakes import engine
from cactusstile.fakes import engine_app
from cactusstile.fakes import serving
from cactusstile.fakes import site
from cactusstile.fakes import weight_store
from cactusstile.targets import engine as engines

pytestmark = pytest.mark.anyio
# Longer than a test asks while a token is being confirmed.
CONFIRMATION_S = 30.0
PROBE = messages.Probe(
    "bank", site.DEPLOYMENT, "", (), 10, 1, 0, 0, 1, reserve=False
)


async def _wait_until(
    condition: collections.abc.Callable[[], bool], limit_s: float = 10.0
) -> None:
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.01)


async def test_order_with_lost_response_is_confirmed_by_status() -> None:
    quick = engine.EngineSettings(load_s=0.4)
    async with (
        site.open_site() as opened,
        site.open_engine_agent(opened, settings=quick) as running,
    ):
        fake_engine = opened.engines["engine-1"]
        fake_engine.order_answers_to_drop = 1
        opened.set_version("v2")
        await _wait_until(lambda: fake_engine.version == "v2")
        await _wait_until(running.ready)
        await anyio.sleep(0.2)
        assert [kind for _, kind, _ in fake_engine.orders] == ["version"]


@pytest.mark.parametrize("checks_fence", [True, False])
async def test_superseded_agent_sends_no_order(checks_fence: bool) -> None:
    settings = engine.EngineSettings(load_s=0.05, checks_fence=checks_fence)
    async with (
        site.open_site() as opened,
        site.open_engine_agent(opened, settings=settings) as old,
    ):
        fake_engine = opened.engines["engine-1"]
        await _wait_until(lambda: opened.control.fences.get("engine-1") == 1)
        newer = await opened.control.take_fence("engine-1")
        opened.set_version("v2")
        await _wait_until(lambda: old.node.stopping)
        assert newer not in [fence for fence, _, _ in fake_engine.orders]
        assert fake_engine.orders == []


async def test_agent_frozen_while_confirming_repeats_the_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        "cactusstile.controllers.fencing.FENCE_AGE_LIMIT_S", 0.1
    )
    settings = engine.EngineSettings(load_s=0.05, checks_fence=False)
    async with (
        site.open_site() as opened,
        site.open_engine_agent(opened, settings=settings) as old,
    ):
        await _wait_until(lambda: opened.control.fences.get("engine-1") == 1)
        opened.control.fence_answer_delay_s = 0.4
        opened.set_version("v2")
        await anyio.sleep(0.2)
        opened.control.fence_answer_delay_s = 0.0
        await opened.control.take_fence("engine-1")
        await _wait_until(lambda: old.node.stopping)
        assert opened.engines["engine-1"].orders == []


async def test_agent_resuming_after_takeover_accepts_no_work(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(orders, "FREEZE_LIMIT_S", 0.2)
    async with (
        site.open_site() as opened,
        site.open_engine_agent(opened) as old,
    ):
        await _wait_until(lambda: opened.control.fences.get("engine-1") == 1)
        await anyio.sleep(0.05)
        opened.control.fences["engine-1"] = 2
        time.sleep(1.5)  # noqa: ASYNC251
        await _wait_until(lambda: old.node.stopping, 1.0)
        assert not old.ready()


async def test_agent_that_was_frozen_is_not_taken_for_leaving(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refusals while a resumed agent confirms its token."""
    monkeypatch.setattr(orders, "FREEZE_LIMIT_S", 0.2)
    async with (
        site.open_site() as opened,
        site.open_engine_agent(opened) as agent,
    ):
        await _wait_until(agent.ready)
        opened.control.fence_answer_delay_s = CONFIRMATION_S
        time.sleep(1.5)  # noqa: ASYNC251
        replies = []
        for _ in range(20):
            reply = await opened.peers.call(agent.bound, PROBE, timeout_s=1.0)
            assert isinstance(reply, messages.ProbeReply)
            replies.append(reply)
            await anyio.sleep(0.02)
    assert not any(reply.leaving for reply in replies)
    assert replies[-1].wait_ms > 0


# Guards against runs admitted by an old token after a freeze within a read.
async def test_agent_frozen_while_it_reads_its_engine_admits_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(orders, "FREEZE_LIMIT_S", 0.2)
    read_status = engines.EngineClient.status
    reading = anyio.Event()

    async def read_late(client: engines.EngineClient) -> engines.Status:
        reading.set()
        await anyio.sleep(0.1)
        return await read_status(client)

    async with (
        site.open_site() as opened,
        site.open_engine_agent(opened) as agent,
    ):
        await _wait_until(agent.ready)
        monkeypatch.setattr(engines.EngineClient, "status", read_late)
        await reading.wait()
        opened.control.fence_answer_delay_s = CONFIRMATION_S
        time.sleep(1.5)  # noqa: ASYNC251
        waits_ms = []
        for _ in range(20):
            reply = await opened.peers.call(agent.bound, PROBE, timeout_s=1.0)
            assert isinstance(reply, messages.ProbeReply)
            waits_ms.append(reply.wait_ms)
            await anyio.sleep(0.02)
    assert waits_ms[-1] > 0


async def test_superseded_agent_of_a_service_accepts_no_work(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(fencing, "CHECK_INTERVAL_S", 0.2)
    async with (
        site.open_site() as opened,
        site.open_service_agent(opened, "a") as old,
    ):
        await _wait_until(lambda: opened.control.fences.get("a") == 1)
        assert old.ready()
        await opened.control.take_fence("a")
        await _wait_until(lambda: not old.ready())


async def test_adapters_and_model_are_reconciled_with_the_fleet() -> None:
    quick = engine.EngineSettings(model="other", load_s=0.02)
    async with site.open_site() as opened:
        deployments = dict(opened.fleet_holder.fleet.deployments)
        chat = deployments[site.DEPLOYMENT]
        deployments[site.DEPLOYMENT] = type(chat)(
            "chat", "model", "v3", adapters=("tone@1", "tone@2")
        )
        opened.apply(deployments=deployments)
        async with site.open_engine_agent(opened, settings=quick):
            fake_engine = opened.engines["engine-1"]
            await _wait_until(lambda: len(fake_engine.adapters) == 2)
            assert (fake_engine.model, fake_engine.version) == ("model", "v3")


async def test_role_is_reconciled_with_the_fleet() -> None:
    async with (
        site.open_site() as opened,
        site.open_engine_agent(opened) as agent,
    ):
        await _wait_until(agent.ready)
        fake_engine = opened.engines["engine-1"]
        targets = dict(opened.fleet_holder.fleet.targets)
        targets["engine-1"] = attrs.evolve(targets["engine-1"], role="decode")
        opened.apply(targets=targets)
        await _wait_until(lambda: fake_engine.role == "decode")
        await _wait_until(agent.ready)


@contextlib.asynccontextmanager
async def _open_pool_of_engines(
    opened: site.Site, store: weight_store.WeightStore, count: int
) -> collections.abc.AsyncIterator[None]:
    async with contextlib.AsyncExitStack() as stack:
        url = await stack.enter_async_context(
            serving.open_app(weight_store.build_app(store))
        )
        for number in range(count):
            settings = engine.EngineSettings(load_s=0.05)
            fake_engine = engine.Engine(settings, store.fetch)
            await stack.enter_async_context(fake_engine.run())
            bound = await stack.enter_async_context(
                serving.open_app(engine_app.build_app(fake_engine))
            )
            name = f"engine-{number}"
            opened.engines[name] = fake_engine
            await stack.enter_async_context(
                site.open_agent(
                    opened,
                    name,
                    "engine",
                    f"http://{bound}",
                    weight_store_url=f"http://{url}",
                )
            )
        yield


@pytest.mark.parametrize("at_once", [1, 2])
async def test_roll_out_limits_concurrent_loads(
    at_once: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rollout, "TURN_INTERVAL_S", 0.05)
    store = weight_store.WeightStore(max_transfers=9, transfer_s=0.1)
    async with site.open_site() as opened:
        deployments = dict(opened.fleet_holder.fleet.deployments)
        chat = deployments[site.DEPLOYMENT]
        deployments[site.DEPLOYMENT] = type(chat)(
            "chat", "model", "v1", max_concurrent_loads=at_once
        )
        opened.apply(deployments=deployments)
        async with _open_pool_of_engines(opened, store, 5):
            opened.set_version("v2")
            await _wait_until(
                lambda: all(
                    fake_engine.version == "v2"
                    for fake_engine in opened.engines.values()
                )
            )
    assert store.peak == at_once
    assert len(store.fetched) == 5


async def test_roll_out_skips_an_unreachable_engine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(rollout, "TURN_INTERVAL_S", 0.05)
    store = weight_store.WeightStore(max_transfers=9, transfer_s=0.05)
    async with (
        site.open_site() as opened,
        _open_pool_of_engines(opened, store, 3),
    ):
        monkeypatch.setattr(opened.engines["engine-0"], "adapters", 0)
        with anyio.fail_after(3):
            while opened.agents["engine-0"].ready():
                await anyio.sleep(0.05)
        opened.set_version("v2")
        last = opened.engines["engine-2"]
        await _wait_until(lambda: last.version == "v2")
        assert opened.engines["engine-1"].version == "v2"
        assert opened.engines["engine-0"].version == "v1"


async def test_roll_out_waits_while_the_weight_store_is_full(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(rollout, "TURN_INTERVAL_S", 0.05)
    monkeypatch.setattr(orders, "RETRY_INTERVAL_S", 0.05)
    store = weight_store.WeightStore(max_transfers=1, transfer_s=0.05)
    async with (
        site.open_site() as opened,
        _open_pool_of_engines(opened, store, 1),
    ):
        store.active = 1
        opened.set_version("v2")
        await anyio.sleep(0.5)
        assert store.fetched == []
        store.active = 0
        fake_engine = opened.engines["engine-0"]
        await _wait_until(lambda: fake_engine.version == "v2")
        assert store.refused == 0
