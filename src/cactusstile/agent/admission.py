"""Admission to a target: slots, the fair queue, short reservations."""

from __future__ import annotations

import contextlib
import itertools
import typing

import anyio
import attrs

from cactusstile import verdict
from cactusstile.limits import fair_queue

if typing.TYPE_CHECKING:
    import collections.abc

RESERVATION_S = 0.25
MAX_RESERVATIONS = 1024
SMOOTHING = 0.2
MIN_MEASURED_TOKENS = 64
MIN_MEASURED_S = 0.005


@attrs.define
class _Waiter:
    """A request in the queue.

    Attributes:
      settled: Set once it may start or is refused.
      refusal: Why it will not start.
    """

    settled: anyio.Event = attrs.field(factory=anyio.Event)
    refusal: verdict.Refusal | None = None


@attrs.frozen
class Work:
    """What a request asks of the target.

    Attributes:
      workspace: Workspace of the caller.
      tokens: Prompt tokens to compute; 1 for a service call.
      share: Weight of the workspace.
      priority: Larger first inside the workspace.
      deadline_s: Time on the loop's clock by which it must start.
      reservation: Number of the reservation that it uses; 0 without one.
    """

    workspace: str
    tokens: int
    share: float = 1.0
    priority: int = 0
    deadline_s: float = float("inf")
    reservation: int = 0


class SpeedMeter:
    """Prompt tokens that a target computes in a busy second."""

    def __init__(self, report: collections.abc.Callable[[float], None]) -> None:
        """Calls `report` with each measured speed."""
        self._report = report
        self._under_way = 0
        self._since_s = 0.0
        self._tokens = 0

    def begin(self) -> None:
        """Notes that the target starts to compute a prompt."""
        if not self._under_way:
            self._since_s = anyio.current_time()
            self._tokens = 0
        self._under_way += 1

    def end(self, tokens: int) -> None:
        """Notes that the target computed `tokens` of a prompt."""
        self._under_way -= 1
        self._tokens += tokens
        now_s = anyio.current_time()
        elapsed_s = now_s - self._since_s
        if self._tokens < MIN_MEASURED_TOKENS or elapsed_s < MIN_MEASURED_S:
            return
        self._report(self._tokens / elapsed_s)
        self._since_s = now_s
        self._tokens = 0


