"""Watches the platform's list for the leaving of this agent's VM."""

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
    owner: node.Node,
    target: http.HttpTarget,
    vm: str,
    poll_interval_s: float = POLL_INTERVAL_S,
) -> None:
    """Marks the node as leaving while the platform lists its VM so.

    The list lags; what an operator or a signal told the agent stands beside
    it. A VM that is missing in the list is not taken as leaving, since the
    list may not know it yet.
    """
    while True:
        try:
            states = await platform.list_vms(target)
        except exceptions.TargetError as error:
            logger.debug("the platform's list cannot be read: %s", error)
        else:
            leaving = states.get(vm) is platform.VmState.LEAVING
            if leaving != owner.platform_leaving:
                logger.info("platform lists %s, leaving=%s", vm, leaving)
            owner.platform_leaving = leaving
        await anyio.sleep(poll_interval_s)
