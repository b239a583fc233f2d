"""Opens an agent that runs as a process of its own."""

from __future__ import annotations

import contextlib
import typing

import prometheus_client

from cactusstile.agent import daemon
from cactusstile.observability import admin
from cactusstile.observability import http_listener
from cactusstile.state import follower
from cactusstile.transport import handshake

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.settings import agent as agent_settings


@contextlib.asynccontextmanager
async def open_process(
    settings: agent_settings.AgentSettings,
) -> collections.abc.AsyncIterator[daemon.Agent]:
    """Runs an agent that follows the fleet, with its admin listener.

    Raises:
      OSError: If one of its addresses cannot be bound.
    """
    identity = handshake.Identity("agent", settings.process.name)
    async with contextlib.AsyncExitStack() as stack:
        following = await stack.enter_async_context(
            follower.open_follower(settings.process, identity)
        )
        links = daemon.Links(
            following.control, following.peers, following.fleet_holder
        )
        running = await stack.enter_async_context(
            daemon.open_agent(settings, links)
        )
        application = admin.build(
            [prometheus_client.REGISTRY], running.ready, running.dump
        )
        await stack.enter_async_context(
            http_listener.open_listener(
                application, settings.process.admin_listen
            )
        )
        yield running
