"""Gateways that spend retry budgets under faults, in plain loop times.

Every request is rejected where a burst rejects, and then asks for a retry. The
list of gateways is that of a leader, which knows the connected ones only.
"""

from __future__ import annotations

import random

import attrs
from tests.support import retry_rule

from cactusstile.gateway import budget

RATIO = 0.2
SLACK = 58.0
WINDOW_S = 10.0
STEP_S = 0.1
STEPS_PER_CONFIRMATION = 4
MAX_REQUESTS_PER_STEP = 6
RECONNECT_S = 1.5
DURATION_S = 90.0


def _new_budget() -> budget.RetryBudget:
    return budget.RetryBudget(RATIO, WINDOW_S, SLACK)


@attrs.define(eq=False)
class Gateway:
    """A gateway; each start gives it a new budget.

    Attributes:
      budget: Budget of the running process.
      up_s: Time from which it runs.
      connects_s: Time from which it follows the leader, if there is one.
    """

    budget: budget.RetryBudget = attrs.field(factory=_new_budget)
    up_s: float = 0.0
    connects_s: float = 0.0

    def restart(self, up_s: float, connects_s: float) -> None:
        """Kills the process; a new one runs from `up_s`."""
        self.budget = _new_budget()
        self.budget.known_since_s = up_s
        self.up_s = up_s
        self.connects_s = connects_s


@attrs.define
class Model:
    """A site under random faults.

    Attributes:
      random: Draws faults and load.
      gateways: All gateways.
      leader_s: Time from which there is a leader.
      now_s: Time of the current step.
      rejects: Whether requests are rejected in the current burst.
      rate: Requests of each gateway in a step of the current burst.
      burst_until_s: End of the current burst or pause.
      sent: Times of all requests.
      retries: Times of all retries.
    """

    random: random.Random
    gateways: list[Gateway]
    leader_s: float = 0.0
    now_s: float = 0.0
    rejects: bool = False
    rate: int = 0
    burst_until_s: float = 0.0
    sent: list[float] = attrs.field(factory=list)
    retries: list[float] = attrs.field(factory=list)

    def run(self, *faults: str) -> float:
        """Runs the site; returns the most retries beyond the rule.

        Args:
          faults: Names of the methods that cause faults.
        """
        step = 0
        while self.now_s < DURATION_S:
            if faults and self.random.random() < 0.02:
                getattr(self, self.random.choice(faults))()
            if step % STEPS_PER_CONFIRMATION == 0:
                self._confirm()
            self._load()
            step += 1
            self.now_s += STEP_S
        return retry_rule.most_beyond(
            self.sent,
            self.retries,
            ratio=RATIO,
            slack=SLACK,
            window_s=WINDOW_S,
        )

    def kill(self) -> None:
        """Kills and restarts one gateway."""
        self._restart(self.random.choice(self.gateways))

    def kill_all(self) -> None:
        """Kills and restarts all gateways and control."""
        self.elect()
        for gateway in self.gateways:
            self._restart(gateway)

    def elect(self) -> None:
        """Ends the leader; gateways reconnect to the next one by and by."""
        without_leader_s = self.random.choice((0.3, 2.0, 9.0, 25.0))
        self.leader_s = self.now_s + without_leader_s
        for gateway in self.gateways:
            connects_s = self.leader_s + self.random.uniform(0, RECONNECT_S)
            gateway.connects_s = max(gateway.connects_s, connects_s)

    def add(self) -> None:
        """Adds gateways."""
        for _ in range(self.random.randint(1, 4)):
            gateway = Gateway()
            self._restart(gateway)
            self.gateways.append(gateway)

    def remove(self) -> None:
        """Removes a gateway for good."""
        if len(self.gateways) > 1:
            self.gateways.remove(self.random.choice(self.gateways))

    def cut_off(self) -> None:
        """Cuts a gateway off from control, but not from callers."""
        gateway = self.random.choice(self.gateways)
        gateway.connects_s = self.now_s + self.random.choice((2.0, 12.0, 40.0))

    def _restart(self, gateway: Gateway) -> None:
        up_s = self.now_s + self.random.uniform(0.2, 1.0)
        connects_s = max(up_s, self.leader_s)
        connects_s += self.random.uniform(0, RECONNECT_S)
        gateway.restart(up_s, max(gateway.connects_s, connects_s))

    def _confirm(self) -> None:
        """Sends the list of the connected gateways to each of them."""
        connected = []
        for gateway in self.gateways:
            if max(self.leader_s, gateway.connects_s) <= self.now_s:
                connected.append(gateway)
        for gateway in connected:
            gateway.budget.sharers.confirm(len(connected), self.now_s)

    def _load(self) -> None:
        if self.now_s >= self.burst_until_s:
            self.rate = self.random.choice((0, 0, 1, MAX_REQUESTS_PER_STEP))
            self.rejects = self.random.random() < 0.7
            self.burst_until_s = self.now_s + self.random.choice((0.5, 2, 6))
        for gateway in self.gateways:
            if self.now_s < gateway.up_s:
                continue
            for _ in range(self.rate):
                self.sent.append(self.now_s)
                gateway.budget.count_request("s", self.now_s)
            self._retry(gateway)

    def _retry(self, gateway: Gateway) -> None:
        """Lets the rejected requests of a step ask until one is denied."""
        for _ in range(self.rate * self.rejects):
            if not gateway.budget.try_spend("s", self.now_s):
                return
            self.retries.append(self.now_s)


def run(seed: int, *faults: str) -> float:
    """Runs a site of up to eight gateways; see `Model.run`."""
    drawn = random.Random(seed)
    gateways = [Gateway() for _ in range(drawn.randint(1, 8))]
    return Model(drawn, gateways).run(*faults)
