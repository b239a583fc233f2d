from __future__ import annotations

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from tests.consensus import simulated_disk
from tests.consensus import simulation

from cactusstile.consensus import membership

NAMES = ["a", "b", "c", "d", "e"]
names = strategies.sampled_from(NAMES)
pairs = strategies.lists(names, min_size=2, max_size=2, unique=True)


class FaultyGroup(stateful.RuleBasedStateMachine):
    """Arbitrary faults; the simulation checks safety after every event."""

    @stateful.initialize(
        seed=strategies.integers(0, 2**32),
        loss=strategies.sampled_from([0.0, 0.1, 0.3]),
        delay_s=strategies.sampled_from([0.02, 0.2, 0.6]),
        sync_chance=strategies.sampled_from([0.03, 0.1, 0.5, 1.0]),
    )
    def found(
        self, seed: int, loss: float, delay_s: float, sync_chance: float
    ) -> None:
        self.group = simulation.Simulation(
            random.Random(seed), loss, delay_s, sync_chance
        )
        self.group.bootstrap(NAMES[:3])
        for name in NAMES[3:]:
            disk = simulated_disk.Disk(1000 + ord(name))
            node = simulation.Node(name, disk, clock_rate=1.0)
            self.group.nodes[name] = node
            self.group.start(node)
        self.group.advance(0.8)

    @stateful.rule(duration_s=strategies.sampled_from([0.05, 0.3, 1.0]))
    def work(self, duration_s: float) -> None:
        while duration_s > 0:
            duration_s -= 0.05
            self.group.advance(0.05)
            for node in self.group.nodes.values():
                self.group.propose(node)
                self.group.read(node)

    @stateful.rule(duration_s=strategies.sampled_from([1.0, 3.0]))
    def storm(self, duration_s: float) -> None:
        self.group.run_with_faults(duration_s)

    @stateful.rule(name=names)
    def crash(self, name: str) -> None:
        self.group.crash(self.group.nodes[name])

    @stateful.rule(name=names)
    def restart(self, name: str) -> None:
        node = self.group.nodes[name]
        if node.state is None:
            self.group.start(node)

    @stateful.rule(name=names)
    def lose_disk(self, name: str) -> None:
        self.group.lose_disk(self.group.nodes[name])

    @stateful.rule(name=names)
    def freeze(self, name: str) -> None:
        self.group.nodes[name].frozen = True

    @stateful.rule(name=names)
    def thaw(self, name: str) -> None:
        self.group.nodes[name].frozen = False

    @stateful.rule(pair=pairs, both=strategies.booleans())
    def cut(self, pair: list[str], both: bool) -> None:
        self.group.blocked_links.add((pair[0], pair[1]))
        if both:
            self.group.blocked_links.add((pair[1], pair[0]))

    @stateful.rule(name=names)
    def isolate(self, name: str) -> None:
        for other in NAMES:
            self.group.blocked_links |= {(name, other), (other, name)}

    @stateful.rule()
    def reconnect(self) -> None:
        self.group.blocked_links.clear()

    @stateful.rule(name=names)
    def compact(self, name: str) -> None:
        self.group.compact(self.group.nodes[name])

    @stateful.rule(name=names)
    def repair(self, name: str) -> None:
        self.group.repair(name)

    @stateful.rule(name=names)
    def remove(self, name: str) -> None:
        node = self.group.nodes[name]
        for leader in self.group.nodes.values():
            self.group.change(leader, membership.Remove(node.id))

    @stateful.rule(name=names)
    def transfer(self, name: str) -> None:
        self.group.transfer(self.group.nodes[name])

    @stateful.invariant()
    def logs_match(self) -> None:
        if hasattr(self, "group"):
            self.group.check_logs()

    def teardown(self) -> None:
        if not hasattr(self, "group"):
            return
        self.group.heal()
        if not self.group.can_elect_leader():
            return
        self.group.max_delay_s = 0.02
        self.group.sync_probability = 0.5
        self.group.advance(5.0)
        self.group.check_logs()
        if not self.group.can_elect_leader():
            return
        leader = self.group.leader()
        assert leader is not None, "no leader after all faults healed"
        self.group.propose(leader)
        before = max(self.group.committed)
        self.group.advance(0.5)
        assert max(self.group.committed) > before


FaultyGroup.TestCase.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=30,
    derandomize=True,
    phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
test_faulty_group_stays_safe = FaultyGroup.TestCase
