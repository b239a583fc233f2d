"""Admission to a target: slots, the fair queue, short reservations."""

from __future__ import annotations

import contextlib
import itertools
import math
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


@attrs.define(eq=False)
class Place:
    """A slot that a request holds.

    Attributes:
      tokens: Prompt tokens to compute.
      computing: Whether they count as being computed.
    """

    tokens: int
    _prefills: Prefills
    computing: bool = False

    def begin_prefill(self) -> None:
        """Notes that the target computes the prompt from now on."""
        if not self.computing:
            self.computing = True
            self._prefills.add(self.tokens)

    def end_prefill(self) -> None:
        """Notes that the prompt is computed, or will not be for now."""
        if self.computing:
            self.computing = False
            self._prefills.remove(self.tokens)


@attrs.define
class _Waiter:
    """A request in the queue.

    Attributes:
      place: Place that it is given.
      settled: Set once it may start or is refused.
      refusal: Why it will not start.
    """

    place: Place
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


class Prefills:
    """Prompts that a target computes now.

    Attributes:
      count: Prompts.
      tokens: Their tokens, computed or not.
    """

    def __init__(self, notify: collections.abc.Callable[[], None]) -> None:
        """Calls `notify` after each prompt that ends."""
        self.count = 0
        self.tokens = 0
        self._notify = notify
        self._since_s = 0.0

    def add(self, tokens: int) -> None:
        """Counts a prompt."""
        if not self.count:
            self._since_s = anyio.current_time()
        self.count += 1
        self.tokens += tokens

    def remove(self, tokens: int) -> None:
        """Takes a prompt out; they are computed one after the other."""
        self._since_s = anyio.current_time()
        self.count -= 1
        self.tokens -= tokens
        self._notify()

    def left_s(self, tokens_per_s: float) -> float:
        """Returns the time until all of them are computed."""
        if not self.count:
            return 0.0
        elapsed_s = anyio.current_time() - self._since_s
        return max(0.0, self.tokens / tokens_per_s - elapsed_s)


class Admission:
    """Slots of one target and the queue before them.

    An engine computes prompts in the order in which they arrive there. So a
    prompt is passed on only while those under way make up less than a moment
    of work; the others wait in the fair queue, where the order is fair.

    Attributes:
      slots: Requests at once.
      running: Requests that hold a slot.
      queue: Requests that wait for one.
      prefills: Prompts that the target computes now.
      speed: Measures the target.
      hold_s: Smoothed time for which a request holds its slot.
    """

    def __init__(
        self,
        slots: int,
        *,
        tokens_per_s: float,
        prefill_window_s: float = math.inf,
        bounds: fair_queue.Bounds | None = None,
    ) -> None:
        """Starts idle.

        Args:
          slots: Requests at once.
          tokens_per_s: First estimate of the speed.
          prefill_window_s: Prompt work under way at the target, in seconds,
            at which no further prompt is passed on; infinite for targets
            that compute no prompts.
          bounds: Bounds on the queue.
        """
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
        self.prefills = Prefills(self._start_next)
        self._prefill_window_s = prefill_window_s
        self._reservations: dict[int, tuple[float, int]] = {}
        self._numbers = itertools.count(1)
        self._queued = anyio.Event()

    @contextlib.asynccontextmanager
    async def enter(self, work: Work) -> collections.abc.AsyncIterator[Place]:
        """Holds a slot while the context is open.

        Yields:
          The place; its holder notes the end of the prefill.

        Raises:
          RefusedError: If there is no room or the deadline is over; the
            request was not run.
        """
        self._reservations.pop(work.reservation, None)
        place = await self._take_slot(work)
        started_s = anyio.current_time()
        try:
            yield place
        finally:
            held_s = anyio.current_time() - started_s
            self.hold_s += SMOOTHING * (held_s - self.hold_s)
            self._leave(place)

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
        tokens_per_s = self.queue.tokens_per_s
        entries, tokens = self.queue.work_ahead(workspace, share)
        compute_s = (self.reserved_tokens() + tokens) / tokens_per_s
        if not math.isinf(self._prefill_window_s):
            compute_s += self.prefills.left_s(tokens_per_s)
        ahead = self.running + entries + self.reserved_count()
        if ahead < self.slots:
            return compute_s
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

    def _has_room(self) -> bool:
        if self.running >= self.slots:
            return False
        if not self.prefills.count:
            return True
        window_tokens = self._prefill_window_s * self.queue.tokens_per_s
        return self.prefills.tokens < window_tokens

    async def _take_slot(self, work: Work) -> Place:
        place = Place(work.tokens, self.prefills)
        if self._has_room() and not self.queue.count:
            if work.deadline_s <= anyio.current_time():
                raise verdict.refuse(
                    verdict.Reason.DEADLINE_EXCEEDED,
                    "the deadline passed before the work could start",
                    retry_after_s=fair_queue.MIN_RETRY_AFTER_S,
                )
            self.running += 1
            place.begin_prefill()
            self.queue.charge(work.workspace, work.tokens, work.share)
            return place
        waiter = _Waiter(place)
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
                self._leave(place)
            raise
        if waiter.refusal is not None:
            raise verdict.RefusedError(waiter.refusal)
        return place

    def _leave(self, place: Place) -> None:
        self.running -= 1
        place.end_prefill()
        self._start_next()

    def _start_next(self) -> None:
        while self._has_room():
            entry = self.queue.pop()
            if entry is None:
                return
            self.running += 1
            entry.item.place.begin_prefill()
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
