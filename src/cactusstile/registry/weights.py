"""Rolls out the newest weights of each model to the engines.

The weights of a model change under load: a fraction of the engines swaps at a
time, while the other engines serve the requests. Each order carries the
leader's term as a fence and the number of orders that the engine has accepted,
so that an order which arrives late has no effect.
"""

from __future__ import annotations

import logging
import typing

import anyio
import anyio.abc
import attrs

from cactusstile import guards
from cactusstile.platform import calls
from cactusstile.platform import client as clients
from cactusstile.registry import swap_plan
from cactusstile.sites import model

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.consensus import replica
    from cactusstile.platform import listings

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1
# Interval at which the report of a swapping engine is read.
POLL_INTERVAL_S = 0.1
# Time after which an engine whose swap failed is tried again. It doubles with
# each further failure, up to MAX_DOUBLINGS times.
RETRY_BASE_S = 0.5
MAX_DOUBLINGS = 3
# Time for gateways to stop sending requests to an engine.
GATEWAY_NOTICE_S = 0.05
# Time after which an unanswered order is sent again.
REPEAT_AFTER_S = 0.5
# Time for an order and the load, after which a try gives its place up.
SWAP_TIMEOUT_S = 1.6
BAD_REQUEST = 400
MISDIRECTED = 421
FENCED_OFF = 412
DONE = "done"


