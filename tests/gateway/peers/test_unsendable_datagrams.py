"""What a gateway has to tell, but no datagram can carry."""

from __future__ import annotations

import anyio
import pytest
from tests.gateway import support
from tests.gateway.peers import test_load_exchange
from tests.gateway.peers import test_strange_datagrams

from cactusstile.gateway.peers import datagram_exchange
from cactusstile.gateway.peers import datagrams
from cactusstile.sites import messages
from cactusstile.sites import quarantine_messages
from cactusstile.sites import stream_messages

pytestmark = pytest.mark.anyio
GATEWAYS = 60
MAX_DATAGRAM_BYTES = 65_507


def open_relay() -> datagram_exchange.DatagramExchange:
    """Returns the first relay of a site of many gateways."""
    gateways = test_load_exchange.open_gateways(GATEWAYS)
    return next(one for one in gateways if one.sharing.is_relay)


def collect(exchange: datagram_exchange.DatagramExchange) -> list[bytes]:
    """Returns the datagrams that a gateway sends now, one for all peers."""
    sent = []
    for outgoing in exchange.sharing.collect(anyio.current_time()):
        sent += datagrams.encode_all(support.SECRET, outgoing.message)
    return sent


def report(number: int, *loads: messages.TargetLoad) -> messages.GatewayLoad:
    return messages.GatewayLoad(f"127.0.0.9:{number}", 1, loads, (), ())


async def test_sum_of_the_loads_of_five_prompts_ends_a_relay() -> None:
    relay = open_relay()
    # The longest prompt that a caller can describe.
    load = messages.TargetLoad("e-0", 1, 1 << 30, 1 << 30)
    for number in range(1, 6):
        relay.sharing.receive(report(number, load), anyio.current_time())
    sent = collect(relay)
    decoded = [datagrams.decode(support.SECRET, one) for one in sent]
    sums = [one for one in decoded if isinstance(one, messages.SiteLoad)]
    assert [one.targets[0].tokens for one in sums] == [2**32 - 1]


async def test_load_of_a_large_site_is_told_to_nobody() -> None:
    relay = open_relay()
    loads = [
        messages.TargetLoad(f"{number:032x}", number + 1, 9000, 90_000)
        for number in range(3000)
    ]
    for number in range(1, 9):
        part = report(number, *loads)
        relay.sharing.receive(part, anyio.current_time())
    sent = collect(relay)
    assert sent
    assert max(map(len, sent)) <= MAX_DATAGRAM_BYTES
    for datagram in sent:
        message = datagrams.decode(support.SECRET, datagram)
        assert isinstance(message, datagrams.LoadMessage)
        # The busiest targets are those that others must know.
        assert len(message.targets) > 500
        assert max(one.inflight for one in message.targets) >= 3000


async def test_evidence_of_many_long_prompts_is_told_to_nobody() -> None:
    parts = tuple(f"{number:032x}" for number in range(64))
    ends = tuple(
        quarantine_messages.TargetEnd(f"e-{number}", "r", parts, 1, 1)
        for number in range(100)
    )
    message = quarantine_messages.EndEvidence(ends, ())
    sent = datagrams.encode_all(support.SECRET, message)
    assert max(map(len, sent)) <= MAX_DATAGRAM_BYTES
    told: list[quarantine_messages.TargetEnd] = []
    for datagram in sent:
        part = datagrams.decode(support.SECRET, datagram)
        assert isinstance(part, quarantine_messages.EndEvidence)
        told += part.ends
    assert tuple(told) == ends


async def test_lost_socket_ends_the_gateway() -> None:
    exchange = test_strange_datagrams.open_exchange()
    received: list[object] = []
    exchange.handlers[stream_messages.FindStream] = received.append
    own = exchange.own_address
    question = stream_messages.FindStream("", "s")
    async with anyio.create_task_group() as group:
        group.start_soon(exchange.run)
        with anyio.fail_after(5):
            while exchange.socket is None:
                await anyio.sleep(0.01)
        # The event loop closes a socket after an error that it doesn't know.
        await exchange.socket.aclose()
        exchange.send_soon(question, str(own))
        await anyio.sleep(2 * datagram_exchange.REOPEN_DELAY_S)
        exchange.send_soon(question, str(own))
        with anyio.fail_after(2):
            while not received:
                await anyio.sleep(0.02)
        group.cancel_scope.cancel()


async def test_fault_in_one_round_ends_the_exchange() -> None:
    exchange = test_strange_datagrams.open_exchange()
    rounds: list[float] = []

    def collect(now_s: float) -> list[object]:
        exchange.sharing.changed = anyio.Event()
        rounds.append(now_s)
        raise RuntimeError("a fault of the program")

    exchange.sharing.collect = collect  # type: ignore[method-assign, assignment]
    async with anyio.create_task_group() as group:
        group.start_soon(exchange.run)
        with anyio.fail_after(5):
            while len(rounds) < 2:
                await anyio.sleep(0.02)
        group.cancel_scope.cancel()
