"""Runs one seed: starts the site, sends load, injects faults and checks."""

from __future__ import annotations

import contextlib
import pathlib
import random

import anyio
import anyio.abc
import attrs
from tests.registry import support
from tests.soak import busy
from tests.soak import faults
from tests.soak import fleet as fleets
from tests.soak import history as histories
from tests.soak import nodes
from tests.soak import operators
from tests.soak import plans
from tests.soak import promises
from tests.soak import relay as relays
from tests.soak import soak_callers
from tests.soak import stand_ins

from cactusstile.http import callers as http_callers
from cactusstile.http import sockets
from cactusstile.transport import address

REGISTRIES = ("registry-1", "registry-2", "registry-3")
GATEWAYS = tuple(f"gateway-{number}" for number in range(1, 4))
MANY_GATEWAYS = tuple(f"gateway-{number}" for number in range(1, 11))
TARGETS = {"plain": 3, "other": 2, stand_ins.ENGINE: 6}
# Targets stand in them by turns.
DATA_CENTRES = ("here", plans.EVACUATED)
CALLERS = 20
# Mean time between two requests of those that do not wait for answers.
TURNS_PAUSE_S = 0.04
CHANGE_PAUSE_S = 0.7
# Callers of one repeated request each, and the mean time between two.
REPEATED_PAUSES_S = {histories.ENDS_TARGETS: 0.4, histories.HOT: 0.05}
START_TIMEOUT_S = 20.0
# Time after the last fault within which callers must be served again.
RECOVERY_TIMEOUT_S = 12.0
# Time without faults in which engines load new weights and reads converge.
FAULT_FREE_S = 4.0
STOP_TIMEOUT_S = 12.0


@attrs.define
class SoakRun:
    """State of one run.

    Attributes:
      seed: Seed of the run.
      site: The processes.
      history: Records of the run.
      group: Task group of the run.
      fleet: The targets and their list.
      answered_in_a_row: Number of successive answers, as the only item;
        shared by all callers.
    """

    seed: int
    site: nodes.Nodes
    history: histories.History
    group: anyio.abc.TaskGroup
    fleet: fleets.Fleet
    answered_in_a_row: list[int] = attrs.field(factory=lambda: [0])

    @property
    def has_repeated_requests(self) -> bool:
        """Whether callers repeat requests, one of which ends targets."""
        return bool(self.seed % 2 and self.seed % plans.PLANNED_EVERY)

    def create_rng(self, name: str) -> random.Random:
        """Returns a random source derived from the seed and `name`."""
        return random.Random(f"{self.seed}/{name}")

    @property
    def gateways(self) -> tuple[str, ...]:
        """Names of the gateways."""
        return MANY_GATEWAYS if plans.has_many_gateways(self.seed) else GATEWAYS

    def open_list(self) -> None:
        """Serves the platform's list."""
        list_address = address.Address(
            f"{self.site.network}.1", self.site.port + nodes.LIST
        )
        self.group.start_soon(
            http_callers.serve_listener,
            sockets.listen(list_address),
            http_callers.internal_serving(self.fleet.answer_list),
            self.group,
        )

    def open_nodes(self) -> None:
        """Starts the registries and gateways."""
        for number, name in enumerate(REGISTRIES):
            self.site.add(
                name, "registry", nodes.FIRST_REGISTRY + number, self.group
            )
        for number, name in enumerate(self.gateways):
            self.site.add(
                name, "gateway", nodes.FIRST_GATEWAY + number, self.group
            )
        for name in self.site.nodes:
            self.group.start_soon(self.site.run, name)

    def open_callers(
        self, site_operators: operators.Operators
    ) -> list[soak_callers.Caller]:
        """Starts the balancer and the callers."""
        gateways = self.site.of_role("gateway")
        balancer = soak_callers.Balancer(
            {
                gateway.name: self.site.address_of(gateway, nodes.FRONT)
                for gateway in gateways
            },
            {
                gateway.name: self.site.address_of(gateway, nodes.READINESS)
                for gateway in gateways
            },
        )
        opened = []
        for gateway in gateways:
            self.group.start_soon(balancer.probe, gateway.name)
        pauses_s = {f"c{number}": 0.0 for number in range(CALLERS)}
        if self.has_repeated_requests:
            pauses_s.update(REPEATED_PAUSES_S)
        for number, (name, pause_s) in enumerate(pauses_s.items()):
            caller = soak_callers.Caller(
                name,
                balancer,
                self.history,
                site_operators,
                self.create_rng(f"caller/{number}"),
                self.answered_in_a_row,
            )
            if pause_s:
                caller.content, caller.mean_pause_s = name, pause_s
            opened.append(caller)
            self.group.start_soon(caller.run)
        return opened + self._open_turn_callers(site_operators, balancer)

    def _open_turn_callers(
        self,
        site_operators: operators.Operators,
        balancer: soak_callers.Balancer,
    ) -> list[soak_callers.Caller]:
        """Starts a caller for each gateway, which asks while it is stopped."""
        opened: list[soak_callers.Caller] = []
        if not self.seed % plans.PLANNED_EVERY:
            # Planned work is to be done with the balancer's callers alone.
            return opened
        gateways = self.site.of_role("gateway")
        for gateway in gateways:
            fronts = {gateway.name: balancer.fronts[gateway.name]}
            caller = soak_callers.Caller(
                f"turns-{gateway.name}",
                soak_callers.Balancer(fronts, {}),
                self.history,
                site_operators,
                self.create_rng(f"turns/{gateway.name}"),
                [0],
                mean_pause_s=TURNS_PAUSE_S * len(gateways),
                turns=True,
            )
            opened.append(caller)
            self.group.start_soon(
                caller.run_without_waiting,
                lambda node=gateway: node.signalled_s is None,
            )
        return opened


