"""Messages of the delivery tree, which distributes the configuration.

A `Subscribe` call streams `messages.FeedDelta` and `FeedHeartbeat` items until
either side closes it.
"""

from __future__ import annotations

import attrs

from cactusstile.control import messages
from cactusstile.transport import codec


@codec.register(230, messages.SCHEMA, "Subscribe")
@attrs.frozen
class Subscribe:
    """Subscribes to all changes after a revision.

    Attributes:
      name: Name of the subscriber, unique within the fleet.
      relay_address: Address at which the subscriber serves children; empty if
        it serves none.
      revision: Revision that the subscriber holds.
      relays_full: Whether the relays to which the parent redirected the
        subscriber had no capacity.
    """

    name: str
    relay_address: str
    revision: int
    relays_full: bool = False


@codec.register(231, messages.SCHEMA, "FeedHeartbeat")
@attrs.frozen
class FeedHeartbeat:
    """Reports that the parent is alive and how current its revision is.

    Attributes:
      revision: Revision of the parent.
      beacon: Number of the last beacon of the leader that reached the parent;
        it grows only while a quorum confirms the leader.
    """

    revision: int
    beacon: int


@codec.register(232, messages.SCHEMA, "FeedReport")
@attrs.frozen
class FeedReport:
    """Notice from a subscriber to its parent about the subscriber's subtree.

    Attributes:
      name: Name of the subscriber.
      revision: Revision of the subscriber.
      nodes: Number of processes in the subtree, including the subscriber.
      agents: Number of agents in the subtree.
      current: Number of processes that hold `revision` or a later one.
      missing: Names of some processes that do not hold it.
      agent_names: Targets of the agents, if they changed.
      has_agent_names: Whether this report contains `agent_names`.
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
    """Reads where a revision is in force; the reply is `InForce`."""

    revision: int


@codec.register(234, messages.SCHEMA, "InForce")
@attrs.frozen
class InForce:
    """Coverage of a revision over one control VM and the processes below it.

    Attributes:
      nodes: Number of processes, including the control VM.
      agents: Number of agents.
      current: Number of processes that hold the revision or a later one.
      missing: Names of some processes that do not hold it.
    """

    nodes: int
    agents: int
    current: int
    missing: tuple[str, ...] = ()


@codec.register(236, messages.SCHEMA, "ReadAgents")
@attrs.frozen
class ReadAgents:
    """Reads the agents below a control VM; the reply is `AgentNames`."""


@codec.register(237, messages.SCHEMA, "AgentNames")
@attrs.frozen
class AgentNames:
    """Targets of the agents below one control VM."""

    names: tuple[str, ...] = ()


@codec.register(235, messages.SCHEMA, "Beacon")
@attrs.frozen
class Beacon:
    """Notice of the leader, sent after a quorum confirmed its leadership.

    Attributes:
      number: Grows with each beacon, also across leaders.
      revision: Revision in force when the quorum confirmed the leader.
    """

    number: int
    revision: int
