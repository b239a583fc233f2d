"""Authentic datagrams of a gateway that is broken or of another version."""

from __future__ import annotations

import functools
import hmac
import types
import typing

import anyio
import attrs
import hypothesis
import pytest
from hypothesis import strategies
from tests.gateway import support

from cactusstile.gateway import budget
from cactusstile.gateway import daemon
from cactusstile.gateway import forwarding
from cactusstile.gateway import site_view
from cactusstile.gateway.peers import datagram_exchange
from cactusstile.gateway.peers import datagrams
from cactusstile.gateway.peers import load_sharing
from cactusstile.http import targets
from cactusstile.sites import messages
from cactusstile.sites import stream_messages
from cactusstile.transport import codec

pytestmark = pytest.mark.anyio
MESSAGES = typing.get_args(datagrams.Message)
MAX_UINT32 = 2**32 - 1


def values_of(hint: typing.Any) -> strategies.SearchStrategy[typing.Any]:
    """Returns a strategy for values of a field's type."""
    if attrs.has(hint):
        return instances_of(hint)
    if isinstance(hint, types.GenericAlias):
        return strategies.lists(values_of(hint.__args__[0]), max_size=3).map(
            tuple
        )
    return {
        bool: strategies.booleans(),
        int: strategies.integers(0, MAX_UINT32),
        float: strategies.floats(),
        str: strategies.sampled_from(["", "x", "1:1", "127.0.0.1:9", "[::]:0"]),
    }[hint]


@functools.cache
def instances_of(cls: type) -> strategies.SearchStrategy[typing.Any]:
    hints = typing.get_type_hints(cls)
    fields = {name: values_of(hints[name]) for name in hints}
    return strategies.builds(cls, **fields)


def open_exchange() -> datagram_exchange.DatagramExchange:
    own = support.find_free_address()
    member = messages.GatewayMember(str(own), "d", 100.0)
    config = support.configuration(support.route())
    site = site_view.SiteView(gateways=(member,))
    site.replace_configuration(config)
    sharing = load_sharing.LoadSharing(site, member)
    exchange = datagram_exchange.DatagramExchange(sharing, own, support.SECRET)
    forwarder = forwarding.Forwarder(
        site,
        targets.Pool(),
        budget.RetryBudget(1.0, 10.0, 10.0),
        lambda _: None,
        8.0,
    )
    daemon.connect_exchange(forwarder, exchange)
    return exchange


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(strategies.one_of([instances_of(one) for one in MESSAGES]))
def test_strange_message_of_a_gateway_raises(message: typing.Any) -> None:
    async def handle() -> None:
        exchange = open_exchange()
        exchange.handle_datagram(datagrams.encode(support.SECRET, message))

    anyio.run(handle)


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    strategies.sampled_from(MESSAGES), strategies.binary(max_size=200)
)
def test_strange_bytes_of_a_gateway_raise(cls: type, data: bytes) -> None:
    async def handle() -> None:
        exchange = open_exchange()
        number = codec.number_of(cls).to_bytes(2, "big")
        whole = number + data
        mac = hmac.digest(support.SECRET, whole, "sha256")
        exchange.handle_datagram(mac[: datagrams.MAC_BYTES] + whole)

    anyio.run(handle)


async def test_question_without_an_address_ends_the_exchange() -> None:
    exchange = open_exchange()
    async with anyio.create_task_group() as group:
        group.start_soon(exchange.run)
        await anyio.sleep(0.05)
        question = stream_messages.FindStream("no address", "s")
        data = datagrams.encode(support.SECRET, question)
        exchange.handle_datagram(data)
        await anyio.sleep(0.05)
        group.cancel_scope.cancel()


async def test_fault_in_one_message_ends_the_exchange() -> None:
    exchange = open_exchange()
    received = []

    def receive(message: stream_messages.FindStream) -> None:
        received.append(message.id)
        raise RuntimeError("a fault of the program")

    exchange.handlers[stream_messages.FindStream] = receive
    async with (
        anyio.create_task_group() as group,
        await anyio.create_udp_socket(local_host="127.0.0.1") as socket,
    ):
        group.start_soon(exchange.run)
        await anyio.sleep(0.05)
        own = exchange.own_address
        for number in range(2):
            question = stream_messages.FindStream("", str(number))
            data = datagrams.encode(support.SECRET, question)
            await socket.sendto(data, own.host, own.port)
        await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    assert received == ["0", "1"]
