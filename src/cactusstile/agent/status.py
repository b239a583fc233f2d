"""What the process beside a target tells operators of it.

A call of `ReadTargetState` ends with `TargetState`. Agents of engines and
services answer it, and stores.
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
    """Asks for the state of a target; operators only."""


@codec.register(0, _SCHEMA, "LinkState")
@attrs.frozen
class LinkState:
    """Use of one limited link by one agent.

    Attributes:
      one: A data centre.
      other: The other one; the pair is in alphabetical order.
      sent_bytes: Bytes granted since the agent started.
      recent_bytes_per_s: Mean rate of late.
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
      revision: Configuration revision in force at the process beside it.
      version: Weight version of an engine; empty if unknown, or without one.
      ready: Whether new work is taken now.
      leaving: Whether it takes no new work for good.
      running: Requests at the target.
      slots: Requests that it takes at once.
      queued: Requests in the queue.
      queued_tokens: Prompt tokens in the queue.
      blocks: Blocks that a store keeps.
      memory_bytes: Content in a store's memory.
      memory_bound_bytes: Bound on it.
      disk_bytes: Content on a store's disk.
      disk_bound_bytes: Bound on it.
      links: Limited links that it has used.
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
    owner: node.Node,
    *,
    ready: bool,
    version: str = "",
    links: tuple[LinkState, ...] = (),
) -> TargetState:
    """Returns the state of an engine or service from its agent's."""
    admission = owner.admission
    return TargetState(
        revision=owner.fleet.revision,
        version=version,
        ready=ready,
        leaving=owner.leaving or owner.stopping,
        running=admission.running,
        slots=admission.slots,
        queued=admission.queue.count,
        queued_tokens=admission.queue.tokens,
        links=links,
    )


def serve(
    describe_target: collections.abc.Callable[[], TargetState],
) -> incoming.CallHandler:
    """Returns the handler of `ReadTargetState`."""

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
