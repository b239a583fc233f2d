"""State of an agent for operators, without prompts and secrets."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from cactusstile.agent import node


@attrs.frozen
class AgentState:
    """State of an agent.

    Attributes:
      target: Name of the target beside it.
      revision: Configuration revision in force here.
      confirmed: Whether a quorum confirmed it since the start.
      drained: Whether an operator told the target to leave.
      platform_leaving: Whether the platform lists the VM as leaving.
      stopping: Whether this process shuts down.
      busy: Requests that are queued or under way.
      running: Requests at the target.
      slots: Requests that the target takes at once.
      queued: Requests in the queue.
      queued_tokens: Prompt tokens in the queue.
      tokens_per_s: Measured speed of prompt work.
    """

    target: str
    revision: int
    confirmed: bool
    drained: bool
    platform_leaving: bool
    stopping: bool
    busy: int
    running: int
    slots: int
    queued: int
    queued_tokens: int
    tokens_per_s: float


def describe(owner: node.Node) -> AgentState:
    """Returns the state of an agent."""
    queue = owner.admission.queue
    return AgentState(
        target=owner.target,
        revision=owner.fleet.revision,
        confirmed=owner.fleet_holder.confirmed.is_set(),
        drained=owner.drained,
        platform_leaving=owner.platform_leaving,
        stopping=owner.stopping,
        busy=owner.busy,
        running=owner.admission.running,
        slots=owner.admission.slots,
        queued=queue.count,
        queued_tokens=queue.tokens,
        tokens_per_s=round(queue.tokens_per_s, 1),
    )
