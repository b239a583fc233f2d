"""Plays one seed: starts the site, loads it, injects faults, checks."""

from __future__ import annotations

import pathlib
import random
import time

import anyio
import anyio.abc
import attrs
from tests.registry import support
from tests.soak import faults
from tests.soak import history as histories
from tests.soak import nodes
from tests.soak import operators
from tests.soak import promises
from tests.soak import relay as relays
from tests.soak import soak_callers
from tests.soak import stand_ins

from cactusstile.http import callers as http_callers
from cactusstile.http import sockets
from cactusstile.transport import address

REGISTRIES = ("registry-1", "registry-2", "registry-3")
GATEWAYS = ("gateway-1", "gateway-2", "gateway-3")
TARGETS = {"plain": 3, "other": 2, stand_ins.ENGINE: 4}
FIRST_TARGET = 30
CALLERS = 14
CHANGE_PAUSE_S = 0.7
START_LIMIT_S = 20.0
# Time after the last fault within which callers must be served again.
RECOVERY_LIMIT_S = 12.0
# Time without faults in which engines take weights up, and reads settle.
CALM_S = 4.0
STOP_LIMIT_S = 12.0


@attrs.define
class Stage:
    """Parts of one run.

    Attributes:
      seed: Its seed.
      site: The processes.
      history: What was seen.
      group: Runs everything.
      listing: The list of targets.
      named: Weights that were named.
      targets: Count of targets that were opened.
      served: Answers in a row; shared by all callers.
    """

    seed: int
    site: nodes.Nodes
    history: histories.History
    group: anyio.abc.TaskGroup
    listing: stand_ins.Listing = attrs.field(factory=stand_ins.Listing)
    named: stand_ins.Weights = attrs.field(factory=stand_ins.Weights)
    targets: int = 0
    served: list[int] = attrs.field(factory=lambda: [0])

    def draw(self, name: str) -> random.Random:
        """Returns a source of random numbers of its own."""
        return random.Random(f"{self.seed}/{name}")

    def open_target(self, service: str) -> None:
        """Opens a target and lists it."""
        number = FIRST_TARGET + self.targets
        self.targets += 1
        host = f"{self.site.network}.{number}"
        bound = f"{self.site.network}.{number + nodes.BEHIND_RELAY}"
        target = stand_ins.Target(
            f"{service}-{number}",
            service,
            address.Address(host, self.site.port),
            self.history,
            self.named,
            self.draw(f"target/{number}"),
            int(time.time() * 1000),
            weights=self.named.newest,
        )
        behind = address.Address(bound, self.site.port)
        relays.open_relay(
            target.id, target.listed, behind, self.site.links, self.group
        )
        self.group.start_soon(target.serve, behind)
        self.listing.targets.append(target)

    def open_list(self) -> None:
        """Opens the platform's list."""
        place = address.Address(
            f"{self.site.network}.1", self.site.port + nodes.LIST
        )
        self.group.start_soon(
            http_callers.serve_listener,
            sockets.listen(place),
            http_callers.internal_serving(self.listing.answer),
            self.group,
        )

    def open_nodes(self) -> None:
        """Starts the registries and gateways."""
        for number, name in enumerate(REGISTRIES):
            self.site.add(
                name, "registry", nodes.FIRST_REGISTRY + number, self.group
            )
        for number, name in enumerate(GATEWAYS):
            self.site.add(
                name, "gateway", nodes.FIRST_GATEWAY + number, self.group
            )
        for name in self.site.nodes:
            self.group.start_soon(self.site.run, name)

    def open_callers(
        self, sent: operators.Operators
    ) -> list[soak_callers.Caller]:
        """Starts the balancer and the callers."""
        gateways = self.site.of_role("gateway")
        balancer = soak_callers.Balancer(
            {one.name: self.site.place(one, nodes.FRONT) for one in gateways},
            {
                one.name: self.site.place(one, nodes.READINESS)
                for one in gateways
            },
        )
        found = []
        for one in gateways:
            self.group.start_soon(balancer.ask, one.name)
        for number in range(CALLERS):
            caller = soak_callers.Caller(
                f"c{number}",
                balancer,
                self.history,
                sent,
                self.draw(f"caller/{number}"),
                self.served,
            )
            found.append(caller)
            self.group.start_soon(caller.run)
        return found


async def play(
    seed: int, folder: pathlib.Path, duration_s: float
) -> tuple[histories.History, list[promises.Broken]]:
    """Plays one seed and returns what was seen and what was broken."""
    seen = histories.History()
    site = nodes.Nodes(
        folder,
        support.draw_network(),
        support.FIRST_PORT,
        seen,
        relays.Links(),
    )
    async with anyio.create_task_group() as group:
        stage = Stage(seed, site, seen, group)
        await _run(stage, duration_s)
        group.cancel_scope.cancel()
    return seen, promises.check(seen)


async def _run(stage: Stage, duration_s: float) -> None:
    stage.open_list()
    for service, count in TARGETS.items():
        for _ in range(count):
            stage.open_target(service)
    stage.open_nodes()
    sent = operators.Operators(
        {
            one.name: stage.site.place(one, nodes.OPERATOR)
            for one in stage.site.of_role("registry")
        },
        stage.history,
        stage.draw("operators"),
        stage.named,
    )
    with anyio.fail_after(START_LIMIT_S):
        await sent.make_change()
    callers = stage.open_callers(sent)
    await _wait_until_served(stage, START_LIMIT_S)
    for _ in range(2):
        stage.group.start_soon(sent.change, CHANGE_PAUSE_S)
    stage.group.start_soon(sent.read)
    plan = faults.draw_plan(stage.seed, REGISTRIES, GATEWAYS, duration_s)
    injector = faults.Injector(
        stage.site,
        stage.listing,
        sent,
        stage.history,
        stage.open_target,
        stage.draw("faults"),
    )
    await injector.run(plan)
    await _settle(stage, sent, callers)


async def _settle(
    stage: Stage,
    sent: operators.Operators,
    callers: list[soak_callers.Caller],
) -> None:
    """Waits for service after the last fault, then stops everything."""
    stage.history.healed_s = anyio.current_time()
    stage.served[0] = 0
    if await _wait_until_served(stage, RECOVERY_LIMIT_S):
        stage.history.recovered_s = anyio.current_time()
    sent.stopped = True
    await anyio.sleep(CALM_S)
    with anyio.move_on_after(RECOVERY_LIMIT_S):
        while not await sent.read_once():
            await anyio.sleep(operators.READ_INTERVAL_S)
    for caller in callers:
        caller.stopped = True
    await anyio.sleep(soak_callers.DEADLINE_S)
    for target in stage.listing.targets:
        if target.service == stand_ins.ENGINE:
            stage.history.weights_at_end[target.id] = target.weights
    stage.site.closing = True
    async with anyio.create_task_group() as group:
        for name in stage.site.nodes:
            group.start_soon(stage.site.terminate, name)
    stage.site.note_errors()


async def _wait_until_served(stage: Stage, limit_s: float) -> bool:
    """Waits for answers in a row; returns whether they came."""
    with anyio.move_on_after(limit_s):
        while stage.served[0] < soak_callers.RECOVERED_ANSWERS:
            await anyio.sleep(0.05)
        return True
    return False
