from __future__ import annotations

import typing

import anyio
import pytest
from tests.gateway import support
from tests.support import virtual_clock

from cactusstile import verdict
from cactusstile.control import commands
from cactusstile.gateway import admission
from cactusstile.gateway import control_watch
from cactusstile.gateway import dispatching
from cactusstile.gateway import retries
from cactusstile.gateway import site_view
from cactusstile.gateway.engines import engine_queue
from cactusstile.http import messages as http_messages
from cactusstile.registry import commands as site_commands
from cactusstile.registry import feed as feeds
from cactusstile.registry import state
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    from cactusstile.consensus import replica
    from cactusstile.transport import incoming
    from cactusstile.transport import pool as pools

pytestmark = pytest.mark.anyio
STREAM = model.Kind.STREAM
WEIGHTS_S = 8.0
MEMBER = messages.GatewayMember("127.0.0.1:1", "d", 100.0)


@pytest.fixture
def anyio_backend() -> virtual_clock.Backend:
    return virtual_clock.BACKEND


def engine(name: str, version: int) -> model.Target:
    return model.Target(
        id=name,
        service="plain",
        address=address.Address("127.0.0.1", 1),
        data_centre="d",
        slots=8,
        weights=(model.Weights("m", version),),
    )


class Gateway:
    """What a gateway knows and chooses, without its connections."""

    def __init__(self, *engines: model.Target) -> None:
        self.site = site_view.SiteView()
        self.site.replace_configuration(
            support.configuration(support.route(STREAM, resumable=True))
        )
        self.site.replace_targets(engines, anyio.current_time())
        self.watch = control_watch.ControlWatch(
            typing.cast("pools.Pool", None), self.site, (), MEMBER
        )
        self.dispatcher = dispatching.Dispatcher(self.site, WEIGHTS_S)

    def announce(self, version: int) -> None:
        named = messages.NamedWeights("m", version)
        self.watch._apply_item(messages.WeightsInForce((named,)))

    def admit(self) -> admission.AdmittedRequest:
        assert self.site.table is not None
        headers = (
            (b"host", b"h"),
            (b"x-cactusstile-model", b"m"),
            (b"x-cactusstile-token-usage", b"100,9"),
        )
        now_s = anyio.current_time()
        request = http_messages.Request(
            b"POST", b"/a/x", headers, received_s=now_s
        )
        return admission.admit(self.site.table, request)

    def candidates(self, *tried: model.Target) -> list[str]:
        """Returns the ids of the engines that a prompt may be sent to."""
        admitted = self.admit()
        attempts = retries.Attempts(admitted.route)
        attempts.tried_incarnations.update(
            target.incarnation for target in tried
        )
        found = self.dispatcher.candidates(admitted, "plain", attempts)
        return [view.target.id for view in found]


async def test_engine_past_the_limit_is_no_last_resort() -> None:
    old, new = engine("old", 1), engine("new", 2)
    gateway = Gateway(old, new)
    gateway.announce(2)
    await anyio.sleep(WEIGHTS_S)
    assert gateway.candidates() == ["new"]
    # A request that already tried the current engine.
    assert gateway.candidates(new) == []
    # The current engine fails; it is still the only one that may be used.
    view = gateway.site.targets.views[new.incarnation]
    view.record_failure(anyio.current_time(), eject_now=True)
    assert gateway.candidates() == ["new"]


async def test_prompt_waits_for_the_first_engine_with_current_weights() -> None:
    old = engine("old", 1)
    gateway = Gateway(old)
    gateway.announce(2)
    await anyio.sleep(WEIGHTS_S)
    queue = engine_queue.EngineQueue(gateway.dispatcher)
    admitted = gateway.admit()
    attempts = retries.Attempts(admitted.route)

    async def swap_soon() -> None:
        await anyio.sleep(0.1)
        gateway.site.targets.views[old.incarnation].set_weights("m", 2)

    async with anyio.create_task_group() as group:
        group.start_soon(swap_soon)
        view = await queue.choose_target(admitted, "plain", attempts)
    assert view is not None
    gateway.announce(3)
    await anyio.sleep(WEIGHTS_S)
    with pytest.raises(verdict.RefusedError) as caught:
        await queue.choose_target(gateway.admit(), "plain", attempts)
    assert caught.value.refusal.verdict is verdict.Verdict.NOT_RUN
    assert caught.value.refusal.retry_after_s


async def test_further_announcement_renews_no_grace() -> None:
    gateway = Gateway(engine("old", 1), engine("new", 3))
    gateway.announce(2)
    await anyio.sleep(WEIGHTS_S - 1.0)
    gateway.announce(3)
    await anyio.sleep(1.0)
    assert gateway.candidates() == ["new"]


class _Leader:
    """Test double of a replica that always is the leader."""

    is_leader = True

    async def read_barrier(self) -> int:
        return 1


class _Responder:
    """Passes the items of a watch to a gateway."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.peer = typing.cast("typing.Any", type("Peer", (), {"name": "g"}))

    async def send(self, item: object, payload: bytes | None = None) -> None:
        del payload
        self.gateway.watch._apply_item(item)


async def test_start_of_a_gateway_renews_no_grace() -> None:
    site = state.SiteState()
    feed = feeds.Feed(site, typing.cast("replica.Replica", _Leader()))
    site.observer = feed.observe_state
    site.apply(1, commands.pack(site_commands.NameWeights("m", 2)))
    await anyio.sleep(WEIGHTS_S)
    gateway = Gateway(engine("old", 1), engine("new", 2))
    responder = typing.cast("incoming.Responder", _Responder(gateway))
    async with anyio.create_task_group() as group:
        watch = messages.Watch(-1, MEMBER)
        group.start_soon(feed.serve_watch, responder, watch)
        await anyio.sleep(0.1)
        group.cancel_scope.cancel()
    assert gateway.candidates() == ["new"]


async def test_weights_that_waited_in_a_pause_count_as_new() -> None:
    gateway = Gateway(engine("old", 1), engine("new", 2))
    gateway.watch.held_up_s = lambda: WEIGHTS_S
    gateway.announce(2)
    assert gateway.candidates() == ["new"]
