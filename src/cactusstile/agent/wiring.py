"""Assembly of agents and stores that run as separate processes."""

from __future__ import annotations

import contextlib
import pathlib
import typing

import attrs
import prometheus_client

from cactusstile.agent import daemon
from cactusstile.agent import links as agent_links
from cactusstile.observability import admin
from cactusstile.observability import http_listener
from cactusstile.state import follower
from cactusstile.store import block_store
from cactusstile.store import daemon as store_daemon
from cactusstile.store import messages as store_messages
from cactusstile.transport import handshake
from cactusstile.transport import pool

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.settings import agent as agent_settings
    from cactusstile.state import model


@contextlib.asynccontextmanager
async def open_process(
    settings: agent_settings.AgentSettings,
    dial: pool.Dial = pool.dial_tcp,
) -> collections.abc.AsyncIterator[daemon.Agent]:
    """Runs an agent that follows the fleet, with its admin listener.

    Args:
      settings: Settings of the agent.
      dial: Opens byte streams to other processes.

    Raises:
      OSError: If an address cannot be bound.
    """
    identity = handshake.Identity("agent", settings.process.name)
    async with contextlib.AsyncExitStack() as stack:
        fleet_follower = await stack.enter_async_context(
            follower.open_follower(
                settings.process, identity, target=settings.target, dial=dial
            )
        )
        links = agent_links.Links(
            fleet_follower.control,
            fleet_follower.peers,
            fleet_follower.fleet_holder,
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


@attrs.frozen
class StoreState:
    """State of a store process for the dump.

    Attributes:
      blocks: Number of blocks in the store.
      follower: State of the store's fleet follower.
    """

    blocks: int
    follower: follower.FollowerState


@contextlib.asynccontextmanager
async def open_store_process(
    settings: agent_settings.AgentSettings,
) -> collections.abc.AsyncIterator[store_daemon.Store]:
    """Runs a store that follows the fleet, with its admin listener.

    The blocks of a workspace that is removed from the fleet are freed.

    Raises:
      OSError: If an address or the data folder cannot be used.
    """
    common = settings.process
    identity = handshake.Identity("agent", common.name)
    async with contextlib.AsyncExitStack() as stack:
        fleet_follower = await stack.enter_async_context(
            follower.open_follower(common, identity, target=settings.target)
        )
        store = await stack.enter_async_context(
            store_daemon.open_store(
                _store_settings(settings),
                lambda: fleet_follower.fleet_holder.fleet.revision,
            )
        )
        fleet_follower.fleet_holder.observe(_free_removed_workspaces(store))
        application = admin.build(
            [prometheus_client.REGISTRY],
            fleet_follower.fleet_holder.confirmed.is_set,
            lambda: StoreState(
                len(store.stored.records), follower.dump(fleet_follower)
            ),
        )
        await stack.enter_async_context(
            http_listener.open_listener(application, common.admin_listen)
        )
        yield store


def _store_settings(
    settings: agent_settings.AgentSettings,
) -> store_daemon.Settings:
    return store_daemon.Settings(
        settings.target,
        settings.process.listen,
        settings.process.secrets,
        pathlib.Path(settings.data_folder),
        block_store.Bounds(settings.memory_bytes, settings.disk_bytes),
    )


def _free_removed_workspaces(
    store: store_daemon.Store,
) -> collections.abc.Callable[[model.Fleet, model.Fleet], None]:
    def free(old: model.Fleet, new: model.Fleet) -> None:
        for name in old.workspaces.keys() - new.workspaces.keys():
            store_daemon.free_matching(store.stored, store_messages.Free(name))

    return free