class WeightsController:
    """Orders swaps of weights while this replica is the leader.

    Attributes:
      completed: Incarnation, model and version of the completed swaps.
      in_progress: Incarnations of the engines with a swap in progress.
      draining: Incarnations of those that were reached, to which gateways send
        no more requests.
      retry_at_s: Loop time before which an engine is not tried again, by the
        incarnation of engines whose last try failed.
      failures: Consecutive failed tries of an engine, by its incarnation.
      drain_deadlines: Loop time at which the drain of an engine ends, by its
        incarnation, until its swap is completed.
      fenced_off_term: Term whose fence an engine refused; -1 for none.
    """

    def __init__(
        self,
        client: clients.Client,
        own_replica: replica.Replica,
        list_targets: collections.abc.Callable[[], tuple[model.Target, ...]],
        wanted_versions: collections.abc.Callable[[], dict[str, int]],
        *,
        on_change: collections.abc.Callable[[], None],
        rollout_limit_s: float,
    ) -> None:
        """Creates a controller; see `run`.

        Args:
          client: Makes the calls.
          own_replica: This process's replica; its term is the fence.
          list_targets: Returns all targets.
          wanted_versions: Returns the newest version by model.
          on_change: Called when a swap starts or ends.
          rollout_limit_s: Time after which no request may start on older
            weights.
        """
        self.client = client
        self.replica = own_replica
        self.list_targets = list_targets
        self.wanted_versions = wanted_versions
        self.on_change = on_change
        self.rollout_limit_s = rollout_limit_s
        self.completed: set[tuple[tuple[str, int], str, int]] = set()
        self.in_progress: set[tuple[str, int]] = set()
        self.draining: set[tuple[str, int]] = set()
        self.retry_at_s: dict[tuple[str, int], float] = {}
        self.failures: dict[tuple[str, int], int] = {}
        self.drain_deadlines: dict[tuple[str, int], float] = {}
        self.fenced_off_term = -1
        self._guard = guards.Guard("swaps of weights")

    async def run(self, group: anyio.abc.TaskGroup) -> None:
        """Starts swaps in `group` for as long as the process runs."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if not self._may_order():
                continue
            engines = self.list_targets()
            self._discard_gone_engines(engines)
            swaps = swap_plan.next_swaps(
                engines,
                self.wanted_versions(),
                self.completed,
                self.in_progress,
                retry_at_s=self.retry_at_s,
                now_s=anyio.current_time(),
            )
            for swap in swaps:
                self.in_progress.add(swap.target.incarnation)
                group.start_soon(self._guard.run, self._run_swap, swap)

    def with_swap_progress(
        self, targets: tuple[model.Target, ...]
    ) -> tuple[model.Target, ...]:
        """Returns targets updated with swaps that the list lacks as yet."""
        updated = []
        for target in targets:
            weights = []
            for held in target.weights:
                version = held.version
                for incarnation, name, completed_version in self.completed:
                    if (incarnation, name) == (target.incarnation, held.model):
                        version = max(version, completed_version)
                weights.append(model.Weights(held.model, version))
            updated.append(
                attrs.evolve(
                    target,
                    weights=tuple(weights),
                    swapping=target.incarnation in self.draining,
                )
            )
        return tuple(updated)

    def _may_order(self) -> bool:
        if not self.replica.is_leader:
            return False
        return self.replica.status().term != self.fenced_off_term

    def _may_order_in(self, term: int) -> bool:
        return self._may_order() and self.replica.status().term == term

    def _discard_gone_engines(self, engines: tuple[model.Target, ...]) -> None:
        """Discards what is known of engines that are not listed."""
        present = {entry.incarnation for entry in engines}
        for incarnation in self.retry_at_s.keys() - present:
            del self.retry_at_s[incarnation]
            self.failures.pop(incarnation, None)
        for incarnation in self.drain_deadlines.keys() - present:
            del self.drain_deadlines[incarnation]
        self.completed = {
            entry for entry in self.completed if entry[0] in present
        }

    async def _run_swap(self, swap: swap_plan.Swap) -> None:
        """Runs one swap and logs its outcome."""
        started_s = anyio.current_time()
        incarnation = swap.target.incarnation
        outcome = "given_up"
        try:
            outcome = await self._drive_swap(swap)
        except clients.CallError as error:
            outcome = str(error)
        finally:
            self._record_outcome(incarnation, outcome)
            self.in_progress.discard(incarnation)
            self.draining.discard(incarnation)
            self.on_change()
        logger.info(
            "swap of weights ended",
            extra={
                "target": swap.target.id,
                "model": swap.weights.model,
                "version": swap.weights.version,
                "outcome": outcome,
                "took_ms": round((anyio.current_time() - started_s) * 1000),
            },
        )

    def _record_outcome(
        self, incarnation: tuple[str, int], outcome: str
    ) -> None:
        """Records the end of a try; after failures the next one is later."""
        if outcome == DONE:
            self.retry_at_s.pop(incarnation, None)
            self.failures.pop(incarnation, None)
            return
        failures = self.failures.get(incarnation, 0)
        pause_s = RETRY_BASE_S * 2 ** min(failures, MAX_DOUBLINGS)
        self.failures[incarnation] = failures + 1
        self.retry_at_s[incarnation] = anyio.current_time() + pause_s

    async def _drive_swap(self, swap: swap_plan.Swap) -> str:
        """Sends orders until the engine reports the weights.

        Returns:
          The outcome for the log: `DONE`, "not_leader", "timeout" or "refused_"
          with the status of the answer.

        Raises:
          CallError: The report of the engine cannot be read.
        """
        await self.client.read_report(swap.target)
        self.draining.add(swap.target.incarnation)
        self.on_change()
        await anyio.sleep(GATEWAY_NOTICE_S)
        drain_deadline_s = self._begin_drain(swap)
        give_up_s = max(anyio.current_time(), drain_deadline_s) + SWAP_TIMEOUT_S
        last_order_s = float("-inf")
        while self._may_order():
            report = await self.client.read_report(swap.target)
            swap = self._with_newest(swap)
            if _holds_version(report, swap.weights):
                self._record_completed(swap)
                return DONE
            now_s = anyio.current_time()
            if now_s >= give_up_s:
                return "timeout"
            is_due = now_s - last_order_s >= REPEAT_AFTER_S
            is_drained = not report.requests or now_s >= drain_deadline_s
            if is_due and is_drained and not report.is_executing_order:
                last_order_s = now_s
                status = await self._send_order(swap, report)
                if status in (BAD_REQUEST, FENCED_OFF, MISDIRECTED):
                    return f"refused_{status}"
            await anyio.sleep(POLL_INTERVAL_S)
        return "not_leader"

    def _begin_drain(self, swap: swap_plan.Swap) -> float:
        """Returns the loop time until which the engine's runs may end.

        It counts from the first try: a swap that ended without an answer and
        is tried again must not wait for the runs again.
        """
        timeout_s = swap_plan.drain_timeout_s(
            self._count_holders(swap.weights.model), self.rollout_limit_s
        )
        deadline_s = anyio.current_time() + timeout_s
        return self.drain_deadlines.setdefault(
            swap.target.incarnation, deadline_s
        )

    def _with_newest(self, swap: swap_plan.Swap) -> swap_plan.Swap:
        """Returns a swap to the version that is the newest by now."""
        name = swap.weights.model
        version = self.wanted_versions().get(name, swap.weights.version)
        return attrs.evolve(swap, weights=model.Weights(name, version))

    def _record_completed(self, swap: swap_plan.Swap) -> None:
        incarnation = swap.target.incarnation
        weights = swap.weights
        self.completed.add((incarnation, weights.model, weights.version))
        self.drain_deadlines.pop(incarnation, None)

    def _count_holders(self, name: str) -> int:
        holder_count = 0
        for target in self.list_targets():
            holder_count += swap_plan.held_version(target, name) is not None
        return holder_count

    async def _send_order(
        self, swap: swap_plan.Swap, report: listings.Report
    ) -> int:
        """Sends one order; returns the status of the answer, 0 for none."""
        status = self.replica.status()
        if not self._may_order():
            return 0
        request = calls.swap_request(
            swap.target,
            swap.weights,
            mode=_choose_mode(report),
            holder=self.replica.settings.name,
            fence=status.term,
            expected_orders=report.orders,
        )
        try:
            answer_status = await self.client.send_order(
                swap.target, request, lambda: self._may_order_in(status.term)
            )
        except clients.CallError as error:
            logger.info(
                "order received no answer",
                extra={"target": swap.target.id, "error": str(error)},
            )
            return 0
        if answer_status == FENCED_OFF:
            self.fenced_off_term = status.term
        logger.info(
            "order answered",
            extra={
                "target": swap.target.id,
                "status": answer_status,
                "fence": status.term,
                "expected_orders": report.orders,
            },
        )
        return answer_status


def _choose_mode(report: listings.Report) -> calls.SwapMode:
    """Returns how an order treats the runs that outlast the drain.

    Such runs continue across the swap, so that no caller loses an answer.
    Their output mixes two versions of the weights, which is why the drain
    keeps their number low.
    """
    if report.requests:
        return calls.SwapMode.GO_ON
    return calls.SwapMode.FINISH_FIRST


def _holds_version(report: listings.Report, wanted: model.Weights) -> bool:
    for held in report.weights:
        if held.model == wanted.model:
            return held.version >= wanted.version
    return False
