"""Faults of the soak: drawn from a seed, injected from outside."""

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

# Seeds with this remainder hold planned work alone.
PLANNED_EVERY = 5
# Chance that a fault is followed by another of its kind at once.
SERIES_SHARE = 0.3
SERIES_GAP_S = 0.4
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


@attrs.frozen
class Fault:
    """One fault of a plan.

    Attributes:
      kind: What is done.
      subject: Process that it is done to; empty for targets and the site.
      at_s: Time of its begin, from the first request.
      for_s: How long it lasts.
      strength: From 0 to 1; what it means depends on the kind.
    """

    kind: str
    subject: str
    at_s: float
    for_s: float
    strength: float


def draw_plan(
    seed: int,
    registries: collections.abc.Sequence[str],
    gateways: collections.abc.Sequence[str],
    duration_s: float,
) -> list[Fault]:
    """Returns the faults of a seed, ordered by their begin."""
    draw = random.Random(seed)
    planned_only = seed % PLANNED_EVERY == 0
    plan: list[Fault] = []
    while not plan or plan[-1].at_s < duration_s:
        began_s = plan[-1].at_s if plan else 0.0
        at_s = began_s + draw.expovariate(1.0)
        kind, subject = _draw_kind(draw, registries, gateways, planned_only)
        for_s = draw.choice((0.2, 0.8, 2.0, 3.5)) * draw.uniform(0.7, 1.3)
        count = 1
        while draw.random() < SERIES_SHARE:
            count += 1
        for number in range(count):
            plan.append(
                Fault(
                    kind,
                    subject,
                    at_s + number * SERIES_GAP_S,
                    for_s,
                    draw.random(),
                )
            )
    if not planned_only:
        # One disk is what the site bears; a second is never lost beside it.
        lost = Fault("lose_disk", draw.choice(registries), 0.0, 0.5, 0.0)
        plan.append(attrs.evolve(lost, at_s=draw.uniform(0, duration_s)))
    return sorted(plan, key=lambda one: one.at_s)


def _draw_kind(
    draw: random.Random,
    registries: collections.abc.Sequence[str],
    gateways: collections.abc.Sequence[str],
    planned_only: bool,
) -> tuple[str, str]:
    if planned_only:
        kind = draw.choice(PLANNED)
        subject = ""
        if kind == "terminate":
            subject = draw.choice((*registries, *gateways))
        return kind, subject
    where = draw.random()
    if where < 0.4:
        return draw.choice(REGISTRY_FAULTS), draw.choice(registries)
    if where < 0.7:
        return draw.choice(GATEWAY_FAULTS), draw.choice(gateways)
    if where < 0.9:
        return draw.choice(TARGET_FAULTS), ""
    return draw.choice(SITE_FAULTS), ""


