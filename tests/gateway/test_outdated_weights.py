from __future__ import annotations

import typing

import anyio
import pytest
from tests.gateway import support
from tests.support import virtual_clock

from cactusstile.gateway import admission
from cactusstile.gateway import control_watch
from cactusstile.gateway import dispatching
from cactusstile.gateway import retries
from cactusstile.gateway import site_view
from cactusstile.http import messages as http_messages
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.transport import address

if typing.TYPE_CHECKING:
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

    def candidates(self, *tried: model.Target) -> list[str]:
        """Returns the ids of the engines that a prompt may be sent to."""
        assert self.site.table is not None
        headers = (
            (b"host", b"h"),
            (b"x-cactusstile-model", b"m"),
            (b"x-cactusstile-token-usage", b"100,9"),
        )
        admitted = admission.admit(
            self.site.table,
            http_messages.Request(b"POST", b"/a/x", headers),
        )
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
