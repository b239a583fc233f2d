"""Injects the faults of a plan."""

from __future__ import annotations

import collections.abc
import random
import signal
import typing

import anyio
import anyio.abc
import anyio.lowlevel
import attrs
from tests.soak import fleet as fleets
from tests.soak import history as histories
from tests.soak import nodes
from tests.soak import operators
from tests.soak import plans
from tests.soak import process_faults
from tests.soak import signals
from tests.soak import stand_ins


@attrs.define
class Injector:
    """Injects the faults of a plan.

    Attributes:
      site: The processes.
      fleet: The targets and their list.
      operators: Operators that change the configuration and weights.
      history: Records the faults.
      random: Draws targets and garbage bytes.
      restart_blocks: Number of faults that block a restart, by process.
    """

    site: nodes.Nodes
    fleet: fleets.Fleet
    operators: operators.Operators
    history: histories.History
    random: random.Random
    restart_blocks: dict[str, int] = attrs.field(factory=dict)

    async def run(self, plan: collections.abc.Sequence[plans.Fault]) -> None:
        """Injects all faults; returns once the last has ended."""
        started_s = anyio.current_time()
        async with anyio.create_task_group() as group:
            for fault in plan:
                wait_s = started_s + fault.start_s - anyio.current_time()
                await anyio.sleep(max(0.0, wait_s))
                group.start_soon(self._inject, fault)

    async def _inject(self, fault: plans.Fault) -> None:
        injected = histories.InjectedFault(
            fault.kind,
            fault.subject,
            anyio.current_time(),
            planned=fault.kind
            in (*plans.PLANNED, plans.LIMIT, plans.EVACUATION),
        )
        self.history.injected_faults.append(injected)
        inject: typing.Any = getattr(self, f"_{fault.kind}", None)
        try:
            if inject is not None:
                await inject(fault)
            else:
                await process_faults.INJECT[fault.kind](self, fault)
        finally:
            injected.to_s = anyio.current_time()

    async def _kill(self, fault: plans.Fault) -> None:
        self.site.nodes[fault.subject].end(signal.SIGKILL)
        await self.block_restart(fault.subject, fault.duration_s / 2)

    async def block_restart(self, name: str, duration_s: float) -> None:
        """Blocks the restart of a process for a time."""
        node = self.site.nodes[name]
        self.restart_blocks[name] = self.restart_blocks.get(name, 0) + 1
        node.restart_blocked = True
        await anyio.sleep(duration_s)
        self.restart_blocks[name] -= 1
        node.restart_blocked = self.restart_blocks[name] > 0

    async def _pause(self, fault: plans.Fault) -> None:
        process = self.site.nodes[fault.subject].process
        if process is None or process.returncode is not None:
            return
        signals.send(process, signal.SIGSTOP)
        await anyio.sleep(fault.duration_s)
        signals.send(process, signal.SIGCONT)

    async def _terminate(self, fault: plans.Fault) -> None:
        await self.site.terminate(fault.subject)

    async def _kill_all(self, fault: plans.Fault) -> None:
        for node in self.site.nodes.values():
            if fault.strength < 0.5 or node.role == "registry":
                node.end(signal.SIGKILL)
        await anyio.sleep(nodes.RESTART_DELAY_S)

    async def _lose_disk(self, fault: plans.Fault) -> None:
        await self._change_disk(
            fault, lambda: self.site.lose_disk(fault.subject)
        )

    async def _torn_tail(self, fault: plans.Fault) -> None:
        garbage = self.random.randbytes(
            1 + int(fault.strength * plans.GARBAGE_BYTES)
        )
        await self._change_disk(
            fault, lambda: self.site.tear_tail(fault.subject, garbage)
        )

    async def _change_disk(
        self, fault: plans.Fault, change: collections.abc.Callable[[], None]
    ) -> None:
        """Kills a process and changes its disk before the restart."""
        node = self.site.nodes[fault.subject]
        process = node.process
        async with anyio.create_task_group() as group:
            group.start_soon(
                self.block_restart, fault.subject, fault.duration_s
            )
            await anyio.lowlevel.checkpoint()
            node.end(signal.SIGKILL)
            if process is not None:
                await process.wait()
            change()

    async def _full_disk(self, fault: plans.Fault) -> None:
        node = self.site.nodes[fault.subject]
        node.tolerated_faults += 1
        self.site.fill_disk(fault.subject, full=True)
        await anyio.sleep(fault.duration_s)
        self.site.fill_disk(fault.subject, full=False)
        await anyio.sleep(nodes.RESTART_DELAY_S)
        node.tolerated_faults -= 1

    async def _cut(self, fault: plans.Fault) -> None:
        await self._block_links(
            fault, ((fault.subject, ""), ("", fault.subject))
        )

    async def _cut_outgoing(self, fault: plans.Fault) -> None:
        await self._block_links(fault, ((fault.subject, ""),))

    async def _cut_incoming(self, fault: plans.Fault) -> None:
        await self._block_links(fault, (("", fault.subject),))

    async def _block_links(
        self, fault: plans.Fault, pairs: tuple[tuple[str, str], ...]
    ) -> None:
        blocked = self.site.links.blocked
        blocked.update(pairs)
        await anyio.sleep(fault.duration_s)
        blocked.difference_update(pairs)

    async def _reset(self, fault: plans.Fault) -> None:
        for relay in self.site.relays[fault.subject]:
            relay.reset()

    async def _silence(self, fault: plans.Fault) -> None:
        for relay in self.site.relays[fault.subject]:
            relay.silence()

    async def _delay(self, fault: plans.Fault) -> None:
        delays_s = self.site.links.delays_s
        delays_s[fault.subject] = 0.1 * fault.strength
        await anyio.sleep(fault.duration_s)
        delays_s.pop(fault.subject, None)

    async def pick_target(
        self, *, is_relayed: bool | None = None, service: str = ""
    ) -> fleets.TargetNode:
        """Returns a target that runs and does not leave.

        Of engines it is the busiest; others are drawn.
        """
        while True:
            present = [
                target
                for target in self.fleet.targets
                if target.runs
                and not target.leaving
                and is_relayed in (None, target.relay is not None)
                and service in ("", target.service)
            ]
            if present and service == stand_ins.ENGINE:
                # Gateways send to few engines while there is room for all.
                return max(present, key=lambda target: target.running)
            if present:
                return self.random.choice(present)
            await anyio.sleep(0.05)

    async def _target_crash(self, fault: plans.Fault) -> None:
        """Ends a target; its entry stays in the list for a time."""
        target = await self.pick_target()
        target.kill()
        self.fleet.open(target.service)
        await anyio.sleep(fault.duration_s)
        self.fleet.unlist(target)

    async def _target_drain(self, fault: plans.Fault) -> None:
        target = await self.pick_target()
        self.fleet.open(target.service)
        target.leaving = True
        await anyio.sleep(plans.DRAIN_S + fault.duration_s)
        self.fleet.unlist(target)
        target.kill()

    async def _target_fails(self, fault: plans.Fault) -> None:
        target = await self.pick_target()
        await target.command(failure_fraction=fault.strength)
        await anyio.sleep(fault.duration_s)
        await target.command(failure_fraction=0.0)

    async def _target_limit(self, fault: plans.Fault) -> None:
        """Lets a target name how many requests a second it takes."""
        busy = []
        for target in self.fleet.targets:
            if target.service in (plans.PLAIN, stand_ins.ENGINE):
                busy.append(target)
        target = busy[int(fault.strength * len(busy))]
        per_s = round(fault.strength * plans.MAX_LIMIT_PER_S, 2)
        await target.command(limit_per_s=per_s)
        named = histories.NamedLimit(target.id, per_s, anyio.current_time())
        self.history.limits.append(named)
        await anyio.sleep(fault.duration_s)
        named.to_s = anyio.current_time()
        await target.command(limit_per_s=None)

    async def _target_cut(self, fault: plans.Fault) -> None:
        """Partitions a target; bytes sent to it arrive late."""
        target = await self.pick_target(is_relayed=True)
        await self._block_links(fault, ((target.id, ""), ("", target.id)))

    async def _list(self, fault: plans.Fault) -> None:
        self.fleet.fault = ("too_many", "silent", "torn")[
            int(fault.strength * 3)
        ]
        await anyio.sleep(fault.duration_s)
        self.fleet.fault = ""

    async def _evacuation(self, fault: plans.Fault) -> None:
        await self.operators.evacuate(plans.EVACUATED, fault.duration_s)

    async def _weights(self, fault: plans.Fault) -> None:
        await self.operators.name_weights()

    async def _storm_of_changes(self, fault: plans.Fault) -> None:
        async with anyio.create_task_group() as group:
            for _ in range(2 + int(fault.strength * 8)):
                group.start_soon(self.operators.make_change)
