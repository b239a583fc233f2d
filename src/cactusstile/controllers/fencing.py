"""Fencing token of one agent for its target."""

from __future__ import annotations

import typing

import anyio

from cactusstile.controllers import exceptions

FENCE_AGE_LIMIT_S = 1.0
CALL_TIMEOUT_S = 3.0


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

    async def take(self) -> None:
        """Takes a token above all others, once in this process.

        Raises:
          ControlError: If control gave none.
        """
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
