from __future__ import annotations

import collections.abc

import anyio
import anyio.abc
import attrs
import pytest
from tests.gateway import copies
from tests.gateway import support
from tests.support import raw_target
from tests.support import stalled_target

from cactusstile.gateway import liveness
from cactusstile.gateway import site_view
from cactusstile.gateway import target_view
from cactusstile.gateway.engines import backups
from cactusstile.gateway.engines import prompts
from cactusstile.sites import model
from cactusstile.transport import address

pytestmark = pytest.mark.anyio

PROMPT = prompts.parse("m", "800,796", "x:500,y:300", "250")
FIELDS = copies.FIELDS
WEIGHTS = copies.WEIGHTS


def engine(number: int, **changes: object) -> target_view.TargetView:
    fields: dict[str, object] = {
        "id": f"e-{number}",
        "service": "s",
        "address": address.Address("127.0.0.1", number),
        "data_centre": "here",
        "slots": 8,
        "weights": WEIGHTS,
    }
    target = model.Target(**{**fields, **changes})  # type: ignore[arg-type]
    view = target_view.TargetView(target, prompts.CachedParts(50_000))
    view.update_from_list(target, 0.0)
    return view


def choose_backup(
    *views: target_view.TargetView,
) -> target_view.TargetView | None:
    backup = backups.choose(views, views[0], PROMPT, 1000, 10.0)
    return None if backup is None else backup.view


def test_backup_is_placed_on_engine_with_most_free_memory() -> None:
    chosen, full, free = engine(1), engine(2), engine(3)
    full.tokens = 20_000
    assert choose_backup(chosen, full, free) is free


def test_backup_is_an_engine_of_the_same_build() -> None:
    chosen, other = engine(1, build="v1"), engine(2, build="v2")
    assert choose_backup(chosen, other) is None
    same = engine(3, build="v1")
    same.tokens = 10_000
    assert choose_backup(chosen, other, same) is same


def test_backup_prefers_own_data_centre_while_memory_is_free() -> None:
    chosen, near, far = engine(1), engine(2), engine(3, data_centre="there")
    near.tokens = 10_000
    assert choose_backup(chosen, near, far) is near
    near.tokens = 40_000
    assert choose_backup(chosen, near, far) is far


def test_backup_is_not_placed_on_outdated_leaving_or_full_engine() -> None:
    chosen = engine(1)
    older = engine(2, weights=(model.Weights("m", 2),))
    leaving = engine(3, leaving=True)
    full = engine(4)
    full.tokens = 45_000
    assert choose_backup(chosen, older, leaving, full) is None


async def test_target_has_ended_once_connections_are_refused() -> None:
    async with raw_target.open_target() as target:
        view = target_view.TargetView(
            target.target, prompts.CachedParts(50_000)
        )
        assert not await liveness.has_ended(view)
    assert await liveness.has_ended(view)


def configuration() -> model.SiteConfiguration:
    once = support.route(model.Kind.STREAM, max_attempts=1)
    return copies.back_up(support.configuration(once))


@pytest.fixture
def first_has_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    copies.end_first(monkeypatch)


