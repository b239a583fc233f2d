"""Brings engines to the weights that were named.

Answers the swap of a model's weights under load: engines change over a few at
a time, so that the others carry the requests meanwhile. All orders carry the
term of the leader as their fence and the count of orders that the engine has
accepted, so that one that is carried out late changes nothing.
"""

from __future__ import annotations

import logging
import math
import typing

import anyio
import anyio.abc
import attrs

from cactusstile.platform import calls
from cactusstile.platform import client as clients
from cactusstile.sites import model

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.consensus import replica
    from cactusstile.platform import listings

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1
# Time between two looks at an engine that carries out an order.
POLL_INTERVAL_S = 0.1
# Time that gateways have to stop sending requests to an engine.
NOTICE_S = 0.05
# Part of the time until no request may begin on older weights within which all
# engines change over.
USED_PART = 0.75
# Time to load weights, beside others that load.
LOAD_S = 0.8
MIN_DRAIN_S = 0.3
# Time after which an order without an answer is sent again.
REPEAT_AFTER_S = 0.5
# Part of a model's engines that change over at once.
SHARE_AT_ONCE = 0.5
MISDIRECTED = 421
FENCED_OFF = 412


@attrs.frozen
class Swap:
    """An engine that is to load weights."""

    target: model.Target
    weights: model.Weights


def next_swaps(
    engines: collections.abc.Sequence[model.Target],
    wanted: collections.abc.Mapping[str, int],
    done: collections.abc.Set[tuple[tuple[str, int], str, int]],
    under_way: collections.abc.Set[tuple[str, int]],
) -> list[Swap]:
    """Returns the swaps to start now.

    Args:
      engines: All targets that are listed.
      wanted: Newest version of each model.
      done: Incarnation, model and version of swaps that were seen to end;
        the list tells of them later.
      under_way: Incarnations of engines with a swap under way.
    """
    swaps = []
    for name, version in wanted.items():
        holders = []
        lagging = []
        for target in engines:
            held = _held_version(target, name)
            if held is None or target.leaving:
                continue
            holders.append(target)
            if held >= version or target.incarnation in under_way:
                continue
            if (target.incarnation, name, version) in done:
                continue
            lagging.append(target)
        places = _places(len(holders))
        busy = sum(one.incarnation in under_way for one in holders)
        for target in lagging[: max(0, places - busy)]:
            swaps.append(Swap(target, model.Weights(name, version)))
    return swaps


def _places(engines: int) -> int:
    """Returns how many engines change over at once."""
    return max(1, round(SHARE_AT_ONCE * engines))


def drain_s(engines: int, limit_s: float) -> float:
    """Returns how long runs may go on before an engine changes over.

    Answers long streams at engines that change over: waiting for the last of
    them would keep others on older weights for too long.

    Args:
      engines: Engines that hold the model.
      limit_s: Time until no request may begin on older weights.

    >>> round(drain_s(9, 8.0), 2), drain_s(5, 2.0)
    (1.2, 0.3)
    """
    rounds = math.ceil(max(1, engines) / _places(engines))
    return max(MIN_DRAIN_S, USED_PART * limit_s / rounds - LOAD_S)


def _held_version(target: model.Target, name: str) -> int | None:
    for one in target.weights:
        if one.model == name:
            return one.version
    return None


