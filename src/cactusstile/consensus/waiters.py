"""Callers that wait for the result of a proposal or a read."""

from __future__ import annotations

import collections

import anyio
import attrs

from cactusstile.consensus import exceptions
from cactusstile.consensus import messages


@attrs.define(eq=False)
class Waiter:
    """One waiting caller.

    Attributes:
      command: Command to propose; empty for reads and membership changes.
      done: Set once `result` or `error` is set.
      result: Result of applying the command.
      index: Log index of the proposal, or applied index for a read.
      error: Why there is no result; None on success.
    """

    command: bytes = b""
    done: anyio.Event = attrs.field(factory=anyio.Event)
    result: bytes = b""
    index: int = 0
    error: Exception | None = None

    def fail(self, error: Exception) -> None:
        """Ends the wait with an error."""
        self.error = error
        self.done.set()

    async def wait(self) -> None:
        """Waits for the result.

        Raises:
          Exception: The error passed to `fail`.
        """
        await self.done.wait()
        if self.error is not None:
            raise self.error


@attrs.define
class Waiters:
    """All callers waiting on one replica.

    Attributes:
      queued: Proposals that are not in the log yet, oldest first.
      proposed: Proposals in the log, by log index.
      reads: Reads that are not confirmed yet, by read id.
      applying: Confirmed reads, each with the log index that must be applied
        first.
      last_read_id: Id of the last read.
    """

    queued: collections.deque[Waiter] = attrs.field(factory=collections.deque)
    proposed: dict[int, Waiter] = attrs.field(factory=dict)
    reads: dict[int, Waiter] = attrs.field(factory=dict)
    applying: list[tuple[int, Waiter]] = attrs.field(factory=list)
    last_read_id: int = 0

    def count(self) -> int:
        """Returns the number of waiting proposals."""
        return len(self.queued) + len(self.proposed)

    def add_read(self) -> tuple[int, Waiter]:
        """Adds a read; returns its id and its waiter."""
        self.last_read_id += 1
        waiter = Waiter()
        self.reads[self.last_read_id] = waiter
        return self.last_read_id, waiter

    def confirm_read(
        self, read_id: int, index: int, applied_index: int
    ) -> None:
        """Completes a read once `index` is applied."""
        waiter = self.reads.pop(read_id, None)
        if waiter is None:
            return
        self.applying.append((index, waiter))
        self.finish_reads(applied_index)

    def finish_reads(self, applied_index: int) -> None:
        """Completes the confirmed reads up to `applied_index`."""
        if not self.applying:
            return
        waiting = []
        for index, waiter in self.applying:
            if index > applied_index:
                waiting.append((index, waiter))
                continue
            waiter.index = applied_index
            waiter.done.set()
        self.applying = waiting

    def finish_proposal(self, entry: messages.Entry, result: bytes) -> None:
        """Completes the proposal of an applied entry, if it was made here."""
        waiter = self.proposed.pop(entry.index, None)
        if waiter is None:
            return
        waiter.index = entry.index
        waiter.result = result
        waiter.done.set()

    def fail_queued(self, leader_address: str) -> None:
        """Fails all proposals that are not in the log."""
        while self.queued:
            error = exceptions.NotLeaderError(leader_address)
            self.queued.popleft().fail(error)

    def handle_leadership_loss(self, leader_address: str) -> None:
        """Fails all waiters of a replica that is no longer the leader."""
        proposal_waiters = list(self.proposed.values())
        self.proposed.clear()
        for waiter in proposal_waiters:
            waiter.fail(
                exceptions.UncertainError(
                    "leadership was lost before the outcome of the commit was"
                    " known; ask the new leader whether the command was"
                    " committed"
                )
            )
        reads = list(self.reads.values())
        reads += [waiter for _, waiter in self.applying]
        self.reads.clear()
        self.applying.clear()
        for waiter in reads:
            waiter.fail(exceptions.NotLeaderError(leader_address))
        self.fail_queued(leader_address)