@pytest.mark.usefixtures("first_has_ended")
async def test_stream_of_a_crashed_engine_goes_on_from_its_copy() -> None:
    """Guards a long stream that must not run again against an engine crash."""
    broken = raw_target.stream_events([1, 2], whole=False)
    async with (
        raw_target.open_target(broken, id="a", weights=WEIGHTS) as first,
        raw_target.open_target(
            raw_target.stream_events([3, 4]), id="b", weights=WEIGHTS
        ) as second,
        support.open_harness(configuration(), first, second) as harness,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        data = await harness.ask(support.request(b"POST", FIELDS))
        assert harness.site.targets.views["b", 0].tokens == 0
    ids = [line for line in data.split(b"\n") if line.startswith(b"id:")]
    assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
    assert data.endswith(b"0\r\n\r\n")
    place = str(second.target.address).encode()
    backup = b"x-cactusstile-kv-backup"
    assert raw_target.find_header(first.requests[0], backup) == place
    resumed = second.requests[0]
    assert raw_target.find_header(resumed, b"kv-from") == place + b"/one"
    assert raw_target.find_header(resumed, b"last-event-id") == b"2"
    assert harness.records[0].attempts[1].from_copy


async def test_stream_of_an_engine_that_lives_is_not_run_elsewhere() -> None:
    broken = raw_target.stream_events([1, 2], whole=False)
    async with (
        raw_target.open_target(broken, id="a", weights=WEIGHTS) as first,
        raw_target.open_target(id="b", weights=WEIGHTS) as second,
        support.open_harness(configuration(), first, second) as harness,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        data = await harness.ask(support.request(b"POST", FIELDS))
    assert not data.endswith(b"0\r\n\r\n")
    assert second.requests == []


@pytest.mark.usefixtures("first_has_ended")
async def test_stream_whose_copy_is_missing_does_not_look_whole() -> None:
    broken = raw_target.stream_events([1, 2], whole=False)
    async with (
        raw_target.open_target(broken, id="a", weights=WEIGHTS) as first,
        raw_target.open_target(
            raw_target.reject(), id="b", weights=WEIGHTS
        ) as second,
        support.open_harness(configuration(), first, second) as harness,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        data = await harness.ask(support.request(b"POST", FIELDS))
    assert len(second.requests) == 1
    assert not data.endswith(b"0\r\n\r\n")


@pytest.mark.usefixtures("first_has_ended")
async def test_stream_without_event_ids_is_not_restarted() -> None:
    broken = raw_target.stream_events([], whole=False, rest=b"data: x\n\n")
    async with (
        raw_target.open_target(broken, id="a", weights=WEIGHTS) as first,
        raw_target.open_target(id="b", weights=WEIGHTS) as second,
        support.open_harness(configuration(), first, second) as harness,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        await harness.ask(support.request(b"POST", FIELDS))
    assert second.requests == []


async def test_run_does_not_go_on_elsewhere_while_its_engine_is_silent() -> (
    None
):
    """Guards against a second run beside an engine that is only stopped."""
    async with (
        stalled_target.open_target(
            raw_target.stream_events([1, 2], whole=False),
            id="a",
            weights=WEIGHTS,
        ) as first,
        raw_target.open_target(
            raw_target.stream_events([3, 4]), id="b", weights=WEIGHTS
        ) as second,
        support.open_harness(configuration(), first, second) as harness,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        data = await harness.ask(support.request(b"POST", FIELDS))
    assert b"id: 2\n" in data
    assert not data.endswith(b"0\r\n\r\n")
    assert second.requests == []


async def check_nothing_goes_on_beside(
    leave: collections.abc.Callable[
        [site_view.SiteView, model.Target, model.Target], None
    ],
) -> None:
    """Checks that no run goes on beside an engine that closed its port.

    Args:
      leave: Called with the gateway's view of the site and both engines before
        the first one streams.
    """
    harness: support.GatewayHarness

    async def run(stream: anyio.abc.SocketStream, request: bytes) -> bool:
        leave(harness.site, first.target, second.target)
        script = raw_target.stream_events([1, 2], whole=False)
        return await script(stream, request)

    async with (
        stalled_target.open_target(
            run, closes_port=True, id="a", weights=WEIGHTS
        ) as first,
        raw_target.open_target(
            raw_target.stream_events([3, 4]), id="b", weights=WEIGHTS
        ) as second,
        support.open_harness(configuration(), first, second) as harness,
    ):
        harness.site.targets.views["b", 0].inflight = 3
        data = await harness.ask(support.request(b"POST", FIELDS))
    assert b"id: 2\n" in data
    assert second.requests == []


async def test_run_does_not_go_on_elsewhere_while_its_engine_leaves() -> None:
    """Guards against a second run beside an engine that closed its port."""

    def leave(
        site: site_view.SiteView, first: model.Target, second: model.Target
    ) -> None:
        listed = attrs.evolve(first, leaving=True), second
        site.replace_targets(listed, anyio.current_time())

    await check_nothing_goes_on_beside(leave)


async def test_run_does_not_go_on_elsewhere_if_a_list_lacked_its_engine() -> (
    None
):
    """Guards against a second run if one list lacked the engine that leaves."""

    def leave(
        site: site_view.SiteView, first: model.Target, second: model.Target
    ) -> None:
        leaving = attrs.evolve(first, leaving=True)
        for listed in ((second,), (leaving, second)):
            site.replace_targets(listed, anyio.current_time())

    await check_nothing_goes_on_beside(leave)


@pytest.mark.parametrize("age_s", [4.0, 2.0])
async def test_run_does_not_go_on_elsewhere_while_the_list_is_old(
    age_s: float,
) -> None:
    """Guards against a second run beside an engine that left unnoticed."""

    def leave(
        site: site_view.SiteView, first: model.Target, second: model.Target
    ) -> None:
        del first, second
        site.listed_s = anyio.current_time() - age_s

    await check_nothing_goes_on_beside(leave)


async def test_run_does_not_go_on_elsewhere_while_its_engine_is_unlisted() -> (
    None
):
    """Guards against a second run if no list was read while it was leaving."""

    def leave(
        site: site_view.SiteView, first: model.Target, second: model.Target
    ) -> None:
        del first
        site.replace_targets((second,), anyio.current_time())

    await check_nothing_goes_on_beside(leave)
