"""Interfaces that a replica needs: state machine, clock and transport."""

from __future__ import annotations

import typing

from cactusstile.consensus import messages

Send = typing.Callable[[str, messages.Message], None]
Clock = typing.Callable[[], float]


class StateMachine(typing.Protocol):
    """The replicated state; called from the event loop, never concurrently."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command and returns its result.

        Must be deterministic: the result and the new state may depend only on
        the state and the arguments.
        """

    def snapshot(self) -> bytes:
        """Returns the complete state."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot; empty data resets it."""