@attrs.define
class Injector:
    """Carries out a plan.

    Attributes:
      site: The processes.
      listing: The list of targets.
      operators: Make changes on request.
      history: Takes the faults.
      replace: Opens another target of a service.
      random: Draws targets.
      down: Ends that hold a process down, by its name.
    """

    site: nodes.Nodes
    listing: stand_ins.Listing
    operators: operators.Operators
    history: histories.History
    replace: collections.abc.Callable[[str], None]
    random: random.Random
    down: dict[str, int] = attrs.field(factory=dict)

    async def run(self, plan: collections.abc.Sequence[Fault]) -> None:
        """Returns once all faults have ended."""
        began_s = anyio.current_time()
        async with anyio.create_task_group() as group:
            for fault in plan:
                wait_s = began_s + fault.at_s - anyio.current_time()
                await anyio.sleep(max(0.0, wait_s))
                group.start_soon(self._inject, fault)

    async def _inject(self, fault: Fault) -> None:
        found = histories.Disturbance(
            fault.kind,
            fault.subject,
            anyio.current_time(),
            planned=fault.kind in PLANNED,
        )
        self.history.disturbances.append(found)
        inject: typing.Any = getattr(self, f"_{fault.kind}")
        try:
            await inject(fault)
        finally:
            found.to_s = anyio.current_time()

    async def _kill(self, fault: Fault) -> None:
        self.site.nodes[fault.subject].end(signal.SIGKILL)
        await self._hold_down(fault.subject, fault.for_s / 2)

    async def _hold_down(self, name: str, for_s: float) -> None:
        """Keeps a process from its next start for a while."""
        node = self.site.nodes[name]
        self.down[name] = self.down.get(name, 0) + 1
        node.held_down = True
        await anyio.sleep(for_s)
        self.down[name] -= 1
        node.held_down = self.down[name] > 0

    async def _pause(self, fault: Fault) -> None:
        process = self.site.nodes[fault.subject].process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal.SIGSTOP)
        await anyio.sleep(fault.for_s)
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
        """Kills a process and changes its disk before it starts again."""
        node = self.site.nodes[fault.subject]
        process = node.process
        async with anyio.create_task_group() as group:
            group.start_soon(self._hold_down, fault.subject, fault.for_s)
            await anyio.lowlevel.checkpoint()
            node.end(signal.SIGKILL)
            if process is not None:
                await process.wait()
            change()

    async def _full_disk(self, fault: Fault) -> None:
        node = self.site.nodes[fault.subject]
        node.excused += 1
        self.site.fill_disk(fault.subject, full=True)
        await anyio.sleep(fault.for_s)
        self.site.fill_disk(fault.subject, full=False)
        await anyio.sleep(nodes.RESTART_DELAY_S)
        node.excused -= 1

    async def _cut(self, fault: Fault) -> None:
        await self._hold(fault, ((fault.subject, ""), ("", fault.subject)))

    async def _cut_outgoing(self, fault: Fault) -> None:
        await self._hold(fault, ((fault.subject, ""),))

    async def _cut_incoming(self, fault: Fault) -> None:
        await self._hold(fault, (("", fault.subject),))

    async def _hold(
        self, fault: Fault, ends: tuple[tuple[str, str], ...]
    ) -> None:
        held = self.site.links.held
        held.update(ends)
        await anyio.sleep(fault.for_s)
        held.difference_update(ends)

    async def _reset(self, fault: Fault) -> None:
        for relay in self.site.relays[fault.subject]:
            relay.reset()

    async def _silence(self, fault: Fault) -> None:
        for relay in self.site.relays[fault.subject]:
            relay.silence()

    async def _delay(self, fault: Fault) -> None:
        delays_s = self.site.links.delays_s
        delays_s[fault.subject] = 0.1 * fault.strength
        await anyio.sleep(fault.for_s)
        delays_s.pop(fault.subject, None)

    def _pick_target(self) -> stand_ins.Target:
        present = [one for one in self.listing.targets if not one.leaving]
        return self.random.choice(present)

    async def _target_crash(self, fault: Fault) -> None:
        """Ends a target; the list names it for a while longer."""
        found = self._pick_target()
        found.leaving = False
        found.scope.cancel()
        self.replace(found.service)
        await anyio.sleep(fault.for_s)
        self._unlist(found)

    async def _target_drain(self, fault: Fault) -> None:
        found = self._pick_target()
        self.replace(found.service)
        found.leaving = True
        await anyio.sleep(DRAIN_S + fault.for_s)
        self._unlist(found)
        found.scope.cancel()

    def _unlist(self, found: stand_ins.Target) -> None:
        if found in self.listing.targets:
            self.listing.targets.remove(found)

    async def _target_fails(self, fault: Fault) -> None:
        found = self._pick_target()
        found.failing = fault.strength
        await anyio.sleep(fault.for_s)
        found.failing = 0.0

    async def _target_cut(self, fault: Fault) -> None:
        """Cuts a target off; what was sent to it arrives late."""
        found = self._pick_target()
        await self._hold(fault, ((found.id, ""), ("", found.id)))

    async def _list(self, fault: Fault) -> None:
        self.listing.fault = ("too_many", "silent", "torn")[
            int(fault.strength * 3)
        ]
        await anyio.sleep(fault.for_s)
        self.listing.fault = ""

    async def _weights(self, fault: Fault) -> None:
        await self.operators.name_weights()

    async def _storm_of_changes(self, fault: Fault) -> None:
        async with anyio.create_task_group() as group:
            for _ in range(2 + int(fault.strength * 8)):
                group.start_soon(self.operators.make_change)
