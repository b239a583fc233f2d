"""Admission control of one target: slots, fair queue, reservations."""

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

RESERVATION_TTL_S = 0.25
MAX_RESERVATIONS = 1024
SMOOTHING_FACTOR = 0.2
MIN_SAMPLE_TOKENS = 64
MIN_SAMPLE_S = 0.005


@attrs.define(eq=False)
class HeldSlot:
    """A slot that is held by one request.

    Attributes:
      tokens: Prompt tokens to compute.
      is_prefilling: Whether the prompt is counted as an active prefill.
    """

    tokens: int
    _prefills: ActivePrefills
    is_prefilling: bool = False

    def begin_prefill(self) -> None:
        """Records that the target starts to compute the prompt."""
        if not self.is_prefilling:
            self.is_prefilling = True
            self._prefills.add(self.tokens)

    def end_prefill(self) -> None:
        """Records that the prefill has completed or is suspended."""
        if self.is_prefilling:
            self.is_prefilling = False
            self._prefills.remove(self.tokens)


@attrs.define
class _Waiter:
    """A request in the queue.

    Attributes:
      slot: Slot that the request holds once it is admitted.
      settled: Set when the request is admitted or refused.
      refusal: Reason for the refusal; None unless it was refused.
    """

    slot: HeldSlot
    settled: anyio.Event = attrs.field(factory=anyio.Event)
    refusal: verdict.Refusal | None = None


@attrs.frozen
class Work:
    """Work that a request requires of the target.

    Attributes:
      workspace: Workspace of the caller.
      tokens: Prompt tokens to compute; 1 for a service call.
      share: Weight of the workspace in the fair queue.
      priority: Priority within the workspace; larger values start first.
      deadline_s: Time on the event loop's clock by which it must start.
      reservation: Number of the reservation to use; 0 for none.
    """

    workspace: str
    tokens: int
    share: float = 1.0
    priority: int = 0
    deadline_s: float = float("inf")
    reservation: int = 0


class PrefillSpeedMeter:
    """Measures the prompt tokens that a target computes per busy second."""

    def __init__(self, report: collections.abc.Callable[[float], None]) -> None:
        """Reports each measured speed, in tokens per second, to `report`."""
        self._report = report
        self._active_count = 0
        self._started_s = 0.0
        self._tokens = 0

    def begin(self) -> None:
        """Records that the target starts to compute a prompt."""
        if not self._active_count:
            self._started_s = anyio.current_time()
            self._tokens = 0
        self._active_count += 1

    def end(self, tokens: int) -> None:
        """Records that the target has computed `tokens` of a prompt."""
        self._active_count -= 1
        self._tokens += tokens
        now_s = anyio.current_time()
        elapsed_s = now_s - self._started_s
        if self._tokens < MIN_SAMPLE_TOKENS or elapsed_s < MIN_SAMPLE_S:
            return
        self._report(self._tokens / elapsed_s)
        self._started_s = now_s
        self._tokens = 0


class ActivePrefills:
    """Prompts that a target is computing.

    Attributes:
      count: Number of prompts.
      tokens: Total tokens of these prompts, computed or not.
    """

    def __init__(self, notify: collections.abc.Callable[[], None]) -> None:
        """Calls `notify` whenever a prefill ends."""
        self.count = 0
        self.tokens = 0
        self._notify = notify
        self._started_s = 0.0

    def add(self, tokens: int) -> None:
        """Adds a prompt of `tokens` tokens."""
        if not self.count:
            self._started_s = anyio.current_time()
        self.count += 1
        self.tokens += tokens

    def remove(self, tokens: int) -> None:
        """Removes a prompt; the target computes prompts one at a time."""
        self._started_s = anyio.current_time()
        self.count -= 1
        self.tokens -= tokens
        self._notify()

    def remaining_s(self, tokens_per_s: float) -> float:
        """Returns the estimated time until all prompts are computed."""
        if not self.count:
            return 0.0
        elapsed_s = anyio.current_time() - self._started_s
        return max(0.0, self.tokens / tokens_per_s - elapsed_s)


