"""State of a target as reported to operators.

A call of `ReadTargetState` ends with `TargetState`. Agents of engines, agents
of services, and stores serve it.
"""

from __future__ import annotations

import typing

import attrs

from cactusstile.transport import codec
from cactusstile.transport import exceptions
from cactusstile.transport import handshake

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.agent import node
    from cactusstile.transport import incoming

_SCHEMA = codec.load_schema(__file__, "status.capnp")


@codec.register(112, _SCHEMA, "ReadTargetState")
@attrs.frozen
class ReadTargetState:
    """Requests the state of a target; restricted to operators."""


@codec.register(0, _SCHEMA, "LinkState")
@attrs.frozen
class LinkState:
    """Use of one limited link by one agent.

    Attributes:
      one: First data centre in alphabetical order.
      other: Second data centre.
      sent_bytes: Bytes granted since the agent started.
      recent_bytes_per_s: Recent mean rate.
    """

    one: str
    other: str
    sent_bytes: int
    recent_bytes_per_s: int


@codec.register(113, _SCHEMA, "TargetState")
@attrs.frozen
class TargetState:
    """State of a target.

    Attributes:
      revision: Configuration revision in force at the reporting process.
      version: Weight version of an engine; empty if unknown or not an engine.
      ready: Whether the target accepts new work now.
      leaving: Whether the target is leaving or its process is stopping.
      running: Number of requests that hold a slot of the target.
      slots: Maximum number of concurrent requests at the target.
      queued: Number of requests in the queue.
      queued_tokens: Prompt tokens in the queue.
      blocks: Number of blocks in a store.
      memory_bytes: Bytes of blocks in a store's memory.
      memory_bound_bytes: Upper bound of `memory_bytes`.
      disk_bytes: Bytes of blocks on a store's disk.
      disk_bound_bytes: Upper bound of `disk_bytes`.
      links: Limited links that the agent has used.
    """

    revision: int = 0
    version: str = ""
    ready: bool = False
    leaving: bool = False
    running: int = 0
    slots: int = 0
    queued: int = 0
    queued_tokens: int = 0
    blocks: int = 0
    memory_bytes: int = 0
    memory_bound_bytes: int = 0
    disk_bytes: int = 0
    disk_bound_bytes: int = 0
    links: tuple[LinkState, ...] = ()


def describe(
    agent: node.Node,
    *,
    ready: bool,
    version: str = "",
    links: tuple[LinkState, ...] = (),
) -> TargetState:
    """Returns the state of an engine or service from its agent's state."""
    admission = agent.admission
    return TargetState(
        revision=agent.fleet.revision,
        version=version,
        ready=ready,
        leaving=agent.leaving or agent.stopping,
        running=admission.running,
        slots=admission.slots,
        queued=admission.queue.count,
        queued_tokens=admission.queue.tokens,
        links=links,
    )


def serve(
    describe_target: collections.abc.Callable[[], TargetState],
) -> incoming.CallHandler:
    """Returns a handler of `ReadTargetState` calls."""

    async def read(
        responder: incoming.Responder,
        _: ReadTargetState,
    ) -> TargetState:
        if responder.peer.role != handshake.OPERATOR_ROLE:
            raise exceptions.RemoteError(
                "forbidden", "only operators may read a target's state"
            )
        return describe_target()

    return read
