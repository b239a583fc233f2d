"""Components of an agent for a model engine."""

from __future__ import annotations

import typing

from cactusstile import guards
from cactusstile.agent import engine_runs
from cactusstile.agent import gate
from cactusstile.agent import kept_exports
from cactusstile.agent import kept_imports
from cactusstile.agent import kept_parts
from cactusstile.agent import messages
from cactusstile.agent import node
from cactusstile.agent import probes
from cactusstile.agent import prompt_run
from cactusstile.agent import status
from cactusstile.controllers import desired
from cactusstile.controllers import orders
from cactusstile.controllers import rollout
from cactusstile.targets import engine
from cactusstile.targets import exceptions
from cactusstile.targets import http
from cactusstile.targets import openai_dialect
from cactusstile.targets import weight_store
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    import anyio.abc

    from cactusstile.agent import claims
    from cactusstile.agent import links as agent_links
    from cactusstile.controllers import fencing
    from cactusstile.settings import agent as agent_settings
    from cactusstile.state import model
    from cactusstile.transport import incoming

PEER_TIMEOUT_S = 1.0


def start(  # noqa: PLR0917
    settings: agent_settings.AgentSettings,
    links: agent_links.Links,
    agent: node.Node,
    target: http.HttpTarget,
    claimer: claims.Claimer,
    fence: fencing.Fence,
    group: anyio.abc.TaskGroup,
) -> node.ServedCalls:
    """Starts the engine's controller and exports; returns call handlers."""
    client = engine.EngineClient(target, openai_dialect.DIALECT)
    version_gate = gate.VersionGate()
    parts = prompt_run.Parts(agent, client, version_gate, claimer)
    transfers = kept_parts.build(
        agent, client, version_gate, links.peers, settings.process.data_centre
    )
    exporter = kept_exports.Exporter(transfers)
    group.start_soon(guards.keep_running, "exports", exporter.run)
    running = engine_runs.EngineRuns(
        parts,
        group,
        engine_runs.BlockTransfers(kept_imports.Importer(transfers), exporter),
    )
    controller = _build_controller(settings, links, parts, fence)
    group.start_soon(guards.keep_running, "orders", controller.run)

    def is_ready() -> bool:
        return agent.accepts_work and version_gate.is_open

    calls: dict[type, incoming.CallHandler] = {
        messages.Probe: probes.ProbeHandler(parts).probe,
        messages.Run: running.run,
        messages.Attach: running.attach,
        status.ReadTargetState: status.serve(
            lambda: _describe(transfers, ready=is_ready())
        ),
    }
    return node.ServedCalls(calls, is_ready)


def _build_controller(
    settings: agent_settings.AgentSettings,
    links: agent_links.Links,
    parts: prompt_run.Parts,
    fence: fencing.Fence,
) -> orders.EngineController:
    return orders.EngineController(
        parts.node,
        parts.client,
        parts.gate,
        fence,
        wait_turn=_build_turn_waiter(settings, links, parts.node),
        timing=orders.Timing(expected_load_s=settings.expected_load_s),
    )


def _describe(
    transfers: kept_parts.TransferParts, *, ready: bool
) -> status.TargetState:
    links = tuple(
        status.LinkState(
            one, other, bucket.sent_bytes, round(bucket.recent_bytes_per_s())
        )
        for (one, other), bucket in sorted(transfers.links.buckets.items())
    )
    engine_status = transfers.gate.status
    version = engine_status.version if engine_status is not None else ""
    return status.describe(
        transfers.node, ready=ready, version=version, links=links
    )


def _build_turn_waiter(
    settings: agent_settings.AgentSettings,
    links: agent_links.Links,
    agent: node.Node,
) -> orders.WaitTurn:
    """Returns a function that waits until this target may load weights."""

    async def wait(desired_state: desired.DesiredState) -> None:
        names = [
            peer.name
            for peer in agent.fleet.targets_of(desired_state.deployment)
        ]
        earlier_targets = rollout.predecessors(
            names, agent.target, desired_state.max_concurrent_loads
        )

        async def is_next() -> bool:
            return await rollout.is_turn(
                earlier_targets,
                desired_state.version,
                lambda name: _read_version(links, agent.fleet, name),
            )

        await rollout.wait_turn(
            is_next, lambda: _has_free_transfer(settings.weight_store_url)
        )

    return wait


async def _read_version(
    links: agent_links.Links, fleet: model.Fleet, name: str
) -> str | None:
    """Returns the version that another target runs; None if unknown."""
    peer = fleet.targets[name]
    probe_message = messages.Probe("", peer.serves, "", (), 0, 0)
    try:
        reply = await links.peers.call(
            peer.agent, probe_message, timeout_s=PEER_TIMEOUT_S
        )
    except (transport_exceptions.TransportError, TimeoutError):
        return None
    if not isinstance(reply, messages.ProbeReply):
        return None
    # The version is empty if the agent cannot reach its engine.
    return reply.version or None


async def _has_free_transfer(weight_store_url: str) -> bool:
    """Returns whether the weight store can accept another transfer."""
    if not weight_store_url:
        return True
    async with http.open_target(weight_store_url) as store:
        try:
            limits = await weight_store.read_limits(store)
        except exceptions.TargetError:
            return False
    return limits.active < limits.max_transfers
