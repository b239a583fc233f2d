"""Cost and delay of configuration updates over the relay tree.

    python -m benchmarks.control_delivery --subscribers 300

A control root, relaying entries and their agents run in this process over real
connections; processor time covers both ends of all connections.
"""

from __future__ import annotations

import argparse
import base64
import contextlib
import os
import time
import typing

import anyio
import anyio.abc
import anyio.lowlevel
import attrs

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
from cactusstile.transport import frame
from cactusstile.transport import handshake
from cactusstile.transport import incoming
from cactusstile.transport import pool
from cactusstile.transport import server

_T = typing.TypeVar("_T")

SECRETS = handshake.Secrets(b"fleet-secret-of-benchmark")
LOCAL = address.Address("127.0.0.1", 0)
CHILDREN_PER_ENTRY = 30
CHANGE_COUNT = 20
CHANGE_INTERVAL_S = 1.1
IDLE_S = 20.0
BEACON_INTERVAL_S = 0.5


@attrs.frozen
class Arguments:
    """Arguments of the benchmark."""

    subscribers: int
    workspaces: int


def make_fleet(workspaces: int) -> model.Fleet:
    """Returns a fleet with `workspaces` workspaces of one key each."""
    parts = {}
    for number in range(workspaces):
        name = f"workspace-{number}"
        salt = base64.b64encode(os.urandom(16)).decode()
        hashed = base64.b64encode(os.urandom(32)).decode()
        key_hash = f"scrypt${number:012x}$4096${salt}${hashed}"
        parts[name] = model.Workspace(name, (key_hash,))
    return model.Fleet("benchmark", 1, parts)


def change_one(
    base: model.Fleet, digest: int
) -> tuple[messages.FeedDelta, model.Fleet, int]:
    """Returns a change of one workspace, the new fleet and its digest."""
    name = f"workspace-{base.revision % len(base.workspaces)}"
    old = base.workspaces[name]
    changed = attrs.evolve(old, share=old.share + 1)
    key = encoding.key_of("workspace", name)
    body = delta.Delta({key: encoding.encode_part(changed)})
    fleet, after = delta.apply_delta(base, digest, body, base.revision + 1)
    message = messages.FeedDelta(
        base.revision,
        fleet.revision,
        encoding.digest_bytes(after),
        delta.pack(body),
    )
    return message, fleet, after


class Tree:
    """A root, entries and agents in this process.

    A separate task keeps each node open. If nodes were opened inside one
    another, their cancel scopes would nest, and anyio walks up all of them at
    each checkpoint.
    """

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        """Creates an empty tree whose tasks run in `group`."""
        self.group = group
        self.relays: list[relay.Relay] = []
        self.subscribers: list[subscription.Subscriber] = []

    async def open(
        self, context: contextlib.AbstractAsyncContextManager[_T]
    ) -> _T:
        """Enters `context` until the group is cancelled; returns its value."""
        return typing.cast("_T", await self.group.start(_keep_open, context))

    async def open_server(self, node_relay: relay.Relay) -> address.Address:
        """Serves `node_relay` and returns the bound address."""

        async def read_revision(
            _: incoming.Responder, __: messages.ReadRevision
        ) -> object:
            return messages.FleetRevision(node_relay.fleet.revision, b"")

        handlers = incoming.Handlers(
            {
                feed_messages.Subscribe: node_relay.serve,
                messages.ReadRevision: read_revision,
            },
            {feed_messages.FeedReport: node_relay.accept_report},
        )
        identity = handshake.Identity("control", node_relay.name)
        opened = await self.open(
            server.open_server(LOCAL, identity, SECRETS, handlers)
        )
        return opened.bound

    async def open_child(
        self, name: str, parent: address.Address, *, relays: bool
    ) -> None:
        """Adds a subscriber of the root at `parent` without starting it."""
        node_relay = relay.Relay(name, is_agent=not relays)
        bound = await self.open_server(node_relay) if relays else None
        connections = await self.open(
            pool.open_pool(handshake.Identity("agent", name), SECRETS)
        )
        subscriber = subscription.Subscriber(
            holder.FleetHolder(),
            node_relay,
            connections,
            client.ControlClient(connections, [parent]),
            bound,
        )
        self.relays.append(node_relay)
        self.subscribers.append(subscriber)


async def _keep_open(
    context: contextlib.AbstractAsyncContextManager[object],
    *,
    task_status: anyio.abc.TaskStatus[object],
) -> None:
    async with context as opened:
        task_status.started(opened)
        await anyio.sleep_forever()


def count_frames() -> list[int]:
    """Returns a list to which the size of each later frame is appended."""
    sizes: list[int] = []
    encode = frame.encode

    def encode_counted(
        kind: frame.Kind, number: int, call_id: int, payload: bytes
    ) -> bytes:
        data = encode(kind, number, call_id, payload)
        sizes.append(len(data))
        return data

    frame.encode = encode_counted
    return sizes