class Admission:
    """Slots of one target and the queue before them.

    Attributes:
      slots: Requests at once.
      running: Requests that hold a slot.
      queue: Requests that wait for one.
      speed: Measures the target.
      hold_s: Smoothed time for which a request holds its slot.
    """

    def __init__(
        self,
        slots: int,
        *,
        tokens_per_s: float,
        bounds: fair_queue.Bounds | None = None,
    ) -> None:
        """Starts idle; `tokens_per_s` is the first estimate of the speed."""
        self.slots = slots
        self.running = 0
        self.queue: fair_queue.FairQueue[_Waiter] = fair_queue.FairQueue(
            anyio.current_time,
            _refuse,
            bounds=bounds,
            tokens_per_s=tokens_per_s,
        )
        self.speed = SpeedMeter(self._correct_speed)
        self.hold_s = 0.0
        self._reservations: dict[int, tuple[float, int]] = {}
        self._numbers = itertools.count(1)
        self._queued = anyio.Event()

    @contextlib.asynccontextmanager
    async def enter(self, work: Work) -> collections.abc.AsyncIterator[None]:
        """Holds a slot while the context is open.

        Raises:
          RefusedError: If there is no room or the deadline is over; the
            request was not run.
        """
        self._reservations.pop(work.reservation, None)
        await self._take_slot(work)
        started_s = anyio.current_time()
        try:
            yield
        finally:
            held_s = anyio.current_time() - started_s
            self.hold_s += SMOOTHING * (held_s - self.hold_s)
            self.running -= 1
            self._start_next()

    def check_room(self, work: Work) -> None:
        """Returns unless the queue is full already.

        Raises:
          RefusedError: If it is; the request was not run.
        """
        queue = self.queue
        tokens = queue.tokens + work.tokens
        if queue.count < queue.bounds.entries and tokens <= queue.bounds.tokens:
            return
        raise verdict.refuse(
            verdict.Reason.OVERLOADED,
            "the queue is full; retry later",
            retry_after_s=queue.retry_after_s(work.workspace, work.tokens),
        )

    def resize(self, slots: int) -> None:
        """Changes the number of slots."""
        self.slots = slots
        self._start_next()

    def reserve(self, tokens: int) -> int:
        """Counts `tokens` as queued for a moment; returns its number."""
        self._expire_reservations()
        if len(self._reservations) >= MAX_RESERVATIONS:
            return 0
        number = next(self._numbers)
        expires_s = anyio.current_time() + RESERVATION_S
        self._reservations[number] = (expires_s, tokens)
        return number

    def reserved_tokens(self) -> int:
        """Returns the tokens of all live reservations."""
        self._expire_reservations()
        return sum(tokens for _, tokens in self._reservations.values())

    def reserved_count(self) -> int:
        """Returns the number of live reservations."""
        self._expire_reservations()
        return len(self._reservations)

    def wait_s(self, workspace: str, share: float) -> float:
        """Returns the expected wait of a request that arrived now."""
        ahead = self.running + self.queue.count + self.reserved_count()
        if ahead < self.slots:
            return 0.0
        reserved_s = self.reserved_tokens() / self.queue.tokens_per_s
        compute_s = self.queue.wait_s(workspace, share) + reserved_s
        slots_s = (ahead - self.slots + 1) * self.hold_s / max(1, self.slots)
        return max(compute_s, slots_s)

    async def expire(self) -> None:
        """Refuses queued requests whose deadline passes, until cancelled."""
        while True:
            self.queue.expire()
            due_s = self.queue.next_deadline_s()
            self._queued = anyio.Event()
            with anyio.CancelScope(deadline=due_s):
                await self._queued.wait()

    def _correct_speed(self, tokens_per_s: float) -> None:
        old = self.queue.tokens_per_s
        self.queue.tokens_per_s = old + SMOOTHING * (tokens_per_s - old)

    async def _take_slot(self, work: Work) -> None:
        if self.running < self.slots and not self.queue.count:
            if work.deadline_s <= anyio.current_time():
                raise verdict.refuse(
                    verdict.Reason.DEADLINE_EXCEEDED,
                    "the deadline passed before the work could start",
                    retry_after_s=fair_queue.MIN_RETRY_AFTER_S,
                )
            self.running += 1
            self.queue.charge(work.workspace, work.tokens, work.share)
            return
        waiter = _Waiter()
        entry = fair_queue.Entry(
            work.workspace,
            work.tokens,
            waiter,
            share=work.share,
            priority=work.priority,
            deadline_s=work.deadline_s,
        )
        self.queue.push(entry)
        self._queued.set()
        try:
            await waiter.settled.wait()
        except BaseException:
            # A waiter that was started and cancelled at once owns a slot.
            if not self.queue.remove(entry) and waiter.refusal is None:
                self.running -= 1
                self._start_next()
            raise
        if waiter.refusal is not None:
            raise verdict.RefusedError(waiter.refusal)

    def _start_next(self) -> None:
        while self.running < self.slots:
            entry = self.queue.pop()
            if entry is None:
                return
            self.running += 1
            entry.item.settled.set()

    def _expire_reservations(self) -> None:
        now_s = anyio.current_time()
        expired = [
            number
            for number, (expires_s, _) in self._reservations.items()
            if expires_s <= now_s
        ]
        for number in expired:
            del self._reservations[number]


def _refuse(entry: fair_queue.Entry[_Waiter], refusal: verdict.Refusal) -> None:
    entry.item.refusal = refusal
    entry.item.settled.set()
