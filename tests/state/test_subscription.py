from __future__ import annotations

import contextlib
import typing

import anyio
import anyio.lowlevel
import attrs
import pytest
from tests.support import cutting_relay

from cactusstile.control import client
from cactusstile.control import feed_messages
from cactusstile.control import messages
from cactusstile.state import delta
from cactusstile.state import encoding
from cactusstile.state import holder
from cactusstile.state import model
from cactusstile.state import relay
from cactusstile.state import subscription
from cactusstile.transport import address
from cactusstile.transport import exceptions as transport_exceptions
from cactusstile.transport import handshake
from cactusstile.transport import incoming
from cactusstile.transport import pool
from cactusstile.transport import server

if typing.TYPE_CHECKING:
    import collections.abc

pytestmark = pytest.mark.anyio

SECRETS = handshake.Secrets(b"fleet-secret", b"operator-secret")
LOCAL = address.Address("127.0.0.1", 0)
FAILOVER_S = 3.0
SLACK_S = 1.0


@attrs.define
class Node:
    relay: relay.Relay
    fleet_holder: holder.FleetHolder
    bound: address.Address
    subscriber: subscription.Subscriber | None = None
    sends_beacons: bool = True
    confirms_revisions: bool = True

    def change(self, share: float = 1.0) -> model.Fleet:
        """Publishes the next revision to the children, as control does."""
        base = self.relay.fleet
        name = f"w{base.revision % 40}"
        workspaces = {**base.workspaces, name: model.Workspace(name, (), share)}
        fleet = attrs.evolve(
            base, revision=base.revision + 1, workspaces=workspaces
        )
        digest = encoding.content_digest(fleet)
        change = messages.FeedDelta(
            base.revision,
            fleet.revision,
            encoding.digest_bytes(digest),
            delta.pack(delta.diff(base, fleet)),
        )
        self.relay.publish(change, fleet, digest)
        return fleet


class Tree:
    """Delivery tree of roots and subscribers over real connections."""

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        self.stack = stack
        self.beacon_count = 0

    async def open_root(self, name: str = "c1") -> Node:
        node = await self._open_server(relay.Relay(name, redirects_leaves=True))
        group = await self.stack.enter_async_context(anyio.create_task_group())
        self.stack.callback(group.cancel_scope.cancel)
        group.start_soon(self._send_beacons, node)
        await anyio.sleep(0.1)
        return node

    async def _send_beacons(self, node: Node) -> None:
        while True:
            self.beacon_count += 1
            if node.sends_beacons:
                revision = node.relay.fleet.revision
                node.relay.accept_beacon(self.beacon_count, revision)
            await anyio.sleep(0.05)

    async def _open_server(self, own: relay.Relay) -> Node:
        node = Node(own, holder.FleetHolder(), LOCAL)

        async def read_revision(
            _: incoming.Responder, __: messages.ReadRevision
        ) -> object:
            if not node.confirms_revisions:
                raise transport_exceptions.RemoteError("not_leader", "")
            return messages.FleetRevision(own.fleet.revision, b"")

        handlers = incoming.Handlers(
            {
                feed_messages.Subscribe: own.serve,
                messages.ReadRevision: read_revision,
            },
            {feed_messages.FeedReport: own.accept_report},
        )
        identity = handshake.Identity("control", own.name)
        opened = await self.stack.enter_async_context(
            server.open_server(LOCAL, identity, SECRETS, handlers)
        )
        node.bound = opened.bound
        return node

    async def open_child(
        self,
        name: str,
        roots: collections.abc.Sequence[address.Address],
        *,
        relays: bool = False,
        fleet: model.Fleet | None = None,
    ) -> Node:
        own = relay.Relay(name, is_agent=not relays, target=f"t-{name}")
        if fleet is not None:
            own.reset(fleet, encoding.content_digest(fleet))
        node = await self._open_server(own)
        node.fleet_holder = holder.FleetHolder(fleet)
        identity = handshake.Identity("agent", name)
        peers = await self.stack.enter_async_context(
            pool.open_pool(identity, SECRETS)
        )
        node.subscriber = subscription.Subscriber(
            node.fleet_holder,
            own,
            peers,
            client.ControlClient(peers, roots),
            node.bound if relays else None,
        )
        group = await self.stack.enter_async_context(anyio.create_task_group())
        self.stack.callback(group.cancel_scope.cancel)
        group.start_soon(node.subscriber.run)
        return node


