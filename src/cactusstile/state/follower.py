"""Components by which an entry, agent or store process follows the fleet."""

from __future__ import annotations

import contextlib
import typing

import anyio
import attrs

from cactusstile import guards
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
    """Components of a process that follows the fleet.

    Attributes:
      fleet_holder: Fleet in force in this process.
      peers: Connections to other processes.
      control: Client of the control processes.
      own_relay: Relay of this process.
      subscriber: Subscription to a parent in the delivery tree.
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
      revision: Revision in force in this process.
      confirmed: Whether a quorum has confirmed a revision since the start.
      parent: Address of the parent in the delivery tree; empty if there is
        none.
      parent_changes: Number of parents so far.
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
      identity: Identity of the process in handshakes.
      serves_children: Whether to listen for children, as entries do.
      target: Name of the target that the process manages; may be empty.
      dial: Opens byte streams to other processes.

    Raises:
      OSError: If the listening address cannot be bound.
    """
    is_agent = identity.role == "agent"
    own_relay = relay.Relay(identity.name, is_agent=is_agent, target=target)
    fleet_holder = holder.FleetHolder()
    async with contextlib.AsyncExitStack() as stack:
        relay_address = None
        if serves_children:
            relay_address = await _listen(settings, identity, own_relay, stack)
        peers = await stack.enter_async_context(
            pool.open_pool(identity, settings.secrets, dial=dial)
        )
        control = client.ControlClient(peers, settings.control)
        subscriber = subscription.Subscriber(
            fleet_holder, own_relay, peers, control, relay_address
        )
        group = await stack.enter_async_context(anyio.create_task_group())
        keep = guards.keep_running
        group.start_soon(keep, "configuration", subscriber.run)
        group.start_soon(keep, "control", control.probe_while_open)
        stack.callback(group.cancel_scope.cancel)
        yield Follower(fleet_holder, peers, control, own_relay, subscriber)


async def _listen(
    settings: process.ProcessSettings,
    identity: handshake.Identity,
    own_relay: relay.Relay,
    stack: contextlib.AsyncExitStack,
) -> address.Address:
    """Listens for children until `stack` closes; returns the address."""
    handlers = incoming.Handlers(
        calls={feed_messages.Subscribe: own_relay.serve},
        notices={feed_messages.FeedReport: own_relay.accept_report},
    )
    opened = await stack.enter_async_context(
        server.open_server(
            settings.listen, identity, settings.secrets, handlers
        )
    )
    return opened.bound
