"""When gateways exchange their loads, in virtual time."""

from __future__ import annotations

import anyio
import anyio.abc
import pytest
from tests.support import virtual_clock

from cactusstile.gateway import site_view
from cactusstile.gateway.peers import datagram_exchange
from cactusstile.gateway.peers import load_channel
from cactusstile.gateway.peers import load_relays
from cactusstile.gateway.peers import load_sharing
from cactusstile.sites import messages
from cactusstile.transport import address

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> virtual_clock.Backend:
    return virtual_clock.BACKEND


class RecordingExchange(datagram_exchange.DatagramExchange):
    """An exchange that records its rounds instead of sending datagrams."""

    def __init__(self, sharing: load_sharing.LoadSharing) -> None:
        super().__init__(sharing, address.Address("127.0.0.1", 1), b"s" * 16)
        self.rounds_s: list[float] = []

    async def record_rounds(self) -> None:
        while True:
            await self._wait_for_round(0)
            self._last_round_s = anyio.current_time()
            self.rounds_s.append(self._last_round_s)
            self.sharing.collect(self._last_round_s)


def _open_exchange(*, is_relay: bool) -> RecordingExchange:
    count = 2 * load_relays.MAX_DIRECT_GATEWAYS
    members = tuple(
        messages.GatewayMember(f"127.0.0.1:{number}", "d", 1000.0 - number)
        for number in range(1, count + 1)
    )
    site = site_view.SiteView(gateways=members)
    own = members[0] if is_relay else members[-1]
    sharing = load_sharing.LoadSharing(site, own)
    sharing.collect(anyio.current_time())
    assert sharing.is_relay == is_relay
    return RecordingExchange(sharing)


async def test_change_is_told_at_once_and_nothing_while_idle() -> None:
    """Guards against gateways that wake up often to tell nothing."""
    exchange = _open_exchange(is_relay=False)
    async with anyio.create_task_group() as group:
        group.start_soon(exchange.record_rounds)
        await anyio.sleep(4 * load_channel.REPEAT_INTERVAL_S)
        assert len(exchange.rounds_s) <= 4
        await anyio.sleep(0.1)
        changed_s = anyio.current_time()
        exchange.sharing.announce_load()
        await anyio.sleep(0.001)
        assert exchange.rounds_s[-1] == changed_s
        group.cancel_scope.cancel()


@pytest.mark.parametrize("is_relay", [True, False])
async def test_many_changes_are_told_together(is_relay: bool) -> None:
    exchange = _open_exchange(is_relay=is_relay)
    interval_s = datagram_exchange.REPORT_INTERVAL_S
    if is_relay:
        interval_s = datagram_exchange.SEND_INTERVAL_S
    async with anyio.create_task_group() as group:
        group.start_soon(exchange.record_rounds)
        started_s = anyio.current_time()
        for _ in range(1000):
            exchange.sharing.announce_load()
            await anyio.sleep(0.001)
        elapsed_s = anyio.current_time() - started_s
        assert len(exchange.rounds_s) <= elapsed_s / interval_s + 1
        group.cancel_scope.cancel()
