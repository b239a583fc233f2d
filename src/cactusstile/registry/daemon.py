"""The registry role: a replica, the operator interface and the feed."""

from __future__ import annotations

import contextlib
import logging
import typing

import anyio
import anyio.abc
import attrs
import prometheus_client

from cactusstile import guards
from cactusstile.consensus import exceptions as consensus_exceptions
from cactusstile.consensus import messages as consensus_messages
from cactusstile.consensus import replica
from cactusstile.consensus import replica_settings
from cactusstile.consensus import state as consensus_state
from cactusstile.control import member_messages
from cactusstile.control import sender
from cactusstile.http import callers
from cactusstile.http import serving as servings
from cactusstile.http import targets
from cactusstile.observability import loop_lag
from cactusstile.observability import plain_admin
from cactusstile.platform import client as clients
from cactusstile.registry import answers
from cactusstile.registry import feed as feeds
from cactusstile.registry import founding
from cactusstile.registry import hold_calls
from cactusstile.registry import leader_lookup
from cactusstile.registry import members
from cactusstile.registry import operator
from cactusstile.registry import rejoin
from cactusstile.registry import state as states
from cactusstile.registry import store_eviction
from cactusstile.registry import store_watch
from cactusstile.registry import target_listing
from cactusstile.registry import weights
from cactusstile.settings import node
from cactusstile.sites import discovery
from cactusstile.sites import view_messages
from cactusstile.transport import address
from cactusstile.transport import codec
from cactusstile.transport import connection
from cactusstile.transport import handshake
from cactusstile.transport import incoming
from cactusstile.transport import pool as pools
from cactusstile.transport import server

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.transport import messages as transport_messages

logger = logging.getLogger(__name__)

ROLE = "registry"
GROUP = founding.GROUP
MAX_COMMAND_BYTES = 3 << 20
SNAPSHOT_AFTER_BYTES = 4 << 20
TRANSFER_TIMEOUT_S = 2.0
# Callers hardly notice half a second without a leader; four heartbeats fit into
# that time.
HEARTBEAT_INTERVAL_S = 0.08
ELECTION_TIMEOUT_S = 0.4
TIMING = connection.Timing(heartbeat_interval_s=0.5, silence_limit_s=1.5)


@attrs.frozen
class Registry:
    """Components of a running registry process.

    Attributes:
      settings: Settings of the node.
      site: Replicated state of the site.
      replica: Replica of the control group.
      feed: Feed of state to gateways.
      connections: Connections to other replicas.
      hold_calls: Changes holds.
      loop: Lag of the event loop.
      listeners: Listeners for operators and administrators.
      seeds: Addresses of other registries, from the newest settings.
    """

    settings: node.NodeSettings
    site: states.SiteState
    replica: replica.Replica
    feed: feeds.Feed
    connections: pools.Pool
    hold_calls: hold_calls.HoldCalls = attrs.field(
        default=attrs.Factory(
            lambda self: hold_calls.HoldCalls(self.feed, self.replica),
            takes_self=True,
        )
    )

    loop: loop_lag.LoopLag = attrs.field(factory=loop_lag.LoopLag)
    listeners: list[servings.Serving] = attrs.field(factory=list)
    seeds: list[str] = attrs.field(
        default=attrs.Factory(
            lambda self: [str(seed) for seed in self.settings.internal_seeds],
            takes_self=True,
        )
    )

    def apply(self, changed: node.NodeSettings) -> None:
        """Uses the seeds of changed settings from now on.

        They do not change who founds the group.
        """
        self.seeds[:] = [str(seed) for seed in changed.internal_seeds]
        self.replica.announce_to(self.seeds)

    async def finish_calls(self) -> None:
        """Waits until the calls that have begun are answered."""
        for serving in self.listeners:
            await serving.finish(operator.COMMIT_TIMEOUT_S)

    async def wait_until_removed(self) -> None:
        """Waits until this replica was replaced; see `rejoin`."""
        await guards.keep_running(
            "replacement",
            rejoin.wait_until_removed,
            self.replica,
            self.connections,
            self._peer_addresses,
        )

    def _peer_addresses(self) -> list[str]:
        own_address = self.replica.settings.address
        addresses = [
            peer.member.address for peer in self.replica.status().members
        ]
        addresses += self.seeds
        return [
            peer for peer in dict.fromkeys(addresses) if peer != own_address
        ]

    def dump(self) -> dict[str, typing.Any]:
        """Returns the state of the process; it contains no keys."""
        status = self.replica.status()
        return {
            "name": self.settings.name,
            "role": status.role,
            "term": status.term,
            "leader": status.leader_address,
            "committed": status.commit_index,
            "members": [
                {
                    "id": peer.member.id,
                    "votes": peer.member.voter,
                    "active": peer.active,
                    "synced": peer.synced_index,
                }
                for peer in status.members
            ],
            "configuration": self.site.image.version,
            "weights": self.site.weights(),
            "holds": [hold.id for hold in self.site.image.holds],
            "evacuated": self.site.image.evacuated,
            "gateways": sorted(self.feed.watchers),
            "targets": len(self.feed.targets),
            "loop": self.loop.describe(anyio.current_time()),
        }

    async def step_down(self) -> None:
        """Transfers leadership, which saves the group an election timeout."""
        if not self.replica.is_leader:
            return
        try:
            with anyio.move_on_after(TRANSFER_TIMEOUT_S):
                await self.replica.transfer_leadership()
        except (
            consensus_exceptions.MembershipError,
            consensus_exceptions.NotLeaderError,
        ) as error:
            logger.info("leadership stays without a successor: %s", error)