async def send_beacons(root: relay.Relay) -> None:
    """Sends beacons in place of the leader."""
    number = 0
    while True:
        number += 1
        root.accept_beacon(number, root.fleet.revision)
        await anyio.sleep(BEACON_INTERVAL_S)


async def wait_until_all(tree: Tree, root: relay.Relay) -> None:
    """Waits until every subscriber has the root's revision."""
    for node_relay in tree.relays:
        while node_relay.fleet.revision < root.fleet.revision:
            await node_relay.changed.wait()


async def measure_idle(tree: Tree) -> tuple[float, float]:
    """Prints the cost of subscribers that are up to date.

    Returns:
      Processor seconds and frame bytes per second and subscriber.
    """
    sizes = count_frames()
    cpu_start_s = time.process_time()
    await anyio.sleep(IDLE_S)
    cpu_s = time.process_time() - cpu_start_s
    share = 1 / IDLE_S / len(tree.relays)
    print(
        f"idle: {cpu_s * share * 1e6:.0f} us/s of processor, "
        f"{len(sizes) * share:.2f} frames/s and {sum(sizes) * share:.0f} B/s "
        "a subscriber, both ends"
    )
    return cpu_s * share, sum(sizes) * share


async def measure_changes(
    tree: Tree, root: relay.Relay, idle: tuple[float, float]
) -> None:
    """Prints delay, bytes and processor time of changes, without `idle`."""
    delays = []
    received = sum(subscriber.received_bytes for subscriber in tree.subscribers)
    sizes = count_frames()
    cpu_start_s = time.process_time()
    measurement_start_s = anyio.current_time()
    for _ in range(CHANGE_COUNT):
        root.publish(*change_one(root.fleet, root.digest))
        started_s = anyio.current_time()
        await wait_until_all(tree, root)
        delays.append(anyio.current_time() - started_s)
        await anyio.sleep(CHANGE_INTERVAL_S)
    subscriber_s = (anyio.current_time() - measurement_start_s) * len(
        tree.relays
    )
    cpu_s = time.process_time() - cpu_start_s - subscriber_s * idle[0]
    frames_bytes = sum(sizes) - subscriber_s * idle[1]
    received = (
        sum(subscriber.received_bytes for subscriber in tree.subscribers)
        - received
    )
    count = CHANGE_COUNT * len(tree.relays)
    delays.sort()
    print(
        f"change: {received / count:.0f} B of changes, "
        f"{frames_bytes / count:.0f} B of frames and "
        f"{cpu_s / count * 1e6:.0f} us a subscriber; in force everywhere "
        "after "
        f"{delays[len(delays) // 2] * 1e3:.0f} ms (p50), "
        f"{delays[-1] * 1e3:.0f} ms (max of {CHANGE_COUNT})"
    )


async def run(arguments: Arguments) -> None:
    """Runs the benchmark."""
    async with anyio.create_task_group() as group:
        tree = Tree(group)
        root = relay.Relay("root", redirects_leaves=True)
        fleet = make_fleet(arguments.workspaces)
        root.reset(fleet, encoding.content_digest(fleet))
        bound = await tree.open_server(root)
        entries = max(1, arguments.subscribers // CHILDREN_PER_ENTRY)
        for number in range(arguments.subscribers):
            name = f"node-{number}"
            await tree.open_child(name, bound, relays=number < entries)
        group.start_soon(send_beacons, root)
        await anyio.lowlevel.checkpoint()
        await join_all(tree, group, root, entries)
        idle = await measure_idle(tree)
        await measure_changes(tree, root, idle)
        group.cancel_scope.cancel()


async def join_all(
    tree: Tree, group: anyio.abc.TaskGroup, root: relay.Relay, entries: int
) -> None:
    """Starts the relays, then the agents; prints the time until all joined."""
    for subscriber in tree.subscribers[:entries]:
        group.start_soon(subscriber.run)
    while len(root.children()) < entries:
        await root.reported.wait()
    started_s = anyio.current_time()
    for subscriber in tree.subscribers[entries:]:
        group.start_soon(subscriber.run)
    await wait_until_all(tree, root)
    joined_s = anyio.current_time() - started_s
    print(
        f"{len(tree.relays)} subscribers, {entries} of them relays, "
        f"{len(root.fleet.workspaces)} workspaces: all joined in "
        f"{joined_s:.2f} s"
    )


def main() -> None:
    """Parses the arguments and runs the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--subscribers", type=int, default=100)
    parser.add_argument("--workspaces", type=int, default=100)
    parsed = parser.parse_args()
    anyio.run(run, Arguments(parsed.subscribers, parsed.workspaces))


if __name__ == "__main__":
    main()
