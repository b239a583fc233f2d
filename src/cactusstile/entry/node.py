"""What an entry process holds besides its callers: connections and fleet."""

from __future__ import annotations

import contextlib
import typing

import anyio

from cactusstile.control import client
from cactusstile.control import feed_messages
from cactusstile.entry import daemon
from cactusstile.state import holder
from cactusstile.state import keys
from cactusstile.state import relay
from cactusstile.state import subscription
from cactusstile.transport import handshake
from cactusstile.transport import incoming
from cactusstile.transport import pool
from cactusstile.transport import server

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.settings import entry as entry_settings


@contextlib.asynccontextmanager
async def open_node(
    settings: entry_settings.EntrySettings,
) -> collections.abc.AsyncIterator[daemon.Parts]:
    """Follows the configuration and passes it on to agents.

    Raises:
      OSError: If the address for the system's processes cannot be bound.
    """
    process = settings.process
    identity = handshake.Identity("entry", process.name)
    fleet = holder.FleetHolder()
    ring = keys.KeyRing()
    fleet.observe(lambda _, new: ring.load(new))
    own = relay.Relay(process.name)
    handlers = incoming.Handlers(
        calls={feed_messages.Subscribe: own.serve},
        notices={feed_messages.FeedReport: own.take_report},
    )
    async with contextlib.AsyncExitStack() as stack:
        listener = await stack.enter_async_context(
            server.open_server(
                process.listen, identity, process.secrets, handlers
            )
        )
        peers = await stack.enter_async_context(
            pool.open_pool(identity, process.secrets)
        )
        control = client.ControlClient(peers, process.control)
        subscriber = subscription.Subscriber(
            fleet, own, peers, control, listener.bound
        )
        group = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(group.cancel_scope.cancel)
        group.start_soon(subscriber.run)
        yield daemon.Parts(fleet, peers, ring.find_workspace)