def build_replica_settings(
    settings: node.NodeSettings,
) -> replica_settings.ReplicaSettings:
    """Returns the settings of this process's replica.

    A replica may bootstrap the group only with a folder that was made at the
    first start of the system: a VM that lost its disk later has to join the
    existing group.

    Raises:
      ValueError: The settings name no data folder.
    """
    if settings.data_folder is None:
        raise ValueError("the registry role requires a data folder")
    folder = settings.data_folder / GROUP
    seeds = settings.internal_seeds
    founders = [
        replica_settings.Founder(seed.host, str(seed)) for seed in seeds
    ]
    if not settings.first_start and not founding.is_remembered(folder):
        founders = [seed for seed in founders if seed.name != settings.host]
    return replica_settings.ReplicaSettings(
        name=settings.host,
        address=str(settings.internal_address),
        data_folder=folder,
        founders=tuple(founders),
        max_command_bytes=MAX_COMMAND_BYTES,
        snapshot_after_bytes=SNAPSHOT_AFTER_BYTES,
        core=consensus_state.CoreSettings(
            heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
            election_timeout_s=ELECTION_TIMEOUT_S,
        ),
    )


@contextlib.asynccontextmanager
async def open_registry(
    settings: node.NodeSettings,
) -> collections.abc.AsyncIterator[Registry]:
    """Starts a registry; leaving the context stops it.

    Raises:
      StorageError: Durable state is damaged or cannot be written.
      OSError: An address cannot be bound.
    """
    identity = handshake.Identity(ROLE, settings.name)
    secrets = handshake.Secrets(settings.secret.encode())
    config = build_replica_settings(settings)
    if settings.first_start:
        founding.remember(config.data_folder)
    async with contextlib.AsyncExitStack() as stack:
        closers = stack.enter_context(contextlib.ExitStack())
        group = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(group.cancel_scope.cancel)
        connections = await stack.enter_async_context(
            pools.open_pool(identity, secrets, timing=TIMING)
        )
        notices = sender.Sender(connections, group)
        site = states.SiteState()
        own_replica = await stack.enter_async_context(
            replica.open_replica(
                config, site, notices.for_group(GROUP, config.address)
            )
        )
        feed = feeds.Feed(site, own_replica, settings.link_mbps)
        site.observer = feed.observe_state
        registry = Registry(settings, site, own_replica, feed, connections)
        handlers = _build_handlers(registry)
        internal = server.open_server(
            settings.internal_bind_address, identity, secrets, handlers, TIMING
        )
        await stack.enter_async_context(internal)
        _start_controllers(registry, group, stack)
        await _start_listeners(registry, group, closers)
        yield registry


def _build_handlers(registry: Registry) -> incoming.Handlers:
    """Returns the handlers of the calls and notices of other processes."""
    own_replica = registry.replica
    calls = {
        **feeds.watch_handlers(registry.feed),
        **registry.hold_calls.handlers(),
        **rejoin.handlers(own_replica),
        **leader_lookup.handlers(own_replica),
    }
    return incoming.Handlers(
        calls,
        {
            **_notice_handlers(own_replica),
            view_messages.ViewQuestion: registry.feed.view_answers.receive,
        },
    )