@pytest.fixture
async def tree() -> collections.abc.AsyncIterator[Tree]:
    async with contextlib.AsyncExitStack() as stack:
        yield Tree(stack)


async def _wait_until(
    condition: collections.abc.Callable[[], object], limit_s: float
) -> None:
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.01)


async def test_change_reaches_agents_behind_an_entry_as_delta(
    tree: Tree,
) -> None:
    root = await tree.open_root()
    for _ in range(300):
        root.change()
    entry = await tree.open_child("e1", [root.bound], relays=True)
    await _wait_until(lambda: root.relay.children() == ["e1"], 1)
    agent = await tree.open_child("a1", [root.bound])
    await _wait_until(agent.fleet_holder.confirmed.is_set, 1)
    assert agent.subscriber is not None
    assert agent.subscriber.parent == entry.bound
    before = agent.subscriber.received_bytes
    fleet = root.change(share=7.0)
    await _wait_until(lambda: agent.fleet_holder.fleet == fleet, 1)
    assert entry.fleet_holder.fleet == fleet
    full_delta_bytes = len(delta.pack(delta.diff(model.Fleet(), fleet)))
    assert agent.subscriber.received_bytes - before < full_delta_bytes / 2


async def test_burst_of_changes_is_coalesced_for_children(
    tree: Tree, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(relay, "COALESCE_INTERVAL_S", 0.3)
    root = await tree.open_root()
    root.change()
    agent = await tree.open_child("a1", [root.bound])
    await _wait_until(agent.fleet_holder.confirmed.is_set, 1)
    advances: list[int] = []
    agent.fleet_holder.observe(lambda _, fleet: advances.append(fleet.revision))
    for _ in range(100):
        fleet = root.change()
        await anyio.lowlevel.checkpoint()
    await _wait_until(lambda: agent.fleet_holder.fleet == fleet, 2)
    assert len(advances) <= 3


async def test_full_fleet_is_packed_once_for_relays_and_late_nodes(
    tree: Tree, monkeypatch: pytest.MonkeyPatch
) -> None:
    packed: list[int] = []
    pack_whole = delta.pack_fleet

    async def pack_and_count(fleet: model.Fleet) -> bytes:
        packed.append(fleet.revision)
        return await pack_whole(fleet)

    monkeypatch.setattr(delta, "pack_fleet", pack_and_count)
    root = await tree.open_root()
    fleet = root.change()
    root.relay.reset(fleet, encoding.content_digest(fleet))
    entry = await tree.open_child("e1", [root.bound], relays=True)
    await _wait_until(lambda: entry.fleet_holder.fleet == fleet, 1)
    assert (await entry.relay.whole()).revision == fleet.revision
    for _ in range(3):
        fleet = root.change()
    late = await tree.open_child("e2", [root.bound], relays=True)
    await _wait_until(lambda: late.fleet_holder.fleet == fleet, 1)
    assert packed == [1]


async def test_silent_child_gives_its_place_up(
    tree: Tree, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(relay, "CHILD_SILENCE_LIMIT_S", 0.5)
    root = await tree.open_root()
    root.change()
    cutter = await tree.stack.enter_async_context(
        cutting_relay.open_relay(root.bound)
    )
    await tree.open_child("a1", [cutter.bound])
    await _wait_until(root.relay.children, 1)
    cutter.cut()
    await _wait_until(lambda: not root.relay.children(), 3)


async def test_node_away_for_500_changes_catches_up(tree: Tree) -> None:
    root = await tree.open_root()
    old = root.change()
    for _ in range(500):
        fleet = root.change()
    agent = await tree.open_child("a1", [root.bound], fleet=old)
    await _wait_until(agent.fleet_holder.confirmed.is_set, 1)
    assert agent.fleet_holder.fleet == fleet


async def test_cut_off_root_neither_feeds_nor_confirms(
    tree: Tree, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(relay, "STALE_AFTER_S", 0.5)
    root = await tree.open_root("c1")
    behind = await tree.open_root("c2")
    behind.change()
    behind.sends_beacons = False
    behind.confirms_revisions = False
    root.change()
    fleet = root.change()
    addresses = [behind.bound, root.bound]
    await anyio.sleep(0.5)
    agents = [await tree.open_child(f"a{n}", addresses) for n in range(6)]
    await _wait_until(
        lambda: all(agent.fleet_holder.fleet == fleet for agent in agents),
        SLACK_S,
    )
    for agent in agents:
        assert agent.subscriber is not None
        await _wait_until(agent.fleet_holder.confirmed.is_set, 1)


async def test_partitioned_roots_confirm_nothing(tree: Tree) -> None:
    behind = await tree.open_root()
    behind.change()
    behind.confirms_revisions = False
    agent = await tree.open_child("a1", [behind.bound])
    await _wait_until(lambda: agent.fleet_holder.fleet.revision == 1, 1)
    await anyio.sleep(0.3)
    assert not agent.fleet_holder.confirmed.is_set()


async def test_subscriber_leaves_silent_or_cut_off_parent_in_time() -> None:
    async with anyio.create_task_group() as group:
        for fault in ("silent", "cut off"):
            group.start_soon(_check_failover, fault)


async def _check_failover(fault: str) -> None:
    async with contextlib.AsyncExitStack() as stack:
        await _fail_over(Tree(stack), fault)


async def _fail_over(tree: Tree, fault: str) -> None:
    roots = [await tree.open_root("c1"), await tree.open_root("c2")]
    relays = [
        await tree.stack.enter_async_context(
            cutting_relay.open_relay(root.bound)
        )
        for root in roots
    ]
    addresses = [opened.bound for opened in relays]
    agent = await tree.open_child("a1", addresses)
    subscriber = agent.subscriber
    assert subscriber is not None
    await _wait_until(lambda: subscriber.parent, 1)
    used = addresses.index(typing.cast("address.Address", subscriber.parent))
    # The beacon increases after the first heartbeat; the second one is fresh.
    await anyio.sleep(0.1)
    if fault == "silent":
        relays[used].cut()
    else:
        roots[used].sends_beacons = False
    fleet = roots[1 - used].change()
    await _wait_until(
        lambda: agent.fleet_holder.fleet == fleet, FAILOVER_S + SLACK_S
    )


async def test_node_never_steps_back(tree: Tree) -> None:
    ahead = await tree.open_root("c1")
    fleet = [ahead.change(), ahead.change()][-1]
    behind = await tree.open_root("c2")
    old = behind.change(share=3.0)
    agent = await tree.open_child("a1", [behind.bound], fleet=fleet)
    await _wait_until(behind.relay.children, 1)
    await anyio.sleep(0.2)
    assert agent.fleet_holder.fleet == fleet
    assert not agent.fleet_holder.advance(old)


async def test_in_force_counts_the_tree_and_lists_missing_nodes(
    tree: Tree,
) -> None:
    root = await tree.open_root()
    fleet = root.change()
    await tree.open_child("e1", [root.bound], relays=True)
    await _wait_until(lambda: root.relay.children() == ["e1"], 1)
    for number in range(3):
        await tree.open_child(f"a{number}", [root.bound])
    await _wait_until(lambda: root.relay.in_force(1).current == 5, 2)
    counted = root.relay.in_force(fleet.revision)
    assert (counted.nodes, counted.agents, counted.missing) == (5, 3, ())
    await _wait_until(lambda: len(root.relay.agent_names()) == 3, 1)
    assert root.relay.agent_names() == {"t-a0", "t-a1", "t-a2"}
    ahead = root.relay.in_force(fleet.revision + 1)
    assert (ahead.current, set(ahead.missing)) == (0, {"c1", "e1"})


async def test_full_parent_redirects_to_its_relays(
    tree: Tree, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(relay, "MAX_CHILDREN", 2)
    root = await tree.open_root()
    fleet = root.change()
    entries = [
        await tree.open_child(f"e{number}", [root.bound], relays=True)
        for number in range(7)
    ]
    await _wait_until(
        lambda: all(entry.fleet_holder.fleet == fleet for entry in entries), 4
    )
    assert len(root.relay.children()) == 2
    await _wait_until(lambda: root.relay.in_force(1).current == 8, 2)


async def test_leaf_subscribes_to_the_root_if_relays_are_full(
    tree: Tree, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(relay, "MAX_CHILDREN", 3)
    root = await tree.open_root()
    fleet = root.change()
    await tree.open_child("e1", [root.bound], relays=True)
    await _wait_until(lambda: root.relay.children() == ["e1"], 1)
    agents = [await tree.open_child(f"a{n}", [root.bound]) for n in range(5)]
    await _wait_until(
        lambda: all(agent.fleet_holder.fleet == fleet for agent in agents), 4
    )
