"""Circuit breaker for calls whose caller waits while control is lost."""

from __future__ import annotations

import anyio
import attrs


@attrs.define
class Circuit:
    """Tells whether a call would find a leader.

    Opens only while it is watched: the watcher alone tries control then, and
    an answer to anyone closes it.

    Attributes:
      is_watched: Whether a task tries control while the circuit is open.
      opened: Set while the circuit is open.
    """

    is_watched: bool = False
    opened: anyio.Event = attrs.field(factory=anyio.Event)

    def record_failure(self) -> None:
        """Opens the circuit after a call that no leader answered in time."""
        if self.is_watched:
            self.opened.set()

    def record_success(self) -> None:
        """Closes the circuit."""
        if self.opened.is_set():
            self.opened = anyio.Event()