async def play(
    seed: int,
    folder: pathlib.Path,
    duration_s: float,
    skipped: tuple[str, ...] = (),
) -> tuple[histories.History, list[promises.Violation]]:
    """Runs one seed; returns its records and the violated promises.

    Args:
      seed: The seed.
      folder: Folder for settings, state, journals and logs.
      duration_s: Time within which faults start, in seconds.
      skipped: Kinds of faults that are left out.
    """
    history = histories.History()
    site = nodes.Nodes(
        folder,
        support.draw_network(),
        support.FIRST_PORT,
        history,
        relays.Links(),
    )
    async with anyio.create_task_group() as group:
        fleet = fleets.Fleet(
            folder,
            site.network,
            site.port,
            seed,
            DATA_CENTRES,
            history,
            site.links,
            group,
        )
        soak_run = SoakRun(seed, site, history, group, fleet)
        await _run(soak_run, duration_s, skipped)
        group.cancel_scope.cancel()
    return history, promises.check(history)


async def _run(
    soak_run: SoakRun, duration_s: float, skipped: tuple[str, ...]
) -> None:
    site_operators = operators.Operators(
        {},
        soak_run.history,
        soak_run.create_rng("operators"),
        soak_run.fleet.named_weights,
    )
    async with contextlib.AsyncExitStack() as stack:
        if plans.is_busy(soak_run.seed):
            await stack.enter_async_context(busy.open_busy(soak_run.history))
        callers = await _start(soak_run, site_operators)
        plan = plans.draw_plan(
            soak_run.seed, REGISTRIES, soak_run.gateways, duration_s
        )
        injector = faults.Injector(
            soak_run.site,
            soak_run.fleet,
            site_operators,
            soak_run.history,
            soak_run.create_rng("faults"),
        )
        await injector.run(
            [fault for fault in plan if fault.kind not in skipped]
        )
    await _recover_and_stop(soak_run, site_operators, callers)


async def _start(
    soak_run: SoakRun, site_operators: operators.Operators
) -> list[soak_callers.Caller]:
    """Starts the site and its callers, and waits until they are served."""
    soak_run.open_list()
    for service, count in TARGETS.items():
        for _ in range(count):
            soak_run.fleet.open(service)
    soak_run.open_nodes()
    site_operators.registries = {
        registry.name: soak_run.site.address_of(registry, nodes.OPERATOR)
        for registry in soak_run.site.of_role("registry")
    }
    with anyio.fail_after(START_TIMEOUT_S):
        await site_operators.make_change()
    callers = soak_run.open_callers(site_operators)
    await _wait_until_answered(soak_run, START_TIMEOUT_S)
    for _ in range(2):
        soak_run.group.start_soon(site_operators.change, CHANGE_PAUSE_S)
    soak_run.group.start_soon(site_operators.read)
    return callers


async def _recover_and_stop(
    soak_run: SoakRun,
    site_operators: operators.Operators,
    callers: list[soak_callers.Caller],
) -> None:
    """Waits for recovery after the last fault, then stops the site."""
    soak_run.history.faults_ended_s = anyio.current_time()
    soak_run.answered_in_a_row[0] = 0
    if await _wait_until_answered(soak_run, RECOVERY_TIMEOUT_S):
        soak_run.history.recovered_s = anyio.current_time()
    site_operators.stopped = True
    await anyio.sleep(FAULT_FREE_S)
    with anyio.move_on_after(RECOVERY_TIMEOUT_S):
        while not await site_operators.read_once():
            await anyio.sleep(operators.READ_INTERVAL_S)
    for caller in callers:
        caller.stopped = True
    await anyio.sleep(soak_callers.PATIENCE_S)
    soak_run.site.closing = True
    async with anyio.create_task_group() as group:
        for name in soak_run.site.nodes:
            group.start_soon(soak_run.site.terminate, name)
    soak_run.site.record_errors()
    await soak_run.fleet.close()


async def _wait_until_answered(soak_run: SoakRun, timeout_s: float) -> bool:
    """Waits for enough successive answers; returns whether they came."""
    with anyio.move_on_after(timeout_s):
        while soak_run.answered_in_a_row[0] < soak_callers.RECOVERED_ANSWERS:
            await anyio.sleep(0.05)
        return True
    return False
