"""Version gate: runs are admitted under the version that the engine runs.

The gate is shared by admissions and taken alone by whoever changes the
engine's weights, so that no admission sees two versions.
"""

from __future__ import annotations

import contextlib
import typing

import anyio

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.targets import engine


class VersionGate:
    """Gate of one engine.

    Attributes:
      status: Engine's state, verified by reading it back; None before the
        first reading and while it is in doubt.
      opens_s: Time on the loop's clock at which a closed gate is expected to
        open; 0 while it is open.
    """

    def __init__(self) -> None:
        """Starts closed, until the engine's state was read."""
        self.status: engine.Status | None = None
        self.opens_s = 0.0
        self._inside = 0
        self._closed = False
        self._changed = anyio.Event()

    @property
    def is_open(self) -> bool:
        """Whether runs are admitted now."""
        return not self._closed and self.status is not None

    def expected_wait_s(self) -> float:
        """Returns when a run could pass; infinite while that is unknown."""
        if self._closed:
            return max(0.0, self.opens_s - anyio.current_time())
        return 0.0 if self.status is not None else float("inf")

    @contextlib.asynccontextmanager
    async def admit(
        self,
    ) -> collections.abc.AsyncIterator[engine.Status]:
        """Waits for the gate and yields a status that stays true inside."""
        while self._closed or self.status is None:
            await self._changed.wait()
        self._inside += 1
        try:
            yield self.status
        finally:
            self._inside -= 1
            self._notify()

    @contextlib.asynccontextmanager
    async def closed(
        self, expected_s: float = 0.0
    ) -> collections.abc.AsyncIterator[None]:
        """Keeps new admissions out once those inside are through.

        The holder sets `status` to what it read back before it leaves, or to
        None when the engine's state is in doubt.

        Args:
          expected_s: Expected duration, for estimates of the wait.
        """
        while self._closed:
            await self._changed.wait()
        self._closed = True
        self.opens_s = anyio.current_time() + expected_s
        try:
            while self._inside:
                await self._changed.wait()
            yield
        finally:
            self._closed = False
            self.opens_s = 0.0
            self._notify()

    def set_status(self, status: engine.Status | None) -> None:
        """Records what was read from the engine."""
        self.status = status
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
