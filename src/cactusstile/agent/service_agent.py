"""Components of an agent for a plain service."""

from __future__ import annotations

import typing

from cactusstile.agent import messages
from cactusstile.agent import node
from cactusstile.agent import service_calls
from cactusstile.agent import status

if typing.TYPE_CHECKING:
    import anyio.abc

    from cactusstile.agent import claims
    from cactusstile.targets import http
    from cactusstile.transport import incoming


def start(
    agent: node.Node,
    target: http.HttpTarget,
    claimer: claims.Claimer,
    group: anyio.abc.TaskGroup,
) -> node.ServedCalls:
    """Returns the call handlers of a plain service."""
    calls = service_calls.ServiceCalls(agent, target, claimer, group)

    async def probe(
        _: incoming.Responder, request: messages.Probe
    ) -> messages.ProbeReply:
        declared = agent.fleet.workspaces.get(request.workspace)
        share = declared.share if declared is not None else 1.0
        return messages.ProbeReply(
            agent.fleet.revision,
            "",
            0,
            0,
            agent.admission.running,
            agent.admission.slots,
            round(agent.admission.wait_s(request.workspace, share) * 1000),
            0,
            leaving=not agent.accepts_work,
        )

    def describe() -> status.TargetState:
        return status.describe(agent, ready=agent.accepts_work)

    handlers: dict[type, incoming.CallHandler] = {
        messages.ServiceCall: calls.call,
        messages.Probe: probe,
        status.ReadTargetState: status.serve(describe),
    }
    return node.ServedCalls(handlers, lambda: agent.accepts_work)
