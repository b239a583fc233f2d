"""Command `drain`: lets a target finish its work and accept no more."""

from __future__ import annotations

import anyio

from cactusstile.agent import messages
from cactusstile.console import exceptions
from cactusstile.console import operator
from cactusstile.control import operations
from cactusstile.transport import address
from cactusstile.transport import exceptions as transport_exceptions

CALL_TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.5


def run(
    target: str,
    *,
    undo: bool = False,
    wait_s: float = 0.0,
    settings: str = operator.DEFAULT_SETTINGS,
) -> None:
    """Lets TARGET finish its work and accept no more.

    The drain ends when the agent restarts; remove the target from the fleet
    file, or let the platform list its VM as leaving, to make it permanent.

    Args:
      target: Name of the target in the fleet.
      undo: Whether to cancel a drain.
      wait_s: Seconds to wait for accepted work to end; 0 does not wait.
      settings: Path of the operator's settings.
    """

    async def drain(opened: operations.OperatorSession) -> messages.DrainReply:
        fleet = await opened.control.read_fleet()
        declared = fleet.targets.get(str(target))
        if declared is None:
            raise exceptions.CommandError(
                f"the fleet has no target {target!r}; see `cactusstile status`"
            )
        deadline_s = anyio.current_time() + wait_s
        while True:
            reply = await _call(opened, declared.agent, leaving=not undo)
            timed_out = anyio.current_time() >= deadline_s
            if undo or timed_out or not reply.running:
                return reply
            await anyio.sleep(POLL_INTERVAL_S)

    _report(target, operator.run(settings, drain), waited=wait_s > 0)


def _report(target: str, reply: messages.DrainReply, *, waited: bool) -> None:
    state = "leaves" if reply.leaving else "takes work"
    print(f"{target} {state}; requests under way: {reply.running}")
    if reply.running and waited:
        raise exceptions.CommandError(
            f"{target} still has {reply.running} requests under way",
            exceptions.ExitCode.INCOMPLETE,
        )


async def _call(
    opened: operations.OperatorSession, agent: address.Address, *, leaving: bool
) -> messages.DrainReply:
    message = messages.Drain(leaving=leaving)
    try:
        reply = await opened.connections.call(
            agent, message, timeout_s=CALL_TIMEOUT_S
        )
    except (transport_exceptions.TransportError, TimeoutError) as error:
        raise exceptions.CommandError(
            f"the agent at {agent} did not answer: {error}; check that its "
            "settings file names the operator_secret_file",
            exceptions.ExitCode.UNREACHABLE,
        ) from error
    if not isinstance(reply, messages.DrainReply):
        raise exceptions.CommandError(
            f"unexpected reply from the agent at {agent}"
        )
    return reply