def _notice_handlers(
    own_replica: replica.Replica,
) -> collections.abc.Mapping[type, incoming.NoticeHandler]:
    def receive_envelope(
        peer: transport_messages.Hello,
        envelope: member_messages.GroupEnvelope,
    ) -> None:
        if peer.role != ROLE or envelope.group != GROUP:
            return
        message = codec.decode(envelope.number, envelope.payload)
        if isinstance(message, consensus_messages.Message):
            own_replica.receive(envelope.sender, message)

    return {member_messages.GroupEnvelope: receive_envelope}


def _start_controllers(
    registry: Registry,
    group: anyio.abc.TaskGroup,
    stack: contextlib.AsyncExitStack,
) -> None:
    pool = targets.Pool()
    stack.callback(pool.close)
    client = clients.Client(pool)
    own_replica = registry.replica
    keep, feed = guards.keep_running, registry.feed
    group.start_soon(keep, "loop lag", registry.loop.run)
    group.start_soon(keep, "confirmations", feed.run_confirmations)
    group.start_soon(keep, "store updates", feed.run_store_updates)
    group.start_soon(keep, "holds", registry.hold_calls.run_expiry)
    group.start_soon(keep, "members", members.run, own_replica)
    group.start_soon(keep, "leadership", _log_leadership, own_replica)
    _start_target_controllers(registry, client, group)
    watch = store_watch.StoreWatch(
        client,
        lambda: own_replica.is_leader,
        registry.site.stores,
        on_change=registry.feed.schedule_store_updates,
        find_oldest_versions=lambda: store_eviction.oldest_versions(
            registry.feed.targets
        ),
    )
    registry.feed.contents = watch.contents
    group.start_soon(keep, "stores", watch.run, group)


def _start_target_controllers(
    registry: Registry, client: clients.Client, group: anyio.abc.TaskGroup
) -> None:
    """Starts reading the target list and ordering swaps of weights."""
    listing = target_listing.TargetListing(
        registry.feed, registry.replica, group
    )
    controller = weights.WeightsController(
        client,
        registry.replica,
        lambda: listing.targets,
        registry.site.weights,
        on_change=listing.publish,
        rollout_limit_s=registry.settings.weights_s,
    )
    listing.controller = controller
    group.start_soon(
        guards.keep_running,
        "target list",
        discovery.run,
        client,
        registry.settings.platform,
        registry.settings.list_interval_s,
        lambda: registry.replica.is_leader,
        listing.update,
    )
    group.start_soon(guards.keep_running, "weights", controller.run, group)


async def _log_leadership(own_replica: replica.Replica) -> None:
    """Logs each change of the leader or the term."""
    previous = ("", 0)
    while True:
        status = own_replica.status()
        current = (status.leader_address, status.term)
        if current != previous:
            logger.info(
                "leadership changed",
                extra={
                    "leader": status.leader_address,
                    "term": status.term,
                    "role": status.role,
                    "committed": status.commit_index,
                },
            )
            previous = current
        await anyio.sleep(members.CHECK_INTERVAL_S)


async def _start_listeners(
    registry: Registry,
    group: anyio.abc.TaskGroup,
    closers: contextlib.ExitStack,
) -> None:
    """Opens the admin and the operator listener."""
    settings = registry.settings
    metrics = prometheus_client.CollectorRegistry()
    registry.loop.show(metrics)
    admin = plain_admin.build(metrics, registry.dump)
    listeners: list[tuple[address.Address, servings.Serving]] = [
        (settings.admin_address, callers.internal_serving(admin))
    ]
    if settings.operator is not None:
        interface = operator.OperatorInterface(
            registry.site,
            registry.replica,
            registry.hold_calls,
            settings.operator.port,
        )
        serving = callers.internal_serving(
            interface.handle, answers.max_document_bytes(settings.memory_mb)
        )
        listeners.append((settings.operator, serving))
    for listen_address, serving in listeners:
        registry.listeners.append(serving)
        await callers.open_listener(
            settings.bind_address(listen_address), serving, group, closers
        )
