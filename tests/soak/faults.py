"""Draws the faults of a soak run from its seed and injects them."""

from __future__ import annotations

import collections.abc
import random
import signal
import typing

import anyio
import anyio.abc
import anyio.lowlevel
import attrs
from tests.soak import history as histories
from tests.soak import nodes
from tests.soak import operators
from tests.soak import stand_ins

# Seeds divisible by this number have planned operations only.
PLANNED_EVERY = 5
# Probability that a fault is followed by another of its kind.
REPEAT_PROBABILITY = 0.3
REPEAT_GAP_S = 0.4
DRAIN_S = 3.0
GARBAGE_BYTES = 40
REGISTRY_FAULTS = (
    "kill",
    "pause",
    "terminate",
    "cut",
    "cut_outgoing",
    "cut_incoming",
    "torn_tail",
    "full_disk",
    "reset",
    "silence",
    "delay",
)
GATEWAY_FAULTS = ("kill", "pause", "terminate", "reset", "silence", "delay")
TARGET_FAULTS = ("target_crash", "target_drain", "target_fails", "target_cut")
SITE_FAULTS = ("kill_all", "list", "weights", "storm_of_changes")
PLANNED = ("terminate", "target_drain", "weights", "storm_of_changes")
# Every seed has one target that names a limit, which callers must not notice.
LIMIT = "target_limit"
# Every seed has one evacuation of a data centre.
EVACUATION = "evacuation"
EVACUATION_S = 5.0
EVACUATED = "there"
LIMIT_S = 9.0
PLAIN = "plain"
MAX_LIMIT_START_S = 2.0
MAX_LIMIT_PER_S = 1.0


@attrs.frozen
class Fault:
    """One fault of a plan.

    Attributes:
      kind: Kind of the fault, which names the method that injects it.
      subject: Affected process; empty for faults of targets or the site.
      start_s: Start in seconds after the start of the plan.
      duration_s: Duration in seconds.
      strength: From 0 to 1; the meaning depends on the kind.
    """

    kind: str
    subject: str
    start_s: float
    duration_s: float
    strength: float


def draw_plan(
    seed: int,
    registries: collections.abc.Sequence[str],
    gateways: collections.abc.Sequence[str],
    total_s: float,
) -> list[Fault]:
    """Returns the faults of a seed, ordered by start."""
    rng = random.Random(seed)
    planned_only = seed % PLANNED_EVERY == 0
    plan: list[Fault] = []
    while not plan or plan[-1].start_s < total_s:
        previous_s = plan[-1].start_s if plan else 0.0
        start_s = previous_s + rng.expovariate(1.0)
        kind, subject = _draw_kind(rng, registries, gateways, planned_only)
        duration_s = rng.choice((0.2, 0.8, 2.0, 3.5)) * rng.uniform(0.7, 1.3)
        count = 1
        while rng.random() < REPEAT_PROBABILITY:
            count += 1
        for number in range(count):
            plan.append(
                Fault(
                    kind,
                    subject,
                    start_s + number * REPEAT_GAP_S,
                    duration_s,
                    rng.random(),
                )
            )
    if not planned_only:
        # The site tolerates the loss of one disk, so at most one is lost.
        lost_disk = Fault("lose_disk", rng.choice(registries), 0.0, 0.5, 0.0)
        plan.append(attrs.evolve(lost_disk, start_s=rng.uniform(0, total_s)))
    # Drawn apart, so that the other faults of a seed stay as they were.
    apart = random.Random(f"{seed}/{LIMIT}")
    start_s = apart.uniform(0, MAX_LIMIT_START_S)
    plan.append(Fault(LIMIT, "", start_s, LIMIT_S, apart.random()))
    apart = random.Random(f"{seed}/{EVACUATION}")
    start_s = apart.uniform(0, MAX_LIMIT_START_S)
    plan.append(Fault(EVACUATION, "", start_s, EVACUATION_S, 0.0))
    return sorted(plan, key=lambda fault: fault.start_s)


