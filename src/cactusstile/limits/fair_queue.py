"""Weighted fair queue of a target, with one flow per workspace.

The workspace with the least recent use, which is work started for it divided
by its share, is served next. Use decays exponentially with a half-life, so that
a workspace that overloaded the target is served last while others stay within
their shares. No workspace starves: the use of one that is not served decays
until it is served next.

Within a workspace, entries are ordered by priority, and the effective priority
rises with the waiting time, so that no entry starves. A priority has no effect
on entries of other workspaces.
"""

from __future__ import annotations

import heapq
import itertools
import typing

import attrs

from cactusstile import verdict

if typing.TYPE_CHECKING:
    import collections.abc

AGEING_S_PER_PRIORITY = 5.0
USE_HALF_LIFE_S = 10.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0
MIN_SHARE = 1e-6
NEGLIGIBLE_USE = 1.0
_HEAP_SLACK = 32

T = typing.TypeVar("T")


@attrs.frozen
class Bounds:
    """Bounds on the size of the queue.

    Attributes:
      entries: Maximum entries of all workspaces.
      tokens: Maximum prompt tokens of all workspaces.
      workspace_entries: Maximum entries of one workspace.
      workspace_tokens: Maximum prompt tokens of one workspace.
    """

    entries: int = 1024
    tokens: int = 4_000_000
    workspace_entries: int = 256
    workspace_tokens: int = 1_000_000


@attrs.define(eq=False)
class Entry(typing.Generic[T]):
    """A queued request.

    Attributes:
      workspace: Workspace of the caller.
      tokens: Prompt tokens to compute; counted as at least 1.
      item: Opaque data of the queue's owner, used to start the work.
      share: Weight of the workspace.
      priority: Priority within the workspace; higher is served first.
      deadline_s: Time on the queue's clock after which the work must not
        start; infinite without a deadline.
      queued_s: Time on the queue's clock of the insertion; set by the queue.
      waiting: Whether the entry is still in the queue; set by the queue.
    """

    workspace: str
    tokens: int
    item: T
    share: float = 1.0
    priority: int = 0
    deadline_s: float = float("inf")
    queued_s: float = 0.0
    waiting: bool = False

    @property
    def work(self) -> float:
        """Returns the prompt tokens divided by the share."""
        return max(1, self.tokens) / max(self.share, MIN_SHARE)


@attrs.define
class _Flow(typing.Generic[T]):
    """State of one workspace.

    Attributes:
      used: Decayed work started for it, divided by its share.
      used_s: Time as of which `used` has been decayed.
      share: Weight of the workspace.
      entries: Heap by rank; removed entries stay until they reach the top.
      count: Number of waiting entries.
      tokens: Prompt tokens of the waiting entries.
    """

    used: float = 0.0
    used_s: float = 0.0
    share: float = 1.0
    entries: list[tuple[float, int, Entry[T]]] = attrs.field(factory=list)
    count: int = 0
    tokens: int = 0

    def decayed_use(self, now_s: float) -> float:
        """Decays `used` to the present time and returns it."""
        half_lives = (now_s - self.used_s) / USE_HALF_LIFE_S
        self.used *= 0.5**half_lives
        self.used_s = now_s
        return self.used


