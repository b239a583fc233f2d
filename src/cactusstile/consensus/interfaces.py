"""What a replica is given: its state machine, its clock, how it sends."""

from __future__ import annotations

import typing

from cactusstile.consensus import messages

Send = typing.Callable[[str, messages.Message], None]
Clock = typing.Callable[[], float]


class StateMachine(typing.Protocol):
    """The replicated state; called from the loop, never at the same time."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command and returns its result.

        Must depend on nothing but the state and the arguments.
        """

    def snapshot(self) -> bytes:
        """Returns the whole state."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot; empty data resets it."""
