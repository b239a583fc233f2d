"""Dump of an agent's state for operators, without prompts and secrets."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from cactusstile.agent import node


@attrs.frozen
class AgentState:
    """State of an agent.

    Attributes:
      target: Name of the agent's target.
      revision: Configuration revision in force at the agent.
      confirmed: Whether a quorum has confirmed it since the process started.
      drained: Whether an operator has drained the target.
      platform_leaving: Whether the platform lists the VM as leaving.
      stopping: Whether this process is shutting down.
      busy: Number of requests that are queued or running.
      running: Number of requests that hold a slot of the target.
      slots: Maximum number of concurrent requests at the target.
      queued: Number of requests in the queue.
      queued_tokens: Prompt tokens in the queue.
      tokens_per_s: Measured prefill speed.
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


def describe(agent: node.Node) -> AgentState:
    """Returns the state of an agent."""
    queue = agent.admission.queue
    return AgentState(
        target=agent.target,
        revision=agent.fleet.revision,
        confirmed=agent.fleet_holder.confirmed.is_set(),
        drained=agent.drained,
        platform_leaving=agent.platform_leaving,
        stopping=agent.stopping,
        busy=agent.busy,
        running=agent.admission.running,
        slots=agent.admission.slots,
        queued=queue.count,
        queued_tokens=queue.tokens,
        tokens_per_s=round(queue.tokens_per_s, 1),
    )
