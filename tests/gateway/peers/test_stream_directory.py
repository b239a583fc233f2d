from __future__ import annotations

import collections.abc
import contextlib

import anyio
import pytest
from tests.support import virtual_clock

from cactusstile.gateway import retries
from cactusstile.gateway import site_view
from cactusstile.gateway.peers import stream_directory
from cactusstile.sites import messages

pytestmark = pytest.mark.anyio
ORIGIN = retries.StreamOrigin("s", "v1")
DELAY_S = 0.002


@pytest.fixture
def anyio_backend() -> virtual_clock.Backend:
    return virtual_clock.BACKEND


class Network:
    """Gateways whose messages arrive after a delay.

    Attributes:
      gateways: Directories of the running gateways, by address.
      losses: Numbers of the messages that are lost.
      sent: Count of all messages.
    """

    def __init__(self, count: int, group: anyio.abc.TaskGroup) -> None:
        self.group = group
        self.losses: set[int] = set()
        self.sent = 0
        self.members = tuple(
            messages.GatewayMember(f"127.0.0.1:{number}", "d", 100.0)
            for number in range(1, count + 1)
        )
        self.gateways = {
            member.address: self._open(member.address)
            for member in self.members
        }

    def _open(self, address: str) -> stream_directory.StreamDirectory:
        site = site_view.SiteView(gateways=self.members)
        site.own_address = address
        directory = stream_directory.StreamDirectory(site)

        def send(message: stream_directory.Message, receiver: str) -> None:
            self.group.start_soon(self._deliver, message, receiver)

        directory.send = send
        return directory

    async def _deliver(
        self, message: stream_directory.Message, receiver: str
    ) -> None:
        self.sent += 1
        if self.sent in self.losses:
            return
        await anyio.sleep(DELAY_S)
        if receiver in self.gateways:
            self.gateways[receiver].receive(message)

    def stop(self, *addresses: str) -> None:
        for address in addresses:
            del self.gateways[address]

    def list_members(self) -> None:
        """Gives all gateways the list of those that still run."""
        for directory in self.gateways.values():
            directory.site.gateways = tuple(
                member
                for member in self.members
                if member.address in self.gateways
            )


@contextlib.asynccontextmanager
async def open_network(
    count: int,
) -> collections.abc.AsyncIterator[Network]:
    async with anyio.create_task_group() as group:
        yield Network(count, group)
        group.cancel_scope.cancel()


async def test_any_gateway_finds_the_origin_after_the_first_one_ended() -> None:
    async with open_network(8) as network:
        first, *others = network.gateways
        for number in range(50):
            network.gateways[first].record(f"x{number}", ORIGIN)
        await anyio.sleep(0.01)
        network.stop(first)
        for turn in ("as listed before", "as listed now"):
            for address in others:
                directory = network.gateways[address]
                for number in range(50):
                    found = await directory.find(f"x{number}")
                    assert found == ORIGIN, turn
            network.list_members()


async def test_origin_is_found_although_a_datagram_is_lost() -> None:
    for lost in range(1, 8):
        async with open_network(6) as network:
            network.losses = {lost}
            first, *others = network.gateways
            network.gateways[first].record("x", ORIGIN)
            await anyio.sleep(0.01)
            network.stop(first)
            assert await network.gateways[others[0]].find("x") == ORIGIN


async def test_gateways_that_stop_one_after_the_other_hand_over() -> None:
    async with open_network(6) as network:
        first, *others, last = network.gateways
        network.gateways[first].record("x", ORIGIN)
        await anyio.sleep(0.01)
        for address in (first, *others):
            network.gateways[address].hand_over()
            await anyio.sleep(0.01)
            network.stop(address)
            network.list_members()
        assert await network.gateways[last].find("x") == ORIGIN


async def test_unknown_stream_ends_the_search_at_once() -> None:
    async with open_network(6) as network:
        started_s = anyio.current_time()
        directory = next(iter(network.gateways.values()))
        assert await directory.find("x") is None
        took_s = anyio.current_time() - started_s
    assert took_s < stream_directory.ANSWER_TIMEOUT_S


async def test_cost_of_a_stream_does_not_grow_with_the_gateways() -> None:
    counts = []
    for gateways in (8, 70, 670):
        async with open_network(gateways) as network:
            first = next(iter(network.gateways.values()))
            first.record("x", ORIGIN)
            await anyio.sleep(0.01)
            counts.append(network.sent)
    assert counts == [stream_directory.OWNERS] * 3


async def test_directory_is_bounded_in_number_and_age(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(stream_directory, "MAX_STREAMS", 10)
    site = site_view.SiteView()
    site.own_address = "127.0.0.1:1"
    directory = stream_directory.StreamDirectory(site)
    for number in range(30):
        directory.record(f"x{number}", ORIGIN)
    assert list(directory.entries) == [f"x{number}" for number in range(20, 30)]
    await anyio.sleep(stream_directory.RETENTION_S + 1.0)
    directory.record("new", ORIGIN)
    assert list(directory.entries) == ["new"]


@pytest.mark.parametrize("ended", [1, 2, 3, 4])
async def test_at_least_half_of_the_resumed_streams_go_on_after_kills(
    ended: int,
) -> None:
    async with open_network(8) as network:
        addresses = list(network.gateways)
        killed, left = addresses[:ended], addresses[ended:]
        streams = []
        for number in range(200):
            stream_id = f"x{number}"
            first = killed[number % ended]
            network.gateways[first].record(stream_id, ORIGIN)
            streams.append(stream_id)
        await anyio.sleep(0.01)
        network.stop(*killed)
        known = 0
        for number, stream_id in enumerate(streams):
            directory = network.gateways[left[number % len(left)]]
            known += await directory.find(stream_id) is not None
    assert known >= len(streams) / 2
