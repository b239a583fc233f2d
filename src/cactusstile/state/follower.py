"""What every entry, agent and store process keeps up to date of the fleet."""

from __future__ import annotations

import contextlib
import typing

import anyio
import attrs

from cactusstile.control import client
from cactusstile.control import feed_messages
from cactusstile.state import holder
from cactusstile.state import relay
from cactusstile.state import subscription
from cactusstile.transport import handshake
from cactusstile.transport import incoming
from cactusstile.transport import pool
from cactusstile.transport import server

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.settings import process
    from cactusstile.transport import address


@attrs.frozen
class Follower:
    """A process's view of the fleet.

    Attributes:
      fleet_holder: The fleet in force here.
      peers: Connections to other processes.
      control: Client of the control processes.
      own: Relay of this process.
      subscriber: Child's side of the delivery tree.
    """

    fleet_holder: holder.FleetHolder
    peers: pool.Pool
    control: client.ControlClient
    own_relay: relay.Relay
    subscriber: subscription.Subscriber


@attrs.frozen
class FollowerState:
    """State of a follower for the dump.

    Attributes:
      revision: Revision in force here.
      confirmed: Whether a quorum confirmed it since the start.
      parent: Address of the parent in the delivery tree; empty without one.
      parent_changes: Parents taken so far.
      children: Names of the children in the delivery tree.
    """

    revision: int
    confirmed: bool
    parent: str
    parent_changes: int
    children: list[str]


def dump(follower: Follower) -> FollowerState:
    """Returns the state of `follower` for operators."""
    return FollowerState(
        follower.fleet_holder.fleet.revision,
        follower.fleet_holder.confirmed.is_set(),
        str(follower.subscriber.parent or ""),
        follower.subscriber.changes,
        follower.own_relay.children(),
    )


@contextlib.asynccontextmanager
async def open_follower(
    settings: process.ProcessSettings,
    identity: handshake.Identity,
    *,
    serves_children: bool = False,
    target: str = "",
    dial: pool.Dial = pool.dial_tcp,
) -> collections.abc.AsyncIterator[Follower]:
    """Follows the fleet until the context is left.

    Args:
      settings: Settings of the process.
      identity: Identity that it presents.
      serves_children: Whether it listens for children, as entries do.
      target: Name of the target that the process stands beside, if any.
      dial: Opens byte streams to other processes.

    Raises:
      OSError: If the address for children cannot be bound.
    """
    is_agent = identity.role == "agent"
    own = relay.Relay(identity.name, is_agent=is_agent, target=target)
    held = holder.FleetHolder()
    async with contextlib.AsyncExitStack() as stack:
        relay_address = None
        if serves_children:
            relay_address = await _open_relay(settings, identity, own, stack)
        peers = await stack.enter_async_context(
            pool.open_pool(identity, settings.secrets, dial=dial)
        )
        control = client.ControlClient(peers, settings.control)
        subscriber = subscription.Subscriber(
            held, own, peers, control, relay_address
        )
        group = await stack.enter_async_context(anyio.create_task_group())
        group.start_soon(subscriber.run)
        group.start_soon(control.watch_circuit)
        stack.callback(group.cancel_scope.cancel)
        yield Follower(held, peers, control, own, subscriber)


async def _open_relay(
    settings: process.ProcessSettings,
    identity: handshake.Identity,
    own: relay.Relay,
    stack: contextlib.AsyncExitStack,
) -> address.Address:
    """Listens for children until `stack` closes; returns the address."""
    handlers = incoming.Handlers(
        calls={feed_messages.Subscribe: own.serve},
        notices={feed_messages.FeedReport: own.accept_report},
    )
    opened = await stack.enter_async_context(
        server.open_server(
            settings.listen, identity, settings.secrets, handlers
        )
    )
    return opened.bound
