"""Agent role: serves calls for one target."""

from __future__ import annotations

import contextlib
import logging
import math
import typing

import anyio
import anyio.abc
import attrs

from cactusstile import guards
from cactusstile.agent import admission
from cactusstile.agent import claims
from cactusstile.agent import dump
from cactusstile.agent import engine_agent
from cactusstile.agent import links as agent_links
from cactusstile.agent import messages
from cactusstile.agent import node
from cactusstile.agent import service_agent
from cactusstile.controllers import fencing
from cactusstile.controllers import leaving
from cactusstile.targets import http
from cactusstile.transport import exceptions
from cactusstile.transport import handshake
from cactusstile.transport import incoming
from cactusstile.transport import server

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.settings import agent as agent_settings
    from cactusstile.transport import address

logger = logging.getLogger(__name__)

INITIAL_TOKENS_PER_S = 5_000.0
INITIAL_CALLS_PER_S = 100.0
PREFILL_WINDOW_S = 0.1
FLUSH_DELAY_S = 0.3
DRAIN_ROLES = ("operator", "control")


@attrs.frozen
class Agent:
    """A running agent.

    Attributes:
      node: State of the agent.
      bound: Address of the listener.
      ready: Returns whether the agent accepts new work.
      dump: Returns the state for operators, without prompts and secrets.
    """

    node: node.Node
    bound: address.Address
    ready: collections.abc.Callable[[], bool]
    dump: collections.abc.Callable[[], dump.AgentState]

    async def drain(self, limit_s: float) -> bool:
        """Refuses new work and waits until accepted work has ended.

        Returns:
          Whether all accepted work ended within `limit_s` seconds.
        """
        self.node.stopping = True
        with anyio.move_on_after(limit_s):
            while self.node.busy:
                await self.node.idle.wait()
            # Allows the last answers to be sent before connections close.
            await anyio.sleep(FLUSH_DELAY_S)
            return True
        return False


@contextlib.asynccontextmanager
async def open_agent(
    settings: agent_settings.AgentSettings, links: agent_links.Links
) -> collections.abc.AsyncIterator[Agent]:
    """Runs an agent while the context is open.

    Raises:
      OSError: If the listen address cannot be bound.
    """
    common = settings.process
    identity = handshake.Identity("agent", common.name)
    agent = _build_node(settings, links, identity)
    async with contextlib.AsyncExitStack() as stack:
        target = await stack.enter_async_context(http.open_target(settings.url))
        group = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(group.cancel_scope.cancel)
        claimer = claims.Claimer(links.control, identity.incarnation, group)
        fence = fencing.Fence(links.control, settings.target)
        keep = guards.keep_running
        group.start_soon(keep, "fence", fencing.watch, agent, fence)
        group.start_soon(keep, "admission", agent.admission.expire)
        if settings.platform_url:
            group.start_soon(keep, "platform", _watch_platform, agent, settings)
        if settings.kind == "engine":
            served = engine_agent.start(
                settings, links, agent, target, claimer, fence, group
            )
        else:
            served = service_agent.start(agent, target, claimer, group)
        handlers = incoming.Handlers(
            calls={**served.calls, messages.Drain: _drain_handler(agent)}
        )
        listener = await stack.enter_async_context(
            server.open_server(
                common.listen, identity, common.secrets, handlers
            )
        )
        yield Agent(
            agent, listener.bound, served.ready, lambda: dump.describe(agent)
        )


def _build_node(
    settings: agent_settings.AgentSettings,
    links: agent_links.Links,
    identity: handshake.Identity,
) -> node.Node:
    is_engine = settings.kind == "engine"
    slots = admission.Admission(
        1 if is_engine else settings.service_slots,
        tokens_per_s=INITIAL_TOKENS_PER_S if is_engine else INITIAL_CALLS_PER_S,
        prefill_window_s=PREFILL_WINDOW_S if is_engine else math.inf,
    )
    return node.Node(
        settings.target, identity.incarnation, links.fleet_holder, slots
    )


async def _watch_platform(
    agent: node.Node, settings: agent_settings.AgentSettings
) -> None:
    async with http.open_target(settings.platform_url) as target:
        await leaving.watch_platform(agent, target, settings.vm)


def _drain_handler(agent: node.Node) -> incoming.CallHandler:
    async def drain(
        responder: incoming.Responder, request: messages.Drain
    ) -> messages.DrainReply:
        if responder.peer.role not in DRAIN_ROLES:
            raise exceptions.RemoteError(
                "forbidden", "only operators may drain a target"
            )
        return agent.drain(request)

    return drain
