"""Fair queue of a target: by workspace, weighted by share and prompt work.

The workspace that was given the least work lately, divided by its share, goes
next. Given work is forgotten with a half-life, so that one that stormed comes
last while others are within their shares, and none waits for ever: a workspace
that gets nothing falls back to the front.

Inside a workspace, entries go by priority, and waiting raises the priority, so
that none starves. A priority does not move an entry ahead of another
workspace's share.
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
FORGOTTEN_USE = 1.0
_HEAP_SLACK = 32

T = typing.TypeVar("T")


@attrs.frozen
class Bounds:
    """Bounds on what waits.

    Attributes:
      entries: Entries of all workspaces.
      tokens: Prompt tokens of all workspaces.
      workspace_entries: Entries of one workspace.
      workspace_tokens: Prompt tokens of one workspace.
    """

    entries: int = 1024
    tokens: int = 4_000_000
    workspace_entries: int = 256
    workspace_tokens: int = 1_000_000


@attrs.define(eq=False)
class Entry(typing.Generic[T]):
    """One request that waits.

    Attributes:
      workspace: Workspace of the caller.
      tokens: Prompt tokens to compute; at least 1 is counted.
      item: Whatever the owner of the queue needs to start the work.
      share: Weight of the workspace.
      priority: Larger goes first inside the workspace.
      deadline_s: Time on the queue's clock after which the work must not
        start; infinite without one.
      queued_s: Time of arrival; set by the queue.
      waiting: Whether the entry still waits; set by the queue.
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
        """Returns the work that counts against the share."""
        return max(1, self.tokens) / max(self.share, MIN_SHARE)


@attrs.define
class _Flow(typing.Generic[T]):
    """State of one workspace.

    Attributes:
      used: Work given to it lately, divided by its share.
      used_s: Time to which `used` has been decayed.
      share: Weight of the workspace.
      entries: Heap by rank; removed entries stay until they surface.
      count: Entries that wait.
      tokens: Their tokens.
    """

    used: float = 0.0
    used_s: float = 0.0
    share: float = 1.0
    entries: list[tuple[float, int, Entry[T]]] = attrs.field(factory=list)
    count: int = 0
    tokens: int = 0

    def decayed_use(self, now_s: float) -> float:
        """Brings `used` up to date and returns it."""
        half_lives = (now_s - self.used_s) / USE_HALF_LIFE_S
        self.used *= 0.5**half_lives
        self.used_s = now_s
        return self.used


