"""Daemon of the control role: replicas, delivery tree and call handlers."""

from __future__ import annotations

import contextlib
import logging
import typing

import anyio
import anyio.abc

from cactusstile import guards
from cactusstile.consensus import exceptions as consensus_exceptions
from cactusstile.consensus import interfaces
from cactusstile.consensus import replica
from cactusstile.control import claim_messages
from cactusstile.control import claims
from cactusstile.control import configuration
from cactusstile.control import feed_messages
from cactusstile.control import handlers
from cactusstile.control import member_handlers
from cactusstile.control import messages
from cactusstile.control import sender
from cactusstile.control import settings as control_settings
from cactusstile.control import state as states
from cactusstile.observability import admin
from cactusstile.observability import control_metrics
from cactusstile.observability import http_listener
from cactusstile.state import relay
from cactusstile.transport import exceptions as transport_exceptions
from cactusstile.transport import handshake
from cactusstile.transport import pool
from cactusstile.transport import server

if typing.TYPE_CHECKING:
    import collections.abc

    import starlette.routing

logger = logging.getLogger(__name__)

BEACON_INTERVAL_S = 0.5
CLAIM_TICK_INTERVAL_S = 10.0
TRANSFER_TIMEOUT_S = 3.0


async def run_control(
    settings: control_settings.ControlSettings,
    stop: anyio.Event | None = None,
    *,
    on_ready: collections.abc.Callable[[states.ControlState], None]
    | None = None,
) -> None:
    """Runs a control process until `stop` is set or it is cancelled.

    Args:
      settings: Settings of the process.
      stop: Event that requests a shutdown, after a leadership transfer.
      on_ready: Called once the process listens.

    Raises:
      StorageError: Durable state is damaged or cannot be written.
      OSError: An address cannot be bound.
    """
    stop = stop or anyio.Event()
    async with open_control(settings) as state:
        if on_ready is not None:
            on_ready(state)
        await stop.wait()
        await transfer_leadership(state)


@contextlib.asynccontextmanager
async def open_control(
    settings: control_settings.ControlSettings,
) -> collections.abc.AsyncIterator[states.ControlState]:
    """Opens a control process; leaving the context closes it."""
    identity = handshake.Identity("control", settings.process.name)
    secrets = settings.process.secrets
    async with contextlib.AsyncExitStack() as stack:
        group = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(group.cancel_scope.cancel)
        connections = await stack.enter_async_context(
            pool.open_pool(identity, secrets)
        )
        notice_sender = sender.Sender(connections, group)
        state = await _open_state(settings, notice_sender, stack)
        await stack.enter_async_context(
            server.open_server(
                settings.process.listen,
                identity,
                secrets,
                handlers.build(state),
            )
        )
        await stack.enter_async_context(
            http_listener.open_listener(
                _build_admin(state), settings.process.admin_listen
            )
        )
        keep = guards.keep_running
        group.start_soon(keep, "beacons", _send_beacons, state)
        group.start_soon(keep, "claims", _tick_claims, state)
        logger.info("control %s is ready", settings.process.name)
        yield state


def _build_admin(state: states.ControlState) -> starlette.routing.Router:
    """Returns the admin application.

    The process is ready when each of its replicas has a leader.
    """

    def is_ready() -> bool:
        return all(
            group_replica.status().leader_address
            for group_replica in state.replicas.values()
        )

    return admin.build(
        [control_metrics.build(state)],
        is_ready,
        lambda: member_handlers.describe_process(state),
    )


async def _open_state(
    settings: control_settings.ControlSettings,
    notice_sender: sender.Sender,
    stack: contextlib.AsyncExitStack,
) -> states.ControlState:
    root_relay = relay.Relay(settings.process.name, redirects_leaves=True)
    machines: dict[str, interfaces.StateMachine] = {
        control_settings.CONFIGURATION_GROUP: _build_configuration(root_relay),
        control_settings.CLAIMS_GROUP: claims.Claims(),
    }
    replicas = {}
    try:
        settings.data_folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise consensus_exceptions.StorageUnavailableError(
            f"the data folder could not be made ({error}); check its disk and"
            " permissions"
        ) from error
    for name, machine in machines.items():
        own_address = str(settings.own_address)
        replica_context = replica.open_replica(
            settings.for_group(name),
            machine,
            notice_sender.for_group(name, own_address),
        )
        replicas[name] = await stack.enter_async_context(replica_context)
    configuration_machine = machines[control_settings.CONFIGURATION_GROUP]
    claims_machine = machines[control_settings.CLAIMS_GROUP]
    return states.ControlState(
        settings,
        typing.cast("configuration.Configuration", configuration_machine),
        typing.cast("claims.Claims", claims_machine),
        replicas,
        root_relay,
        notice_sender,
    )


def _build_configuration(
    root_relay: relay.Relay,
) -> configuration.Configuration:
    """Returns a state machine that publishes changes to the delivery tree."""
    machine = configuration.Configuration()

    def observe(record: messages.ChangeRecord | None) -> None:
        if record is None:
            root_relay.reset(machine.fleet, machine.digest)
            return
        change = configuration.feed_delta(record)
        root_relay.publish(change, machine.fleet, machine.digest)

    machine.observer = observe
    return machine


async def transfer_leadership(state: states.ControlState) -> None:
    """Transfers the leadership of all groups that this process leads.

    Without a transfer callers would wait for an election timeout.
    """
    with anyio.move_on_after(TRANSFER_TIMEOUT_S):
        for name, group_replica in state.replicas.items():
            if not group_replica.is_leader:
                continue
            has_successor = False
            with contextlib.suppress(
                consensus_exceptions.MembershipError,
                consensus_exceptions.NotLeaderError,
            ):
                has_successor = await group_replica.transfer_leadership()
            if not has_successor:
                logger.warning(
                    "no other replica became leader of group %s", name
                )


async def _send_beacons(state: states.ControlState) -> None:
    """Sends a beacon at each interval in which a quorum confirms this leader.

    A growing beacon number shows nodes that their configuration is current.
    """
    group_replica = state.configuration_replica
    count = 0
    while True:
        await anyio.sleep(BEACON_INTERVAL_S)
        if not group_replica.is_leader:
            continue
        try:
            await group_replica.read_barrier()
        except consensus_exceptions.ConsensusError:
            continue
        count += 1
        status = group_replica.status()
        number = (status.term << states.TERM_SHIFT_BITS) + count
        revision = state.configuration.fleet.revision
        state.relay.accept_beacon(number, revision)
        beacon = feed_messages.Beacon(number, revision)
        for entry in status.members:
            if entry.member.name != state.settings.process.name:
                state.sender.notify(entry.member.address, beacon)


async def _tick_claims(state: states.ControlState) -> None:
    """Commits the time that elapsed under this leader to the claims group.

    The claims group measures the age of claims in this time.
    """
    group_replica = state.claims_replica
    term, since_s = 0, 0.0
    while True:
        await anyio.sleep(CLAIM_TICK_INTERVAL_S)
        if not group_replica.is_leader or not len(state.claims):
            term = 0
            continue
        now_s = anyio.current_time()
        current_term = group_replica.status().term
        if current_term == term:
            elapsed_ms = round((now_s - since_s) * 1000)
            with contextlib.suppress(transport_exceptions.RemoteError):
                tick = claim_messages.ClaimTick(elapsed_ms)
                await states.propose(group_replica, tick)
        term, since_s = current_term, now_s
