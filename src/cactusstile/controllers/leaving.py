"""Polls the platform's list of VMs to detect that this agent's VM leaves."""

from __future__ import annotations

import logging
import typing

import anyio

from cactusstile.targets import exceptions
from cactusstile.targets import platform

if typing.TYPE_CHECKING:
    from cactusstile.agent import node
    from cactusstile.targets import http

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 1.0


async def watch_platform(
    agent_node: node.Node,
    target: http.HttpTarget,
    vm: str,
    poll_interval_s: float = POLL_INTERVAL_S,
) -> None:
    """Marks the node as leaving while the platform lists its VM as leaving.

    The list lags behind, so that a request to leave by an operator or a signal
    is tracked separately. A VM that is missing from the list does not count as
    leaving, because the list may not contain it yet.

    Args:
      agent_node: State of the agent.
      target: Target that serves the platform's list.
      vm: Name of the agent's VM.
      poll_interval_s: Time between two reads of the list.
    """
    while True:
        try:
            states = await platform.list_vms(target)
        except exceptions.TargetError as error:
            logger.debug("could not read the platform's list of VMs: %s", error)
        else:
            leaving = states.get(vm) is platform.VmState.LEAVING
            if leaving != agent_node.platform_leaving:
                logger.info("platform lists VM %s with leaving=%s", vm, leaving)
            agent_node.platform_leaving = leaving
        await anyio.sleep(poll_interval_s)
