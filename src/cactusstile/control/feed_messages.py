"""Messages of the tree that delivers configuration.

A call of `Subscribe` sends `messages.FeedDelta` and `FeedHeartbeat` items
until either side leaves.
"""

from __future__ import annotations

import attrs

from cactusstile.control import messages
from cactusstile.transport import codec


@codec.register(230, messages.SCHEMA, "Subscribe")
@attrs.frozen
class Subscribe:
    """Asks a parent for all changes after a revision.

    Attributes:
      name: Name of the subscriber, unique over the fleet.
      relay_address: Address where it serves children; empty if it does not.
      revision: Revision that it holds.
      relays_full: Whether the relays that the parent named had no room.
    """

    name: str
    relay_address: str
    revision: int
    relays_full: bool = False


@codec.register(231, messages.SCHEMA, "FeedHeartbeat")
@attrs.frozen
class FeedHeartbeat:
    """Says that the parent is alive and how fresh its knowledge is.

    Attributes:
      revision: Revision of the parent.
      beacon: Last beacon of the leader that reached the parent; it moves
        only while a quorum stands behind the leader.
    """

    revision: int
    beacon: int


@codec.register(232, messages.SCHEMA, "FeedReport")
@attrs.frozen
class FeedReport:
    """Notice from a subscriber to its parent about its whole subtree.

    Attributes:
      name: Name of the subscriber.
      revision: Revision of the subscriber.
      nodes: Processes in the subtree, itself included.
      agents: Agents among them.
      current: Processes that hold `revision` or a later one.
      missing: Names of some that do not.
      agent_names: Targets of the agents, if they changed.
      has_agent_names: Whether `agent_names` is told by this report.
    """

    name: str
    revision: int
    nodes: int
    agents: int
    current: int
    missing: tuple[str, ...] = ()
    agent_names: tuple[str, ...] = ()
    has_agent_names: bool = False


@codec.register(233, messages.SCHEMA, "ReadInForce")
@attrs.frozen
class ReadInForce:
    """Asks a control VM where a revision is in force; ends with `InForce`."""

    revision: int


@codec.register(234, messages.SCHEMA, "InForce")
@attrs.frozen
class InForce:
    """Sum over the processes below one control VM, itself included."""

    nodes: int
    agents: int
    current: int
    missing: tuple[str, ...] = ()


@codec.register(236, messages.SCHEMA, "ReadAgents")
@attrs.frozen
class ReadAgents:
    """Asks a control VM which agents follow; ends with `AgentNames`."""


@codec.register(237, messages.SCHEMA, "AgentNames")
@attrs.frozen
class AgentNames:
    """Targets of the agents below one control VM."""

    names: tuple[str, ...] = ()


@codec.register(235, messages.SCHEMA, "Beacon")
@attrs.frozen
class Beacon:
    """Notice of the leader, sent after a quorum confirmed its lead.

    Attributes:
      number: Grows with each beacon, over all leaders.
      revision: Revision in force when the quorum confirmed.
    """

    number: int
    revision: int