def _draw_kind(
    rng: random.Random,
    registries: collections.abc.Sequence[str],
    gateways: collections.abc.Sequence[str],
    planned_only: bool,
) -> tuple[str, str]:
    if planned_only:
        kind = rng.choice(PLANNED)
        subject = ""
        if kind == "terminate":
            subject = rng.choice((*registries, *gateways))
        return kind, subject
    selector = rng.random()
    if selector < 0.4:
        return rng.choice(REGISTRY_FAULTS), rng.choice(registries)
    if selector < 0.7:
        return rng.choice(GATEWAY_FAULTS), rng.choice(gateways)
    if selector < 0.9:
        return rng.choice(TARGET_FAULTS), ""
    return rng.choice(SITE_FAULTS), ""


@attrs.define
class Injector:
    """Injects the faults of a plan.

    Attributes:
      site: The processes.
      listing: The list of targets.
      operators: Operators that change the configuration and weights.
      history: Records the faults.
      open_target: Opens another target of a service.
      random: Draws targets and garbage bytes.
      restart_blocks: Number of faults that block a restart, by process.
    """

    site: nodes.Nodes
    listing: stand_ins.Listing
    operators: operators.Operators
    history: histories.History
    open_target: collections.abc.Callable[[str], None]
    random: random.Random
    restart_blocks: dict[str, int] = attrs.field(factory=dict)

    async def run(self, plan: collections.abc.Sequence[Fault]) -> None:
        """Injects all faults; returns once the last has ended."""
        started_s = anyio.current_time()
        async with anyio.create_task_group() as group:
            for fault in plan:
                wait_s = started_s + fault.start_s - anyio.current_time()
                await anyio.sleep(max(0.0, wait_s))
                group.start_soon(self._inject, fault)

    async def _inject(self, fault: Fault) -> None:
        injected = histories.InjectedFault(
            fault.kind,
            fault.subject,
            anyio.current_time(),
            planned=fault.kind in (*PLANNED, LIMIT, EVACUATION),
        )
        self.history.injected_faults.append(injected)
        inject: typing.Any = getattr(self, f"_{fault.kind}")
        try:
            await inject(fault)
        finally:
            injected.to_s = anyio.current_time()

    async def _kill(self, fault: Fault) -> None:
        self.site.nodes[fault.subject].end(signal.SIGKILL)
        await self._block_restart(fault.subject, fault.duration_s / 2)

    async def _block_restart(self, name: str, duration_s: float) -> None:
        """Blocks the restart of a process for a time."""
        node = self.site.nodes[name]
        self.restart_blocks[name] = self.restart_blocks.get(name, 0) + 1
        node.restart_blocked = True
        await anyio.sleep(duration_s)
        self.restart_blocks[name] -= 1
        node.restart_blocked = self.restart_blocks[name] > 0

    async def _pause(self, fault: Fault) -> None:
        process = self.site.nodes[fault.subject].process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal.SIGSTOP)
        await anyio.sleep(fault.duration_s)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    async def _terminate(self, fault: Fault) -> None:
        await self.site.terminate(fault.subject)

    async def _kill_all(self, fault: Fault) -> None:
        for node in self.site.nodes.values():
            if fault.strength < 0.5 or node.role == "registry":
                node.end(signal.SIGKILL)
        await anyio.sleep(nodes.RESTART_DELAY_S)

    async def _lose_disk(self, fault: Fault) -> None:
        await self._change_disk(
            fault, lambda: self.site.lose_disk(fault.subject)
        )

    async def _torn_tail(self, fault: Fault) -> None:
        garbage = self.random.randbytes(1 + int(fault.strength * GARBAGE_BYTES))
        await self._change_disk(
            fault, lambda: self.site.tear_tail(fault.subject, garbage)
        )

    async def _change_disk(
        self, fault: Fault, change: collections.abc.Callable[[], None]
    ) -> None:
        """Kills a process and changes its disk before the restart."""
        node = self.site.nodes[fault.subject]
        process = node.process
        async with anyio.create_task_group() as group:
            group.start_soon(
                self._block_restart, fault.subject, fault.duration_s
            )
            await anyio.lowlevel.checkpoint()
            node.end(signal.SIGKILL)
            if process is not None:
                await process.wait()
            change()

    async def _full_disk(self, fault: Fault) -> None:
        node = self.site.nodes[fault.subject]
        node.tolerated_faults += 1
        self.site.fill_disk(fault.subject, full=True)
        await anyio.sleep(fault.duration_s)
        self.site.fill_disk(fault.subject, full=False)
        await anyio.sleep(nodes.RESTART_DELAY_S)
        node.tolerated_faults -= 1

    async def _cut(self, fault: Fault) -> None:
        await self._block_links(
            fault, ((fault.subject, ""), ("", fault.subject))
        )

    async def _cut_outgoing(self, fault: Fault) -> None:
        await self._block_links(fault, ((fault.subject, ""),))

    async def _cut_incoming(self, fault: Fault) -> None:
        await self._block_links(fault, (("", fault.subject),))

    async def _block_links(
        self, fault: Fault, pairs: tuple[tuple[str, str], ...]
    ) -> None:
        blocked = self.site.links.blocked
        blocked.update(pairs)
        await anyio.sleep(fault.duration_s)
        blocked.difference_update(pairs)

    async def _reset(self, fault: Fault) -> None:
        for relay in self.site.relays[fault.subject]:
            relay.reset()

    async def _silence(self, fault: Fault) -> None:
        for relay in self.site.relays[fault.subject]:
            relay.silence()

    async def _delay(self, fault: Fault) -> None:
        delays_s = self.site.links.delays_s
        delays_s[fault.subject] = 0.1 * fault.strength
        await anyio.sleep(fault.duration_s)
        delays_s.pop(fault.subject, None)

    def _pick_target(self) -> stand_ins.Target:
        present = [
            target for target in self.listing.targets if not target.leaving
        ]
        return self.random.choice(present)

    async def _target_crash(self, fault: Fault) -> None:
        """Ends a target; its entry stays in the list for a time."""
        target = self._pick_target()
        target.leaving = False
        target.scope.cancel()
        self.open_target(target.service)
        await anyio.sleep(fault.duration_s)
        self._unlist(target)

    async def _target_drain(self, fault: Fault) -> None:
        target = self._pick_target()
        self.open_target(target.service)
        target.leaving = True
        await anyio.sleep(DRAIN_S + fault.duration_s)
        self._unlist(target)
        target.scope.cancel()

    def _unlist(self, target: stand_ins.Target) -> None:
        if target in self.listing.targets:
            self.listing.targets.remove(target)

    async def _target_fails(self, fault: Fault) -> None:
        target = self._pick_target()
        target.failure_fraction = fault.strength
        await anyio.sleep(fault.duration_s)
        target.failure_fraction = 0.0

    async def _target_limit(self, fault: Fault) -> None:
        """Lets a target name how many requests a second it takes."""
        busy = []
        for target in self.listing.targets:
            if target.service in (PLAIN, stand_ins.ENGINE):
                busy.append(target)
        target = busy[int(fault.strength * len(busy))]
        target.limit_per_s = round(fault.strength * MAX_LIMIT_PER_S, 2)
        named = histories.NamedLimit(
            target.id, target.limit_per_s, anyio.current_time()
        )
        self.history.limits.append(named)
        await anyio.sleep(fault.duration_s)
        target.limit_per_s = None
        named.to_s = anyio.current_time()

    async def _target_cut(self, fault: Fault) -> None:
        """Partitions a target; bytes sent to it arrive late."""
        target = self._pick_target()
        await self._block_links(fault, ((target.id, ""), ("", target.id)))

    async def _list(self, fault: Fault) -> None:
        self.listing.fault = ("too_many", "silent", "torn")[
            int(fault.strength * 3)
        ]
        await anyio.sleep(fault.duration_s)
        self.listing.fault = ""

    async def _evacuation(self, fault: Fault) -> None:
        await self.operators.evacuate(EVACUATED, fault.duration_s)

    async def _weights(self, fault: Fault) -> None:
        await self.operators.name_weights()

    async def _storm_of_changes(self, fault: Fault) -> None:
        async with anyio.create_task_group() as group:
            for _ in range(2 + int(fault.strength * 8)):
                group.start_soon(self.operators.make_change)