class Admission:
    """Slots of one target and the queue for them.

    An engine computes prompts in order of arrival. A prompt is therefore
    forwarded only while the active prefills amount to less than the prefill
    window; other prompts wait in the fair queue, which orders them fairly
    between workspaces.

    Attributes:
      slots: Maximum number of concurrent requests.
      running: Number of requests that hold a slot.
      queue: Requests that wait for a slot.
      prefills: Prompts that the target is computing.
      speed: Measures the prefill speed of the target.
      mean_hold_s: Smoothed time for which a request holds its slot.
    """

    def __init__(
        self,
        slots: int,
        *,
        tokens_per_s: float,
        prefill_window_s: float = math.inf,
        bounds: fair_queue.Bounds | None = None,
    ) -> None:
        """Creates an idle admission control.

        Args:
          slots: Maximum number of concurrent requests.
          tokens_per_s: Initial estimate of the prefill speed.
          prefill_window_s: Amount of active prefill work, in seconds, at which
            no further prompt is forwarded; infinite for targets that compute
            no prompts.
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
        self.speed = PrefillSpeedMeter(self._update_speed)
        self.mean_hold_s = 0.0
        self.prefills = ActivePrefills(self._admit_queued)
        self._prefill_window_s = prefill_window_s
        self._reservations: dict[int, tuple[float, int]] = {}
        self._reservation_ids = itertools.count(1)
        self._entry_added = anyio.Event()

    @contextlib.asynccontextmanager
    async def enter(
        self, work: Work
    ) -> collections.abc.AsyncIterator[HeldSlot]:
        """Holds a slot while the context is open.

        Yields:
          The held slot; the caller records the end of the prefill with it.

        Raises:
          RefusedError: If the queue is full or the deadline has passed; the
            request was not run.
        """
        self._reservations.pop(work.reservation, None)
        slot = await self._acquire_slot(work)
        started_s = anyio.current_time()
        try:
            yield slot
        finally:
            held_s = anyio.current_time() - started_s
            self.mean_hold_s += SMOOTHING_FACTOR * (held_s - self.mean_hold_s)
            self._release_slot(slot)

    def check_queue_capacity(self, work: Work) -> None:
        """Checks that the queue can accept more work.

        Raises:
          RefusedError: If the queue is full; the request was not run.
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
        """Sets the number of slots and admits requests to new ones."""
        self.slots = slots
        self._admit_queued()

    def reserve(self, tokens: int) -> int:
        """Counts `tokens` as queued for `RESERVATION_TTL_S`.

        Returns:
          Number of the reservation; 0 if there are too many reservations.
        """
        self._expire_reservations()
        if len(self._reservations) >= MAX_RESERVATIONS:
            return 0
        number = next(self._reservation_ids)
        expires_s = anyio.current_time() + RESERVATION_TTL_S
        self._reservations[number] = (expires_s, tokens)
        return number

    def reserved_tokens(self) -> int:
        """Returns the total tokens of all unexpired reservations."""
        self._expire_reservations()
        return sum(tokens for _, tokens in self._reservations.values())

    def reserved_count(self) -> int:
        """Returns the number of unexpired reservations."""
        self._expire_reservations()
        return len(self._reservations)

    def wait_s(self, workspace: str, share: float) -> float:
        """Returns the expected queue time of a request that arrives now."""
        tokens_per_s = self.queue.tokens_per_s
        entries, tokens = self.queue.work_ahead(workspace, share)
        prefill_wait_s = (self.reserved_tokens() + tokens) / tokens_per_s
        if not math.isinf(self._prefill_window_s):
            prefill_wait_s += self.prefills.remaining_s(tokens_per_s)
        requests_ahead = self.running + entries + self.reserved_count()
        if requests_ahead < self.slots:
            return prefill_wait_s
        slot_wait_s = (
            (requests_ahead - self.slots + 1)
            * self.mean_hold_s
            / max(1, self.slots)
        )
        return max(prefill_wait_s, slot_wait_s)

    async def expire(self) -> None:
        """Refuses queued requests at their deadlines, until cancelled."""
        while True:
            self.queue.expire()
            due_s = self.queue.next_deadline_s()
            self._entry_added = anyio.Event()
            with anyio.CancelScope(deadline=due_s):
                await self._entry_added.wait()

    def _update_speed(self, tokens_per_s: float) -> None:
        previous = self.queue.tokens_per_s
        self.queue.tokens_per_s = previous + SMOOTHING_FACTOR * (
            tokens_per_s - previous
        )

    def _can_admit(self) -> bool:
        if self.running >= self.slots:
            return False
        if not self.prefills.count:
            return True
        window_tokens = self._prefill_window_s * self.queue.tokens_per_s
        return self.prefills.tokens < window_tokens

    async def _acquire_slot(self, work: Work) -> HeldSlot:
        slot = HeldSlot(work.tokens, self.prefills)
        if self._can_admit() and not self.queue.count:
            if work.deadline_s <= anyio.current_time():
                raise verdict.refuse(
                    verdict.Reason.DEADLINE_EXCEEDED,
                    "the deadline passed before the work could start",
                    retry_after_s=fair_queue.MIN_RETRY_AFTER_S,
                )
            self.running += 1
            slot.begin_prefill()
            self.queue.charge(work.workspace, work.tokens, work.share)
            return slot
        waiter = _Waiter(slot)
        entry = fair_queue.Entry(
            work.workspace,
            work.tokens,
            waiter,
            share=work.share,
            priority=work.priority,
            deadline_s=work.deadline_s,
        )
        self.queue.push(entry)
        self._entry_added.set()
        try:
            await waiter.settled.wait()
        except BaseException:
            # A waiter that was admitted before its cancellation owns a slot.
            if not self.queue.remove(entry) and waiter.refusal is None:
                self._release_slot(slot)
            raise
        if waiter.refusal is not None:
            raise verdict.RefusedError(waiter.refusal)
        return slot

    def _release_slot(self, slot: HeldSlot) -> None:
        self.running -= 1
        slot.end_prefill()
        self._admit_queued()

    def _admit_queued(self) -> None:
        while self._can_admit():
            entry = self.queue.pop()
            if entry is None:
                return
            self.running += 1
            entry.item.slot.begin_prefill()
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
