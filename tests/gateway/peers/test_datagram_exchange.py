from __future__ import annotations

import socket

import anyio
import pytest

from cactusstile.gateway import site_view
from cactusstile.gateway.peers import datagram_exchange
from cactusstile.gateway.peers import load_sharing
from cactusstile.sites import messages
from cactusstile.sites import stream_messages
from cactusstile.transport import address

pytestmark = pytest.mark.anyio
SECRET = b"s" * 16
MESSAGES = 300


def find_free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def test_loads_and_stream_messages_are_sent_at_the_same_time() -> None:
    members = tuple(
        messages.GatewayMember(f"127.0.0.1:{find_free_port()}", "d", 100.0)
        for _ in range(2)
    )
    exchanges = []
    for member in members:
        site = site_view.SiteView(gateways=members)
        sharing = load_sharing.LoadSharing(site, member)
        own = address.parse(member.address)
        exchanges.append(
            datagram_exchange.DatagramExchange(sharing, own, SECRET)
        )
    sender, receiver = exchanges
    received: list[object] = []
    receiver.handlers[stream_messages.FindStream] = received.append
    async with anyio.create_task_group() as group:
        for exchange in exchanges:
            group.start_soon(exchange.run)
        await anyio.sleep(0.05)
        for number in range(MESSAGES):
            question = stream_messages.FindStream("a", str(number))
            sender.send_soon(question, members[1].address)
            sender.sharing.announce_load()
            await anyio.sleep(0.001)
        await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    assert received
