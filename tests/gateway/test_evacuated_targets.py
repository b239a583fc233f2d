"""What a gateway still sends to a data centre that is evacuated."""

from __future__ import annotations

import typing

import anyio
import attrs
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.gateway import control_watch
from cactusstile.gateway import site_view
from cactusstile.gateway.engines import backups
from cactusstile.gateway.engines import peer_parts
from cactusstile.gateway.engines import prompts
from cactusstile.http import targets
from cactusstile.sites import evacuation_messages
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.transport import address

pytestmark = pytest.mark.anyio
OWN = messages.GatewayMember("127.0.0.1:1", "d", 1.0)
CONFIG = support.configuration(support.route())


def evacuate(harness: support.GatewayHarness, *names: str) -> None:
    """Lets control tell the gateway which data centres are evacuated."""
    no_pool: object = None
    watch = control_watch.ControlWatch(
        no_pool,  # type: ignore[arg-type]
        harness.site,
        (),
        OWN,
    )
    watch._apply_item(evacuation_messages.EvacuationsInForce(names, ()))


def place(harness: support.GatewayHarness, **places: str) -> None:
    """Lists the targets in data centres, by their ids."""
    listed = []
    for target in harness.site.listed:
        where = places[target.id]
        listed.append(attrs.evolve(target, data_centre=where))
    harness.site.replace_targets(tuple(listed), 0.0)


async def test_request_reaches_an_evacuated_data_centre() -> None:
    async with (
        raw_target.open_target(raw_target.answer(), id="a") as left,
        raw_target.open_target(raw_target.answer(), id="b") as right,
        support.open_harness(CONFIG, left, right) as harness,
    ):
        place(harness, a="north", b="south")
        harness.site.targets.views["b", 0].inflight = 9
        evacuate(harness, "north")
        assert support.status(await harness.ask(support.request())) == 200
        evacuate(harness, "north", "south")
        refused = await harness.ask(support.request())
        assert support.status(refused) == 503
        evacuate(harness)
        assert support.status(await harness.ask(support.request())) == 200
    assert (len(left.requests), len(right.requests)) == (1, 1)


async def test_request_that_waits_for_a_connection_is_still_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The evacuation begins between the choice of the target and the send."""
    async with (
        raw_target.open_target(raw_target.answer(), id="a") as left,
        raw_target.open_target(raw_target.answer(), id="b") as right,
        support.open_harness(CONFIG, left, right) as harness,
    ):
        place(harness, a="north", b="south")
        harness.site.targets.views["b", 0].inflight = 9
        take = targets.Pool.take

        async def take_late(
            *args: typing.Any,
        ) -> targets.TargetConnection:
            opened = await take(*args)
            evacuate(harness, "north")
            return opened

        monkeypatch.setattr(targets.Pool, "take", take_late)
        assert support.status(await harness.ask(support.request())) == 200
    assert (left.requests, len(right.requests)) == ([], 1)


async def test_request_that_runs_there_is_cut_off() -> None:
    started = anyio.Event()
    go_on = anyio.Event()

    async def answer_late(stream: object, request: bytes) -> bool:
        started.set()
        await go_on.wait()
        return await raw_target.answer()(stream, request)  # type: ignore[arg-type]

    data: list[bytes] = []

    async def ask(harness: support.GatewayHarness) -> None:
        data.append(await harness.ask(support.request()))

    async with (
        raw_target.open_target(answer_late, id="a") as left,
        support.open_harness(CONFIG, left) as harness,
        anyio.create_task_group() as group,
    ):
        place(harness, a="north")
        group.start_soon(ask, harness)
        await started.wait()
        evacuate(harness, "north")
        go_on.set()
    assert support.status(data[0]) == 200


async def test_run_is_copied_to_or_fetched_from_an_evacuated_engine() -> None:
    prompt = prompts.Prompt("m", 800, 800, 300)
    async with (
        raw_target.open_target(id="a") as left,
        raw_target.open_target(id="b") as right,
        support.open_harness(CONFIG, left, right) as harness,
    ):
        place(harness, a="north", b="south")
        views = harness.site.targets.of_service("plain")
        for view in views:
            view.set_weights("m", 1)
        primary = harness.site.targets.views["b", 0]
        other = harness.site.targets.views["a", 0]
        part = prompts.Part("p", 800)
        other.cached.add("s", prompts.Prompt(parts=(part,)))

        def find() -> tuple[object, object]:
            now_s = anyio.current_time()
            return (
                backups.choose(views, primary, prompt, 900, now_s),
                peer_parts.find_holder(views, primary, ("s", "p"), now_s),
            )

        assert None not in find()
        evacuate(harness, "north")
        assert find() == (None, None)


def test_service_of_an_evacuated_data_centre_counts_as_live() -> None:
    listed = model.Target("a", "plain", address.Address("h", 1), "north", 1)
    site = site_view.SiteView()
    site.targets.update((listed,), {}, 0.0)
    assert site.targets.live_services() == {"plain"}
    site.targets.evacuations.replace({"north"}, {})
    assert site.targets.live_services() == set()
    assert site.targets.remaining_pause_s("plain", 0.0) == 0.0
