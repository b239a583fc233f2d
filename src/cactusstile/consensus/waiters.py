"""Callers that wait for a proposal or a read."""

from __future__ import annotations

import collections

import anyio
import attrs

from cactusstile.consensus import exceptions
from cactusstile.consensus import messages


@attrs.define(eq=False)
class Waiter:
    """One caller that waits.

    Attributes:
      command: Command to propose; empty for reads and membership changes.
      done: Set once `result` or `error` is.
      result: Result of applying the command.
      index: Log index of the proposal, or applied index of the read.
      error: Why there is no result.
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
        """Waits for the result; raises the error."""
        await self.done.wait()
        if self.error is not None:
            raise self.error


@attrs.define
class Waiters:
    """All callers that wait on one replica.

    Attributes:
      queued: Proposals that are not in the log yet.
      proposed: Proposals in the log, by index.
      reads: Reads that are not confirmed yet, by number.
      applying: Confirmed reads that wait until an index is applied.
      last_read_id: Number of the last read.
    """

    queued: collections.deque[Waiter] = attrs.field(factory=collections.deque)
    proposed: dict[int, Waiter] = attrs.field(factory=dict)
    reads: dict[int, Waiter] = attrs.field(factory=dict)
    applying: list[tuple[int, Waiter]] = attrs.field(factory=list)
    last_read_id: int = 0

    def count(self) -> int:
        """Returns the number of proposals that wait."""
        return len(self.queued) + len(self.proposed)

    def add_read(self) -> tuple[int, Waiter]:
        """Adds a read and returns its number."""
        self.last_read_id += 1
        waiter = Waiter()
        self.reads[self.last_read_id] = waiter
        return self.last_read_id, waiter

    def confirm_read(self, read_id: int, index: int, applied: int) -> None:
        """Ends a read, or lets it wait until `index` is applied."""
        waiter = self.reads.pop(read_id, None)
        if waiter is None:
            return
        self.applying.append((index, waiter))
        self.finish_reads(applied)

    def finish_reads(self, applied: int) -> None:
        """Ends the confirmed reads that `applied` suffices for."""
        if not self.applying:
            return
        waiting = []
        for index, waiter in self.applying:
            if index > applied:
                waiting.append((index, waiter))
                continue
            waiter.index = applied
            waiter.done.set()
        self.applying = waiting

    def finish_proposal(self, entry: messages.Entry, result: bytes) -> None:
        """Ends the proposal of an applied entry, if it is from here."""
        waiter = self.proposed.pop(entry.index, None)
        if waiter is None:
            return
        waiter.index = entry.index
        waiter.result = result
        waiter.done.set()

    def refuse_queued(self, leader_address: str) -> None:
        """Ends all proposals that are not in the log."""
        while self.queued:
            error = exceptions.NotLeaderError(leader_address)
            self.queued.popleft().fail(error)

    def lose_leadership(self, leader_address: str) -> None:
        """Ends all waits of a replica that no longer leads."""
        proposed = list(self.proposed.values())
        self.proposed.clear()
        for waiter in proposed:
            waiter.fail(
                exceptions.UncertainError(
                    "leadership was lost before the commit was known; ask the"
                    " new leader whether the command was committed"
                )
            )
        reads = list(self.reads.values())
        reads += [waiter for _, waiter in self.applying]
        self.reads.clear()
        self.applying.clear()
        for waiter in reads:
            waiter.fail(exceptions.NotLeaderError(leader_address))
        self.refuse_queued(leader_address)
