"""Version gate, which keeps the engine's weights constant during admission.

The gate works like a readers-writer lock: admissions hold it concurrently,
and a change of the engine's weights holds it exclusively. No admission
therefore observes two weight versions.
"""

from __future__ import annotations

import contextlib
import typing

import anyio

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.targets import engine


# A closed gate is never as good as an open one, also if it opens late.
MIN_CLOSED_WAIT_S = 0.1


class VersionGate:
    """Version gate of one engine.

    Attributes:
      status: Engine's state as last read back from it; None before the first
        read and while the state is uncertain.
      expected_open_s: Time on the event loop's clock at which a closed gate is
        expected to open; 0 while it is open.
    """

    def __init__(self) -> None:
        """Creates a gate that admits no run until `status` is set."""
        self.status: engine.Status | None = None
        self.expected_open_s = 0.0
        self._admitted_count = 0
        self._closers = 0
        self._changed = anyio.Event()

    @property
    def is_open(self) -> bool:
        """Whether runs are currently admitted."""
        return not self._closers and self.status is not None

    def expected_wait_s(self) -> float:
        """Returns the expected wait at the gate; infinite if unknown."""
        if self._closers:
            expected_s = self.expected_open_s - anyio.current_time()
            return max(MIN_CLOSED_WAIT_S, expected_s)
        return 0.0 if self.status is not None else float("inf")

    @contextlib.asynccontextmanager
    async def admit(
        self,
    ) -> collections.abc.AsyncIterator[engine.Status]:
        """Waits until the gate is open; the yielded status stays valid."""
        while self._closers or self.status is None:
            await self._changed.wait()
        self._admitted_count += 1
        try:
            yield self.status
        finally:
            self._admitted_count -= 1
            self._notify()

    @contextlib.contextmanager
    def paused(self, expected_s: float = 0.0) -> collections.abc.Iterator[None]:
        """Blocks new admissions; the current ones go on.

        Contexts may overlap; the last one to end opens the gate.

        Args:
          expected_s: Expected duration, used to estimate the wait of runs.
        """
        self._closers += 1
        open_s = anyio.current_time() + expected_s
        self.expected_open_s = max(self.expected_open_s, open_s)
        try:
            yield
        finally:
            self._closers -= 1
            if not self._closers:
                self.expected_open_s = 0.0
            self._notify()

    @contextlib.asynccontextmanager
    async def closed(
        self, expected_s: float = 0.0
    ) -> collections.abc.AsyncIterator[None]:
        """Blocks new admissions and waits for the current ones to end.

        Before the context exits, the caller sets `status` to the state that it
        read back, or to None if the engine's state is uncertain.

        Args:
          expected_s: Expected duration, used to estimate the wait of runs.
        """
        while self._closers:
            await self._changed.wait()
        with self.paused(expected_s):
            while self._admitted_count:
                await self._changed.wait()
            yield

    def set_status(self, status: engine.Status | None) -> None:
        """Sets the engine's state; None if it is uncertain."""
        self.status = status
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
