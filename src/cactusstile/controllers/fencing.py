"""Fencing token by which an agent owns its target."""

from __future__ import annotations

import logging
import random
import typing

import anyio

from cactusstile.control import exceptions as control_exceptions
from cactusstile.controllers import exceptions

if typing.TYPE_CHECKING:
    from cactusstile.agent import node

logger = logging.getLogger(__name__)

FENCE_AGE_LIMIT_S = 1.0
CALL_TIMEOUT_S = 3.0
CHECK_INTERVAL_S = 10.0
RETRY_INTERVAL_S = 2.0
TICK_S = 0.25
FREEZE_LIMIT_S = 0.5


class FenceControl(typing.Protocol):
    """Methods of `control.client.ControlClient` that fencing uses."""

    async def take_fence(self, target: str, *, timeout_s: float = ...) -> int:
        """Returns a new token, higher than all earlier ones."""

    async def read_fence(self, target: str, *, timeout_s: float = ...) -> int:
        """Returns the highest token that was issued."""


class Fence:
    """Fencing token of this process.

    Attributes:
      number: The token; 0 before `take` succeeded.
    """

    def __init__(self, control: FenceControl, target: str) -> None:
        """Uses `control` for tokens of `target`; `take` requests one."""
        self.number = 0
        self._control = control
        self._target = target
        self._take_lock = anyio.Lock()

    async def take(self) -> None:
        """Requests a token above all others, once per process.

        Raises:
          ControlError: If control did not issue a token.
        """
        async with self._take_lock:
            if not self.number:
                self.number = await self._control.take_fence(
                    self._target, timeout_s=CALL_TIMEOUT_S
                )

    async def confirm(self) -> None:
        """Returns if no newer agent owns the target; call right before use.

        Repeats the request if the answer is older than `FENCE_AGE_LIMIT_S`, as
        when the process was frozen in the meantime.

        Raises:
          SupersededError: If a higher token was issued.
          ControlError: If control could not be reached.
        """
        while True:
            asked_s = anyio.current_time()
            highest = await self._control.read_fence(
                self._target, timeout_s=CALL_TIMEOUT_S
            )
            if highest != self.number:
                raise exceptions.SupersededError(
                    f"a newer agent has taken over target {self._target}"
                )
            if anyio.current_time() - asked_s <= FENCE_AGE_LIMIT_S:
                return


async def watch(agent_node: node.Node, fence: Fence) -> None:
    """Stops accepting work once a newer agent owns the target; then returns.

    Confirms the token at intervals, and immediately after a freeze of this
    process. In the meantime claims prevent work that must not be repeated from
    running twice.
    """
    due_s = 0.0
    while True:
        started_s = anyio.current_time()
        if started_s >= due_s:
            pause_s = CHECK_INTERVAL_S
            try:
                await fence.take()
                await fence.confirm()
            except exceptions.SupersededError as error:
                agent_node.stopping = True
                logger.warning("%s; this agent accepts no more work", error)
                return
            except control_exceptions.ControlError:
                pause_s = RETRY_INTERVAL_S
            started_s = anyio.current_time()
            due_s = started_s + random.uniform(0.5, 1.0) * pause_s
        await anyio.sleep(TICK_S)
        slept_s = anyio.current_time() - started_s
        if slept_s > TICK_S + FREEZE_LIMIT_S:
            due_s = 0.0