class FairQueue(typing.Generic[T]):
    """Queue of one target.

    Attributes:
      bounds: Bounds on what waits.
      tokens_per_s: Prompt tokens that the target computes in a second; kept
        up to date by the owner, used for estimates only.
      count: Entries that wait.
      tokens: Their prompt tokens.
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
          clock: Returns monotonic seconds.
          refuse: Called at once for each entry that waited and will not run,
            because its deadline passed or a fuller workspace gave way.
          bounds: Bounds on what waits.
          tokens_per_s: First estimate of the target's speed.
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

        When the queue is full, a workspace that holds more of it than the
        entry's own gives up its newest entry.

        Raises:
          RefusedError: If there is no room, or the deadline is over; says that
            the request was not run and when to come back.
        """
        now_s = self._clock()
        self.expire()
        if entry.deadline_s <= now_s:
            raise verdict.RefusedError(self._expired(entry.workspace))
        flow = self._flows.get(entry.workspace)
        held = (flow.count, flow.tokens) if flow else (0, 0)
        if (
            held[0] >= self.bounds.workspace_entries
            or held[1] + entry.tokens > self.bounds.workspace_tokens
        ):
            raise verdict.RefusedError(self._full(entry))
        while (
            self.count >= self.bounds.entries
            or self.tokens + entry.tokens > self.bounds.tokens
        ):
            if not self._push_out(entry):
                raise verdict.RefusedError(self._full(entry))
        self._insert(entry, now_s)

    def pop(self) -> Entry[T] | None:
        """Removes and returns the entry that goes next, or None."""
        self.expire()
        waiting = [flow for flow in self._flows.values() if flow.count]
        if not waiting:
            return None
        now_s = self._clock()
        flow = min(waiting, key=lambda flow: flow.decayed_use(now_s))
        entry = _surface(flow)
        heapq.heappop(flow.entries)
        flow.used += entry.work
        self._drop(entry)
        return entry

    def charge(self, workspace: str, tokens: int, share: float = 1.0) -> None:
        """Counts work that was started without having waited."""
        now_s = self._clock()
        flow = self._flow(workspace, now_s)
        flow.share = share
        flow.decayed_use(now_s)
        flow.used += max(1, tokens) / max(share, MIN_SHARE)

    def remove(self, entry: Entry[T]) -> bool:
        """Takes out an entry whose caller went away.

        Returns:
          Whether it was still waiting.
        """
        if not entry.waiting:
            return False
        self._drop(entry)
        return True

    def expire(self) -> None:
        """Refuses all entries whose deadline is over."""
        now_s = self._clock()
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, _, entry = heapq.heappop(self._deadlines)
            if entry.waiting:
                self._drop(entry)
                self._refuse(entry, self._expired(entry.workspace))

    def next_deadline_s(self) -> float:
        """Returns when `expire` is due next; infinite if never."""
        while self._deadlines and not self._deadlines[0][2].waiting:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else float("inf")

    def wait_s(self, workspace: str, share: float = 1.0) -> float:
        """Returns the expected wait of an entry that arrived now."""
        _, tokens = self.work_ahead(workspace, share)
        return tokens / max(self.tokens_per_s, 1e-6)

    def work_ahead(
        self, workspace: str, share: float = 1.0
    ) -> tuple[float, float]:
        """Returns what goes ahead of an entry that arrived now.

        That is the workspace's own queue and, for each other workspace, what
        it gets until it has been given as much as the own one by then. One
        that was given more already gets nothing.

        Returns:
          Entries and prompt tokens.
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
            behind = level - flow.decayed_use(now_s)
            if behind < 0:
                continue
            head = flow.tokens / flow.count
            given = min(flow.tokens, max(head, behind * flow.share))
            tokens += given
            entries += given / max(head, 1.0)
        return entries, tokens

    def retry_after_s(self, workspace: str, tokens: int) -> float:
        """Returns when there should be room for an entry of `tokens`."""
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
            self._forget_idle_flows(now_s)
            flow = self._flows[workspace] = _Flow(used_s=now_s)
        return flow

    def _drop(self, entry: Entry[T]) -> None:
        entry.waiting = False
        flow = self._flows[entry.workspace]
        flow.count -= 1
        flow.tokens -= entry.tokens
        self.count -= 1
        self.tokens -= entry.tokens
        _compact(flow.entries, flow.count)
        _compact(self._deadlines, self.count)

    def _forget_idle_flows(self, now_s: float) -> None:
        """Drops workspaces that wait for nothing and used little lately."""
        for name, flow in list(self._flows.items()):
            if not flow.count and flow.decayed_use(now_s) < FORGOTTEN_USE:
                del self._flows[name]

    def _push_out(self, entry: Entry[T]) -> bool:
        """Refuses the newest entry of the fullest other workspace."""
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
        refusal = self._full(victim)
        self._drop(victim)
        self._refuse(victim, refusal)
        return True

    def _full(self, entry: Entry[T]) -> verdict.Refusal:
        return verdict.Refusal(
            verdict.Verdict.NOT_RUN,
            verdict.Reason.OVERLOADED,
            "the queue is full; retry later",
            self.retry_after_s(entry.workspace, entry.tokens),
        )

    def _expired(self, workspace: str) -> verdict.Refusal:
        return verdict.Refusal(
            verdict.Verdict.NOT_RUN,
            verdict.Reason.DEADLINE_EXCEEDED,
            "the deadline passed before the work could start",
            max(MIN_RETRY_AFTER_S, self.wait_s(workspace)),
        )


def _surface(flow: _Flow[T]) -> Entry[T]:
    """Drops removed entries from the top and returns the next one."""
    while not flow.entries[0][2].waiting:
        heapq.heappop(flow.entries)
    return flow.entries[0][2]


def _compact(
    heap: list[tuple[float, int, Entry[T]]], waiting_count: int
) -> None:
    """Rebuilds a heap that consists mostly of removed entries."""
    if len(heap) <= 2 * waiting_count + _HEAP_SLACK:
        return
    heap[:] = [item for item in heap if item[2].waiting]
    heapq.heapify(heap)
