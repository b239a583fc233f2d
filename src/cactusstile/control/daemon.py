"""The control role: replicas, delivery and the calls of all other roles."""

from __future__ import annotations

import contextlib
import logging
import typing

import anyio
import anyio.abc

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
      stop: Asks for a shutdown that hands leadership over first.
      on_ready: Called once the process listens.

    Raises:
      StorageError: Durable state is damaged or cannot be written.
      OSError: The address cannot be bound.
    """
    stop = stop or anyio.Event()
    async with open_control(settings) as state:
        if on_ready is not None:
            on_ready(state)
        await stop.wait()
        await hand_over(state)


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
        notices = sender.Sender(connections, group)
        state = await _open_state(settings, notices, stack)
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
        group.start_soon(_send_beacons, state)
        group.start_soon(_tick_claims, state)
        logger.info("control %s is ready", settings.process.name)
        yield state


def _build_admin(state: states.ControlState) -> starlette.routing.Router:
    """Returns the admin application; ready means that a leader is known."""

    def is_ready() -> bool:
        return all(
            found.status().leader_address for found in state.replicas.values()
        )

    return admin.build(
        [control_metrics.build(state)],
        is_ready,
        lambda: member_handlers.describe_process(state),
    )


async def _open_state(
    settings: control_settings.ControlSettings,
    notices: sender.Sender,
    stack: contextlib.AsyncExitStack,
) -> states.ControlState:
    root = relay.Relay(settings.process.name, redirects_leaves=True)
    machines: dict[str, interfaces.StateMachine] = {
        control_settings.CONFIGURATION_GROUP: _configuration(root),
        control_settings.CLAIMS_GROUP: claims.Claims(),
    }
    replicas = {}
    for name, machine in machines.items():
        settings.data_folder.mkdir(parents=True, exist_ok=True)
        own_address = str(settings.own_address)
        opened = replica.open_replica(
            settings.for_group(name),
            machine,
            notices.for_group(name, own_address),
        )
        replicas[name] = await stack.enter_async_context(opened)
    held = machines[control_settings.CONFIGURATION_GROUP]
    claimed = machines[control_settings.CLAIMS_GROUP]
    return states.ControlState(
        settings,
        typing.cast("configuration.Configuration", held),
        typing.cast("claims.Claims", claimed),
        replicas,
        root,
        notices,
    )


def _configuration(root: relay.Relay) -> configuration.Configuration:
    """Returns a configuration whose changes reach the delivery tree."""
    machine = configuration.Configuration()

    def observe(record: messages.ChangeRecord | None) -> None:
        if record is None:
            root.reset(machine.fleet, machine.digest)
            return
        change = configuration.feed_delta(record)
        root.publish(change, machine.fleet, machine.digest)

    machine.observer = observe
    return machine


async def hand_over(state: states.ControlState) -> None:
    """Gives leadership away, so that callers need not wait for its loss."""
    with anyio.move_on_after(TRANSFER_TIMEOUT_S):
        for name, found in state.replicas.items():
            if not found.is_leader:
                continue
            if not await found.transfer_leadership():
                logger.warning("no other replica took over %s", name)


async def _send_beacons(state: states.ControlState) -> None:
    """Proves again and again that a quorum stands behind this leader."""
    leading = state.configuration_replica
    count = 0
    while True:
        await anyio.sleep(BEACON_INTERVAL_S)
        if not leading.is_leader:
            continue
        try:
            await leading.read_barrier()
        except consensus_exceptions.ConsensusError:
            continue
        count += 1
        status = leading.status()
        number = (status.term << states.TERM_SHIFT) + count
        revision = state.configuration.fleet.revision
        state.relay.accept_beacon(number, revision)
        beacon = feed_messages.Beacon(number, revision)
        for entry in status.members:
            if entry.member.name != state.settings.process.name:
                state.sender.notify(entry.member.address, beacon)


async def _tick_claims(state: states.ControlState) -> None:
    """Tells the claims group how much time passed under this leader."""
    leading = state.claims_replica
    term, since_s = 0, 0.0
    while True:
        await anyio.sleep(CLAIM_TICK_INTERVAL_S)
        if not leading.is_leader or not len(state.claims):
            term = 0
            continue
        now_s = anyio.current_time()
        present = leading.status().term
        if present == term:
            elapsed_ms = round((now_s - since_s) * 1000)
            with contextlib.suppress(transport_exceptions.RemoteError):
                tick = claim_messages.ClaimTick(elapsed_ms)
                await states.propose(leading, tick)
        term, since_s = present, now_s