class WeightsController:
    """Orders swaps while this replica leads.

    Attributes:
      done: Swaps that were seen to end.
      under_way: Incarnations of engines with a swap under way.
      fenced_off_term: Term in which an engine refused our fence.
    """

    def __init__(
        self,
        client: clients.Client,
        own_replica: replica.Replica,
        listed: collections.abc.Callable[[], tuple[model.Target, ...]],
        wanted: collections.abc.Callable[[], dict[str, int]],
        *,
        on_change: collections.abc.Callable[[], None],
        limit_s: float,
    ) -> None:
        """Prepares a controller; see `run`.

        Args:
          client: Makes the calls.
          own_replica: Leads while engines are ordered.
          listed: Returns all targets.
          wanted: Returns the newest version of each model.
          on_change: Called when a swap starts or ends.
          limit_s: Time until no request may begin on older weights.
        """
        self.client = client
        self.replica = own_replica
        self.listed = listed
        self.wanted = wanted
        self.on_change = on_change
        self.limit_s = limit_s
        self.done: set[tuple[tuple[str, int], str, int]] = set()
        self.under_way: set[tuple[str, int]] = set()
        self.fenced_off_term = -1

    async def run(self, group: anyio.abc.TaskGroup) -> None:
        """Starts swaps in `group` for as long as the process runs."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if not self._may_order():
                continue
            engines = self.listed()
            self._forget(engines)
            swaps = next_swaps(
                engines, self.wanted(), self.done, self.under_way
            )
            for swap in swaps:
                self.under_way.add(swap.target.incarnation)
                group.start_soon(self._run_swap, swap)
            if swaps:
                self.on_change()

    def overlay(
        self, listed: tuple[model.Target, ...]
    ) -> tuple[model.Target, ...]:
        """Returns targets with what this controller knows before the list."""
        found = []
        for target in listed:
            weights = []
            for one in target.weights:
                version = one.version
                for incarnation, name, done in self.done:
                    if (incarnation, name) == (target.incarnation, one.model):
                        version = max(version, done)
                weights.append(model.Weights(one.model, version))
            found.append(
                attrs.evolve(
                    target,
                    weights=tuple(weights),
                    swapping=target.incarnation in self.under_way,
                )
            )
        return tuple(found)

    def _may_order(self) -> bool:
        if not self.replica.is_leader:
            return False
        return self.replica.status().term != self.fenced_off_term

    def _forget(self, engines: tuple[model.Target, ...]) -> None:
        """Forgets swaps of engines that are gone."""
        present = {one.incarnation for one in engines}
        self.done = {one for one in self.done if one[0] in present}

    async def _run_swap(self, swap: Swap) -> None:
        """Orders one swap and follows it to its end."""
        started_s = anyio.current_time()
        outcome = "given_up"
        try:
            outcome = await self._follow(swap)
        except clients.CallError as error:
            outcome = str(error)
        finally:
            self.under_way.discard(swap.target.incarnation)
            self.on_change()
        logger.info(
            "a swap of weights ended",
            extra={
                "target": swap.target.id,
                "model": swap.weights.model,
                "version": swap.weights.version,
                "outcome": outcome,
                "took_ms": round((anyio.current_time() - started_s) * 1000),
            },
        )

    async def _follow(self, swap: Swap) -> str:
        """Orders until the engine reports the weights; returns the outcome.

        Raises:
          CallError: The engine cannot be asked.
        """
        ordered_s = float("-inf")
        await anyio.sleep(NOTICE_S)
        drained_by_s = anyio.current_time() + drain_s(
            self._count_holders(swap.weights.model), self.limit_s
        )
        while self._may_order():
            report = await self.client.report(swap.target)
            if _has(report, swap.weights):
                self.done.add(
                    (
                        swap.target.incarnation,
                        swap.weights.model,
                        swap.weights.version,
                    )
                )
                return "done"
            now_s = anyio.current_time()
            due = now_s - ordered_s >= REPEAT_AFTER_S
            due = due and (not report.requests or now_s >= drained_by_s)
            if due and not report.ordered:
                ordered_s = now_s
                status = await self._order(swap, report)
                if status in (FENCED_OFF, MISDIRECTED):
                    return f"refused_{status}"
            await anyio.sleep(POLL_INTERVAL_S)
        return "not_leader"

    def _count_holders(self, name: str) -> int:
        found = 0
        for target in self.listed():
            found += _held_version(target, name) is not None
        return found

    async def _order(self, swap: Swap, report: listings.Report) -> int:
        """Sends one order; returns the status of its answer, 0 for none."""
        status = self.replica.status()
        if not self._may_order():
            return 0
        request = calls.swap_request(
            swap.target,
            swap.weights,
            mode=_mode(report),
            holder=self.replica.settings.name,
            fence=status.term,
            expected_orders=report.orders,
        )
        try:
            answered = await self.client.order(swap.target, request)
        except clients.CallError as error:
            logger.info(
                "an order was left without an answer",
                extra={"target": swap.target.id, "error": str(error)},
            )
            return 0
        if answered == FENCED_OFF:
            self.fenced_off_term = status.term
        logger.info(
            "an order was answered",
            extra={
                "target": swap.target.id,
                "status": answered,
                "fence": status.term,
                "expected_orders": report.orders,
            },
        )
        return answered


def _mode(report: listings.Report) -> calls.SwapMode:
    """Returns what becomes of runs that outlast the drain.

    They go on, so that their callers lose nothing; what they generate from
    then on mixes weights, which is why they are few.
    """
    if report.requests:
        return calls.SwapMode.GO_ON
    return calls.SwapMode.FINISH_FIRST


def _has(report: listings.Report, wanted: model.Weights) -> bool:
    for one in report.weights:
        if one.model == wanted.model:
            return one.version >= wanted.version
    return False
