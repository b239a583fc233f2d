"""Circuit breaker that fails calls fast while control is unreachable."""

from __future__ import annotations

import anyio
import attrs


@attrs.define
class CircuitBreaker:
    """Circuit breaker that is open while no leader answers.

    It opens only if a probe task runs, since that task alone calls control
    while the circuit is open. An answer of the leader to any call closes it.

    Attributes:
      has_probe: Whether a task probes control while the circuit is open.
      opened: Set while the circuit is open.
    """

    has_probe: bool = False
    opened: anyio.Event = attrs.field(factory=anyio.Event)

    def record_failure(self) -> None:
        """Opens the circuit after a call that no leader answered in time."""
        if self.has_probe:
            self.opened.set()

    def record_success(self) -> None:
        """Closes the circuit."""
        if self.opened.is_set():
            self.opened = anyio.Event()
