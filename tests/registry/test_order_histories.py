"""Random histories of swap orders that engines execute late."""

from __future__ import annotations

import json
import typing

import attrs
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies
from tests.registry import test_weights

from cactusstile.platform import calls
from cactusstile.registry import swap_plan

ROUNDS_TO_SETTLE = 4
Order = dict[str, typing.Any]


@attrs.define
class Engine:
    """Model of an engine that may execute orders late.

    Attributes:
      version: Version of the weights that it holds.
      orders: Count of the orders that it accepted since its start.
      fence: Highest fence that it received since its start.
      late: Orders that were received but not yet executed.
    """

    version: int = 1
    orders: int = 0
    fence: int = 0
    late: list[Order] = attrs.field(factory=list)

    def execute(self, order: Order) -> None:
        if order["fence"] < self.fence:
            return
        self.fence = order["fence"]
        if order.get("expect", self.orders) != self.orders:
            return
        self.orders += 1
        self.version = order["version"]


class OrderHistories(stateful.RuleBasedStateMachine):
    """The present leader, a replaced one, and an engine with late orders."""

    with_expected_orders = True

    def __init__(self) -> None:
        super().__init__()
        self.engine = Engine()
        self.newest = 1
        self.term = 1
        self.replaced_leader_newest = 1
        self.replaced_leader_order_count = 0
        self.highest = 1

    def _build_order(
        self, term: int, newest: int, expected: int
    ) -> Order | None:
        """Returns the order that the controller's code builds; None if none."""
        listed = test_weights.engine(0, self.engine.version)
        swaps = swap_plan.next_swaps([listed], {"m": newest}, set(), set())
        if not swaps:
            return None
        request = calls.swap_request(
            swaps[0].target,
            swaps[0].weights,
            mode=calls.SwapMode.GO_ON,
            holder=f"leader-{term}",
            fence=term,
            expected_orders=expected,
        )
        order: Order = json.loads(request.body)
        if not self.with_expected_orders:
            del order["expect"]
        return order

    def _send(self, order: Order | None, late: bool) -> None:
        if order is None:
            return
        if late:
            self.engine.late.append(order)
            return
        self.engine.execute(order)

    @stateful.rule()
    def name_weights(self) -> None:
        self.newest += 1

    @stateful.rule()
    def replace_leader(self) -> None:
        """The replaced leader keeps its outdated view."""
        self.replaced_leader_newest = self.newest
        self.replaced_leader_order_count = self.engine.orders
        self.term += 1

    @stateful.rule(late=strategies.booleans())
    def leader_orders(self, late: bool) -> None:
        self._send(
            self._build_order(self.term, self.newest, self.engine.orders), late
        )

    @stateful.rule(late=strategies.booleans())
    def replaced_leader_orders(self, late: bool) -> None:
        order = self._build_order(
            max(1, self.term - 1),
            self.replaced_leader_newest,
            self.replaced_leader_order_count,
        )
        self._send(order, late)

    @stateful.precondition(lambda self: self.engine.late)
    @stateful.rule(which=strategies.integers(0, 100))
    def act_late(self, which: int) -> None:
        late = self.engine.late
        self.engine.execute(late.pop(which % len(late)))

    @stateful.invariant()
    def weights_never_go_back(self) -> None:
        assert self.engine.version >= self.highest
        self.highest = self.engine.version

    def teardown(self) -> None:
        """Checks that the engine reaches the newest weights in the end."""
        for order in self.engine.late:
            self.engine.execute(order)
        for _ in range(ROUNDS_TO_SETTLE):
            self.leader_orders(late=False)
        assert self.engine.version == self.newest


class OrdersWithoutCount(OrderHistories):
    """The same histories with orders that lack the count of earlier orders."""

    with_expected_orders = False


SETTINGS = hypothesis.settings(
    max_examples=600, stateful_step_count=30, derandomize=True, deadline=None
)


def test_late_orders_never_bring_older_weights() -> None:
    stateful.run_state_machine_as_test(OrderHistories, settings=SETTINGS)


def test_orders_without_a_count_restore_older_weights() -> None:
    """Checks that the histories detect orders without a count."""
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            OrdersWithoutCount, settings=SETTINGS
        )
