"""Reconciles one engine with the state that the fleet declares."""

from __future__ import annotations

import logging
import random
import typing

import anyio
import attrs

from cactusstile.agent import metrics
from cactusstile.control import exceptions as control_exceptions
from cactusstile.controllers import desired
from cactusstile.controllers import exceptions
from cactusstile.targets import engine
from cactusstile.targets import exceptions as target_exceptions

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.agent import gate
    from cactusstile.agent import node
    from cactusstile.controllers import fencing

    WaitTurn = collections.abc.Callable[
        [desired.DesiredState], collections.abc.Awaitable[None]
    ]

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 0.5
MAX_RETRY_INTERVAL_S = 8.0
TICK_S = 0.25
FREEZE_LIMIT_S = 2.0
EXPECTED_CONFIRM_S = 0.5
CONFLICT = 409


@attrs.frozen
class Timing:
    """Timeouts and intervals of orders, in seconds.

    Attributes:
      order_timeout_s: Timeout for the response to an order.
      settle_timeout_s: Timeout for the effect of an order whose response was
        lost.
      expected_load_s: Expected duration of a weight load, for estimates.
      poll_interval_s: Time between two reads of the engine's state.
    """

    order_timeout_s: float = 300.0
    settle_timeout_s: float = 10.0
    expected_load_s: float = 5.0
    poll_interval_s: float = POLL_INTERVAL_S