class FairQueue(typing.Generic[T]):
    """Queue of one target.

    Attributes:
      bounds: Bounds on the size of the queue.
      tokens_per_s: Prompt tokens that the target computes per second; updated
        by the owner, used for estimates only.
      count: Number of waiting entries.
      tokens: Prompt tokens of the waiting entries.
    """

    def __init__(
        self,
        clock: collections.abc.Callable[[], float],
        refuse: collections.abc.Callable[[Entry[T], verdict.Refusal], None],
        *,
        bounds: Bounds | None = None,
        tokens_per_s: float = 10_000.0,
    ) -> None:
        """Starts empty.

        Args:
          clock: Returns monotonic time in seconds.
          refuse: Called synchronously for each entry that is removed without
            running, because its deadline passed or it was evicted for an
            entry of another workspace.
          bounds: Bounds on the size of the queue.
          tokens_per_s: Initial estimate of the target's speed.
        """
        self.bounds = bounds or Bounds()
        self.tokens_per_s = tokens_per_s
        self.count = 0
        self.tokens = 0
        self._clock = clock
        self._refuse = refuse
        self._flows: dict[str, _Flow[T]] = {}
        self._deadlines: list[tuple[float, int, Entry[T]]] = []
        self._numbers = itertools.count()

    def push(self, entry: Entry[T]) -> None:
        """Adds an entry.

        If the queue is full, evicts the newest entry of the workspace with the
        most queued tokens per share, unless that is the entry's own workspace.

        Raises:
          RefusedError: If the queue is full or the deadline has passed; the
            refusal has verdict `NOT_RUN` and the time after which to retry.
        """
        now_s = self._clock()
        self.expire()
        if entry.deadline_s <= now_s:
            raise verdict.RefusedError(self._expired_refusal(entry.workspace))
        flow = self._flows.get(entry.workspace)
        queued = (flow.count, flow.tokens) if flow else (0, 0)
        if (
            queued[0] >= self.bounds.workspace_entries
            or queued[1] + entry.tokens > self.bounds.workspace_tokens
        ):
            raise verdict.RefusedError(self._queue_full_refusal(entry))
        while (
            self.count >= self.bounds.entries
            or self.tokens + entry.tokens > self.bounds.tokens
        ):
            if not self._evict_for(entry):
                raise verdict.RefusedError(self._queue_full_refusal(entry))
        self._insert(entry, now_s)

    def pop(self) -> Entry[T] | None:
        """Removes and returns the next entry; None if the queue is empty."""
        self.expire()
        waiting = [flow for flow in self._flows.values() if flow.count]
        if not waiting:
            return None
        now_s = self._clock()
        flow = min(waiting, key=lambda flow: flow.decayed_use(now_s))
        entry = _peek(flow)
        heapq.heappop(flow.entries)
        flow.used += entry.work
        self._discard(entry)
        return entry

    def charge(self, workspace: str, tokens: int, share: float = 1.0) -> None:
        """Adds work that was started without queueing to the use."""
        now_s = self._clock()
        flow = self._flow(workspace, now_s)
        flow.share = share
        flow.decayed_use(now_s)
        flow.used += max(1, tokens) / max(share, MIN_SHARE)

    def remove(self, entry: Entry[T]) -> bool:
        """Removes an entry whose caller has disconnected.

        Returns:
          Whether the entry was still in the queue.
        """
        if not entry.waiting:
            return False
        self._discard(entry)
        return True

    def expire(self) -> None:
        """Refuses all entries whose deadline has passed."""
        now_s = self._clock()
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, _, entry = heapq.heappop(self._deadlines)
            if entry.waiting:
                self._discard(entry)
                self._refuse(entry, self._expired_refusal(entry.workspace))

    def next_deadline_s(self) -> float:
        """Returns the time of the next deadline on the queue's clock.

        Infinite if no waiting entry has a deadline.
        """
        while self._deadlines and not self._deadlines[0][2].waiting:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else float("inf")

    def wait_s(self, workspace: str, share: float = 1.0) -> float:
        """Returns the expected wait in seconds of an entry pushed now."""
        _, tokens = self.work_ahead(workspace, share)
        return tokens / max(self.tokens_per_s, 1e-6)

    def work_ahead(
        self, workspace: str, share: float = 1.0
    ) -> tuple[float, float]:
        """Returns the work that is served before an entry pushed now.

        Consists of all waiting entries of the workspace itself and, for each
        other workspace, the work that raises its use to the level that this
        workspace will have reached. A workspace whose use is above that level
        already adds nothing.

        Returns:
          Estimated number of entries and of prompt tokens.
        """
        now_s = self._clock()
        own = self._flows.get(workspace)
        entries, tokens, level = 0.0, 0.0, 0.0
        if own is not None:
            entries, tokens = own.count, own.tokens
            level = own.decayed_use(now_s) + tokens / max(share, MIN_SHARE)
        for flow in self._flows.values():
            if flow is own or not flow.count:
                continue
            deficit = level - flow.decayed_use(now_s)
            if deficit < 0:
                continue
            mean_tokens = flow.tokens / flow.count
            served_tokens = min(
                flow.tokens, max(mean_tokens, deficit * flow.share)
            )
            tokens += served_tokens
            entries += served_tokens / max(mean_tokens, 1.0)
        return entries, tokens

    def retry_after_s(self, workspace: str, tokens: int) -> float:
        """Returns the estimated seconds until `tokens` more tokens fit."""
        flow = self._flows.get(workspace)
        own_excess = 0.0
        if flow:
            own_excess = flow.tokens + tokens - self.bounds.workspace_tokens
            if flow.count >= self.bounds.workspace_entries:
                own_excess = max(own_excess, flow.tokens / flow.count)
        excess = float(self.tokens + tokens - self.bounds.tokens)
        if self.count >= self.bounds.entries:
            excess = max(excess, self.tokens / max(1, self.count))
        busy = max(1, len(self._flows))
        drain_s = max(excess, own_excess * busy) / max(self.tokens_per_s, 1e-6)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, drain_s))

    def _insert(self, entry: Entry[T], now_s: float) -> None:
        flow = self._flow(entry.workspace, now_s)
        flow.share = entry.share
        entry.queued_s = now_s
        entry.waiting = True
        rank = now_s - entry.priority * AGEING_S_PER_PRIORITY
        number = next(self._numbers)
        heapq.heappush(flow.entries, (rank, number, entry))
        if entry.deadline_s != float("inf"):
            heapq.heappush(self._deadlines, (entry.deadline_s, number, entry))
        flow.count += 1
        flow.tokens += entry.tokens
        self.count += 1
        self.tokens += entry.tokens

    def _flow(self, workspace: str, now_s: float) -> _Flow[T]:
        flow = self._flows.get(workspace)
        if flow is None:
            self._remove_idle_flows(now_s)
            flow = self._flows[workspace] = _Flow(used_s=now_s)
        return flow

    def _discard(self, entry: Entry[T]) -> None:
        entry.waiting = False
        flow = self._flows[entry.workspace]
        flow.count -= 1
        flow.tokens -= entry.tokens
        self.count -= 1
        self.tokens -= entry.tokens
        _compact(flow.entries, flow.count)
        _compact(self._deadlines, self.count)

    def _remove_idle_flows(self, now_s: float) -> None:
        """Removes workspaces without entries and with negligible use."""
        for name, flow in list(self._flows.items()):
            if not flow.count and flow.decayed_use(now_s) < NEGLIGIBLE_USE:
                del self._flows[name]

    def _evict_for(self, entry: Entry[T]) -> bool:
        """Evicts an entry of the workspace with the most tokens per share.

        Returns:
          Whether an entry was evicted; False if the workspace of `entry` would
          hold at least as many tokens per share.
        """
        fullest = max(
            self._flows,
            key=lambda name: self._flows[name].tokens / self._flows[name].share,
        )
        flow = self._flows[fullest]
        own = self._flows.get(entry.workspace)
        own_tokens = entry.tokens + (own.tokens if own else 0)
        if flow.tokens / flow.share <= own_tokens / entry.share:
            return False
        _, _, victim = max(item for item in flow.entries if item[2].waiting)
        refusal = self._queue_full_refusal(victim)
        self._discard(victim)
        self._refuse(victim, refusal)
        return True

    def _queue_full_refusal(self, entry: Entry[T]) -> verdict.Refusal:
        return verdict.Refusal(
            verdict.Verdict.NOT_RUN,
            verdict.Reason.OVERLOADED,
            "the queue is full; retry later",
            self.retry_after_s(entry.workspace, entry.tokens),
        )

    def _expired_refusal(self, workspace: str) -> verdict.Refusal:
        return verdict.Refusal(
            verdict.Verdict.NOT_RUN,
            verdict.Reason.DEADLINE_EXCEEDED,
            "the deadline passed before the work could start",
            max(MIN_RETRY_AFTER_S, self.wait_s(workspace)),
        )


def _peek(flow: _Flow[T]) -> Entry[T]:
    """Drops removed entries from the top of the heap; returns the next."""
    while not flow.entries[0][2].waiting:
        heapq.heappop(flow.entries)
    return flow.entries[0][2]


def _compact(
    heap: list[tuple[float, int, Entry[T]]], waiting_count: int
) -> None:
    """Rebuilds a heap if it consists mostly of removed entries."""
    if len(heap) <= 2 * waiting_count + _HEAP_SLACK:
        return
    heap[:] = [item for item in heap if item[2].waiting]
    heapq.heapify(heap)
