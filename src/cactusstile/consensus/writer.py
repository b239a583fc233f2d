"""Queue of durable writes, and of messages that must wait for them."""

from __future__ import annotations

import time
import typing

import anyio
import anyio.to_thread
import attrs

from cactusstile.consensus import counters
from cactusstile.consensus import effects

if typing.TYPE_CHECKING:
    from cactusstile.consensus.storage import store as stores

_T = typing.TypeVar("_T")


@attrs.define
class Batch:
    """Writes that share one sync.

    Attributes:
      writes: Writes in order.
      sends: Messages that are sent after the sync.
    """

    writes: list[effects.Write] = attrs.field(factory=list)
    sends: list[effects.Send] = attrs.field(factory=list)

    def last_entry(self) -> tuple[int, int] | None:
        """Returns index and term of the last log entry; None if unchanged."""
        for write in reversed(self.writes):
            if isinstance(write, effects.AppendEntries):
                return write.entries[-1].index, write.entries[-1].term
            if isinstance(write, effects.InstallSnapshot):
                return write.index, write.term
        return None

    def last_metadata(self) -> effects.SaveMetadata | None:
        """Returns the last metadata among the writes; None without any."""
        for write in reversed(self.writes):
            if isinstance(write, effects.SaveMetadata):
                return write
        return None


@attrs.define
class Writer:
    """Collects writes while a sync runs, so that one sync covers many.

    Attributes:
      store: Durable state.
      sync_in_thread: Whether syncs run in a worker thread.
      group_commit: Whether a batch may hold more than one write.
      pending: Batches that are not being written yet, oldest first.
      busy: Whether a batch is being written.
      work_available: Set when there may be batches or proposals to process.
      limiter: Limits the writer to one worker thread.
      counters: Counters for metrics.
      failure: Fault that ended the execution of effects; None without one.
    """

    store: stores.Store
    sync_in_thread: bool
    group_commit: bool
    pending: list[Batch] = attrs.field(factory=list)
    busy: bool = False
    work_available: anyio.Event = attrs.field(factory=anyio.Event)
    limiter: anyio.CapacityLimiter = attrs.field(
        factory=lambda: anyio.CapacityLimiter(1)
    )
    counters: counters.Counters = attrs.field(factory=counters.Counters)
    failure: Exception | None = None

    def add_write(self, write: effects.Write) -> None:
        """Queues a write."""
        if not self.pending or not self.group_commit:
            self.pending.append(Batch())
        self.pending[-1].writes.append(write)
        self.work_available.set()

    def add_send(self, send: effects.Send) -> bool:
        """Queues a message behind the pending writes.

        Returns:
          False if no write is pending; the message may then be sent at once.
        """
        if not self.pending and not self.busy:
            return False
        if not self.pending:
            self.pending.append(Batch())
        self.pending[-1].sends.append(send)
        self.work_available.set()
        return True

    def fail(self, failure: Exception) -> None:
        """Ends the replica, whoever contains the fault that it met.

        State to which a part of the effects is applied must not be served.
        """
        self.failure = self.failure or failure
        self.work_available.set()

    async def wait(self) -> None:
        """Waits until there may be batches or proposals to process.

        Raises:
          Exception: The fault of an earlier `fail`.
        """
        await self.work_available.wait()
        self._raise_failure()
        self.work_available = anyio.Event()

    def _raise_failure(self) -> None:
        if self.failure is not None:
            raise self.failure

    async def write_next(self) -> Batch | None:
        """Makes the oldest batch durable and returns it; None without one.

        Raises:
          Exception: The fault of an earlier `fail`.
        """
        self._raise_failure()
        if not self.pending:
            return None
        batch = self.pending.pop(0)
        if not batch.writes:
            return batch
        started_s = time.monotonic()
        await self.run(self.store.write, batch.writes)
        self.counters.record_sync(time.monotonic() - started_s)
        return batch

    async def run(
        self, function: typing.Callable[[_T], None], argument: _T
    ) -> None:
        """Runs a blocking function of the store.

        After a failure the writer stays busy, so that messages that wait for
        a sync are never sent.
        """
        self.busy = True
        if self.sync_in_thread:
            await anyio.to_thread.run_sync(
                function, argument, limiter=self.limiter
            )
        else:
            function(argument)
        self.busy = False