class EngineController:
    """Controller of one engine; sends one order at a time."""

    def __init__(
        self,
        agent_node: node.Node,
        client: engine.EngineClient,
        version_gate: gate.VersionGate,
        fence: fencing.Fence,
        *,
        wait_turn: WaitTurn,
        timing: Timing | None = None,
    ) -> None:
        """Sends orders to `client` with the token of `fence`.

        Args:
          agent_node: State of the agent.
          client: Client of the engine.
          version_gate: Gate that blocks runs during an order.
          fence: Fencing token of this process.
          wait_turn: Returns once this target may load weights.
          timing: Timeouts and intervals; None for the defaults.
        """
        self._node = agent_node
        self._client = client
        self._gate = version_gate
        self._fence = fence
        self._wait_turn = wait_turn
        self._timing = timing or Timing()
        self._changed = anyio.Event()
        self._turn_scope = anyio.CancelScope()
        self._failures = 0
        agent_node.fleet_holder.observe(lambda _old, _new: self._wake())

    async def run(self) -> None:
        """Runs until cancelled or until a newer agent owns the target."""
        await self._node.fleet_holder.confirmed.wait()
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_for_freezes)
            await self._reconcile()
            group.cancel_scope.cancel()

    async def _reconcile(self) -> None:
        """Runs until a newer agent owns the target."""
        while True:
            pause_s = self._timing.poll_interval_s
            try:
                await self._fence.take()
                if await self._step():
                    pause_s = 0.0
                self._failures = 0
            except exceptions.SupersededError as error:
                self._node.stopping = True
                logger.warning("%s; this agent accepts no more work", error)
                return
            except (
                control_exceptions.ControlError,
                target_exceptions.TargetError,
            ) as error:
                pause_s = self._back_off(error)
            await self._pause(pause_s)

    def _wake(self) -> None:
        """Re-evaluates the fleet, also while waiting for a turn to load."""
        self._changed.set()
        self._turn_scope.cancel()

    async def _step(self) -> bool:
        """Reads the engine's state and sends at most one order.

        Returns:
          Whether the next step may follow immediately.
        """
        status = await self._read()
        desired_state = desired.find_desired(
            self._node.fleet, self._node.target
        )
        if desired_state is None:
            return False
        order = desired.next_order(desired_state, status, self._fence.number)
        if order is None:
            return False
        if desired.loads_weights(order):
            self._turn_scope = anyio.CancelScope()
            with self._turn_scope:
                await self._wait_turn(desired_state)
            if self._turn_scope.cancelled_caught:
                return True
        await self._order(order)
        return True

    async def _read(self) -> engine.Status:
        """Reads the engine's state and updates the gate."""
        try:
            status = await self._client.status()
        except target_exceptions.TargetError:
            self._gate.set_status(None)
            raise
        self._gate.set_status(status)
        self._node.admission.resize(status.slots)
        return status

    async def _order(self, order: engine.Order) -> None:
        expected_s = self._timing.expected_load_s
        async with self._gate.closed(expected_s):
            await self._fence.confirm()
            outcome = "done"
            try:
                await self._client.order(
                    order, timeout_s=self._timing.order_timeout_s
                )
            except target_exceptions.TargetStatusError as error:
                outcome = "refused"
                logger.warning("engine rejected an order: %s", error)
                if error.status == CONFLICT:
                    await self._fence.confirm()
                raise
            except target_exceptions.TargetError as error:
                outcome = "lost"
                logger.warning("no response to an order: %s", error)
                await self._settle(order)
            finally:
                metrics.ORDERS.labels(
                    self._node.target, order.kind, outcome
                ).inc()
                await self._read()
        logger.info("engine applied order: %s %s", order.kind, order.value)

    async def _settle(self, order: engine.Order) -> None:
        """Waits until an order whose response was lost takes effect.

        Raises:
          TargetError: If it does not take effect in time; the order will be
            sent again.
        """
        deadline_s = anyio.current_time() + self._timing.settle_timeout_s
        while True:
            await anyio.sleep(RETRY_INTERVAL_S)
            try:
                status = await self._client.status()
            except target_exceptions.TargetError:
                status = None
            if status is not None and has_taken_effect(order, status):
                return
            if status is not None and status.loading:
                continue
            if anyio.current_time() > deadline_s:
                raise target_exceptions.TargetError(
                    "the order did not take effect in time", sent=True
                )

    def _back_off(self, error: Exception) -> float:
        self._failures += 1
        if self._failures == 1:
            logger.warning(
                "could not reconcile the engine; retrying: %s", error
            )
        max_interval_s = RETRY_INTERVAL_S * 2.0 ** min(self._failures, 8)
        return random.uniform(0.5, 1.0) * min(
            max_interval_s, MAX_RETRY_INTERVAL_S
        )

    async def _pause(self, seconds: float) -> None:
        """Sleeps for `seconds` or until the fleet changes."""
        with anyio.move_on_after(seconds):
            await self._changed.wait()
        self._changed = anyio.Event()

    async def _watch_for_freezes(self) -> None:
        """Admits no run after a freeze before the token is confirmed."""
        while True:
            started_s = anyio.current_time()
            await anyio.sleep(TICK_S)
            slept_s = anyio.current_time() - started_s
            if slept_s > TICK_S + FREEZE_LIMIT_S:
                with self._gate.paused(EXPECTED_CONFIRM_S):
                    await self._confirm_after_freeze()

    async def _confirm_after_freeze(self) -> None:
        """Confirms the token and reads the engine's state, in that order."""
        logger.warning("process was frozen; confirming the fencing token")
        try:
            await self._fence.confirm()
            await self._read()
        except exceptions.SupersededError as error:
            self._gate.set_status(None)
            self._node.stopping = True
            logger.warning("%s; this agent accepts no more work", error)
        except control_exceptions.ControlError as error:
            self._gate.set_status(None)
            logger.warning("could not confirm the fencing token: %s", error)
        except target_exceptions.TargetError as error:
            logger.warning("could not read the engine's state: %s", error)


def has_taken_effect(order: engine.Order, status: engine.Status) -> bool:
    """Returns whether an order has taken effect according to `status`."""
    if order.kind == "model":
        return f"{status.model}@{status.version}" == order.value
    if order.kind == "version":
        return status.version == order.value
    if order.kind == "adapter":
        return order.value in status.adapters
    return status.role == order.value
