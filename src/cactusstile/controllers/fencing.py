"""Fencing token of one agent for its target."""

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
    """Part of `control.client.ControlClient` that fencing needs."""

    async def take_fence(self, target: str, *, timeout_s: float = ...) -> int:
        """Returns a number above all that were taken."""

    async def read_fence(self, target: str, *, timeout_s: float = ...) -> int:
        """Returns the highest number that was taken."""


class Fence:
    """Fencing token of this process.

    Attributes:
      number: The token; 0 before it was taken.
    """

    def __init__(self, control: FenceControl, target: str) -> None:
        """Takes the token of `target` from `control`; see `take`."""
        self.number = 0
        self._control = control
        self._target = target
        self._taking = anyio.Lock()

    async def take(self) -> None:
        """Takes a token above all others, once in this process.

        Raises:
          ControlError: If control gave none.
        """
        async with self._taking:
            if not self.number:
                self.number = await self._control.take_fence(
                    self._target, timeout_s=CALL_TIMEOUT_S
                )

    async def confirm(self) -> None:
        """Returns if no newer agent owns the target; call right before use.

        A process that was frozen while it asked asks again.

        Raises:
          SupersededError: If a higher token was taken.
          ControlError: If control could not be asked.
        """
        while True:
            asked_s = anyio.current_time()
            highest = await self._control.read_fence(
                self._target, timeout_s=CALL_TIMEOUT_S
            )
            if highest != self.number:
                raise exceptions.SupersededError(
                    f"a newer agent owns target {self._target}"
                )
            if anyio.current_time() - asked_s <= FENCE_AGE_LIMIT_S:
                return


async def watch(owner: node.Node, fence: Fence) -> None:
    """Takes no more work once a newer agent owns the target; then returns.

    The token is confirmed at intervals, and at once after this process was
    frozen. Claims keep what may not be repeated from running twice until then.
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
                owner.stopping = True
                logger.warning("%s; this one takes no more work", error)
                return
            except control_exceptions.ControlError:
                pause_s = RETRY_INTERVAL_S
            started_s = anyio.current_time()
            due_s = started_s + random.uniform(0.5, 1.0) * pause_s
        await anyio.sleep(TICK_S)
        slept_s = anyio.current_time() - started_s
        if slept_s > TICK_S + FREEZE_LIMIT_S:
            due_s = 0.0
