"""Compares what callers were answered with what targets ran.

All are real processes: they are stopped, killed and started again, their
connections are reset, and targets are slow to accept, leave and come back under
the same id or a new one.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import pathlib
import signal
import sys
import time
import typing

import attrs
import pytest
from tests.support import run_journals
from tests.support import verdict_site

if typing.TYPE_CHECKING:
    import collections.abc

pytestmark = pytest.mark.processes

SEEDS = [int(seed) for seed in os.environ.get("SEEDS", "1").split(",")]
RUN_S = float(os.environ.get("RUN_S", "8"))
NETWORK = int(os.environ.get("NETWORK", "40"))
CALLERS = int(os.environ.get("CALLERS", "24"))
PAUSE_S = (0.15, 0.5)
# Time after the callers for what runs late.
SETTLE_S = 3.0
# A run may go on elsewhere while its target learns of the end.
OVERLAP_S = 0.4
BUSY_S = 0.8
BUSY_LOOP = f"import time; t = time.time() + {BUSY_S}\nwhile time.time() < t: 0"

Site = verdict_site.VerdictSite
Target = verdict_site.TargetProcess


@attrs.frozen
class Mix:
    """What a site consists of and what happens to it.

    Attributes:
      services: Service of each target.
      shares: Shares of the routes, in their order.
      faults: Shares of the faults of targets.
    """

    services: tuple[str, ...]
    shares: tuple[float, ...]
    faults: dict[
        collections.abc.Callable[
            [Site, Target], collections.abc.Coroutine[None, None, None]
        ],
        float,
    ]


async def _call_until(site: Site, mix: Mix, caller: int, end_s: float) -> None:
    names = list(verdict_site.ROUTES)
    count = 0
    while time.monotonic() < end_s:
        count += 1
        route = site.random.choices(names, mix.shares)[0]
        gateway = 3 + site.random.randrange(verdict_site.GATEWAYS)
        call = site.call(gateway, route, f"{caller}-{count}")
        patience_s = 10.0
        if site.random.random() < 0.05:
            patience_s = site.random.uniform(0.01, 1.0)
        try:
            await asyncio.wait_for(call, patience_s)
        except TimeoutError:
            continue
        await asyncio.sleep(site.random.uniform(0, 0.15))


async def _stop_target(site: Site, target: Target) -> None:
    if site.random.random() < 0.5:
        target.command(f"reset {site.random.uniform(0, 2):.2f}")
        await asyncio.sleep(site.random.uniform(0, 0.01))
    target.signal(signal.SIGSTOP)
    await asyncio.sleep(site.random.choice((0.1, 0.5, 1, 2, 5)))
    if site.random.random() < 0.2:
        await _kill_target(site, target)
        return
    target.signal(signal.SIGCONT)


async def _kill_target(site: Site, target: Target) -> None:
    await site.end_target(target)
    await asyncio.sleep(site.random.choice((0.0, 0.1, 0.3, 0.8)))
    site.start_target(target, new_id=site.random.random() < 0.5)


async def _kill_for_long(site: Site, target: Target) -> None:
    """Kills a target; its address refuses connections for a time."""
    await site.end_target(target)
    await asyncio.sleep(1.5)
    site.start_target(target, new_id=site.random.random() < 0.5)


async def _replace_target(site: Site, target: Target) -> None:
    await site.end_target(target)
    await asyncio.sleep(site.random.choice((0.0, 0.1)))
    site.start_target(target, new_id=True)


async def _stall_target(site: Site, target: Target) -> None:
    stall_s = site.random.uniform(0.3, 2.5)
    target.command(f"slow {stall_s:.2f}")
    await asyncio.sleep(site.random.uniform(0.1, 0.7))
    target.command(f"reset {site.random.uniform(0.5, 3):.2f}")
    await asyncio.sleep(stall_s)


async def _reset_target(site: Site, target: Target) -> None:
    target.command(f"reset {site.random.uniform(0, 2):.2f}")
    await asyncio.sleep(0.1)


async def _leave_target(site: Site, target: Target) -> None:
    target.leaving = True
    await asyncio.sleep(1.0)
    target.command(f"leave {site.random.uniform(0.0, 1.0):.2f}")
    await asyncio.sleep(site.random.uniform(1.0, 1.5))
    if site.random.random() < 0.5:
        target.command("reset 2")
    await asyncio.sleep(2.0)
    await site.end_target(target)
    site.start_target(target, new_id=True)


async def _stop_gateway(site: Site, number: int) -> None:
    process = site.processes[f"gateway-{number}"]
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(site.random.choice((0.1, 0.5, 1, 3)))
    process.send_signal(signal.SIGCONT)


async def _end_gateway(site: Site, number: int) -> None:
    process = site.processes[f"gateway-{number}"]
    process.send_signal(site.random.choice((signal.SIGTERM, signal.SIGKILL)))
    await asyncio.to_thread(process.wait)
    site.start("gateway", number, first=False)


async def _keep_busy() -> None:
    command = (sys.executable, "-c", BUSY_LOOP)
    loops = [
        await asyncio.create_subprocess_exec(*command)
        for _ in range(os.cpu_count() or 1)
    ]
    for loop in loops:
        await loop.wait()


GATEWAY_FAULTS = {_stop_gateway: 2, _end_gateway: 1}
GATEWAY_FRACTION = 0.15
BUSY_FRACTION = 0.02


MIXES = {
    "all": Mix(
        ("plain",) * 3 + ("engine",) * 5,
        (0.2, 0.3, 0.4, 0.1),
        {
            _stop_target: 4,
            _kill_target: 5,
            _stall_target: 5,
            _reset_target: 4,
            _leave_target: 2,
        },
    ),
    # Addresses are taken over, and few targets are left for a repeat.
    "replaced": Mix(
        ("plain",) * 2 + ("engine",) * 2,
        (0.1, 0.8, 0.05, 0.05),
        {_replace_target: 1},
    ),
    # Streams go on from their copies.
    "copied": Mix(
        ("plain",) + ("engine",) * 10,
        (0.05, 0.05, 0.85, 0.05),
        {_kill_for_long: 4, _stop_target: 1},
    ),
}


class Injector:
    """Injects faults; each target and gateway has at most one at a time."""

    def __init__(self, site: Site, mix: Mix) -> None:
        """Injects none yet."""
        self.site = site
        self.mix = mix
        self.tasks: dict[object, asyncio.Task[None]] = {}

    async def run(self, end_s: float) -> None:
        """Injects faults until `end_s`, and waits until they have ended."""
        while time.monotonic() < end_s:
            await asyncio.sleep(self.site.random.uniform(*PAUSE_S))
            self._inject()
        await asyncio.gather(*self.tasks.values())

    def _inject(self) -> None:
        choose = self.site.random
        drawn = choose.random()
        number = 3 + choose.randrange(verdict_site.GATEWAYS)
        target = choose.choice(self.site.targets)
        faults = choose.choices(
            list(self.mix.faults), list(self.mix.faults.values())
        )
        gateway_faults = choose.choices(
            list(GATEWAY_FAULTS), list(GATEWAY_FAULTS.values())
        )
        if drawn < BUSY_FRACTION:
            self._start("busy", _keep_busy)
        elif drawn < GATEWAY_FRACTION:
            self._start(number, lambda: gateway_faults[0](self.site, number))
        else:
            self._start(target, lambda: faults[0](self.site, target))

    def _start(
        self,
        what: object,
        fault: collections.abc.Callable[
            [], collections.abc.Coroutine[None, None, None]
        ],
    ) -> None:
        running = self.tasks.get(what)
        if running is None or running.done():
            self.tasks[what] = asyncio.ensure_future(fault())


async def _play(
    folder: pathlib.Path, mix: Mix, seed: int
) -> tuple[Site, dict[str, list[run_journals.Run]]]:
    network = f"127.{NETWORK + seed // 200}.{seed % 200}"
    async with verdict_site.open_site(
        folder, network, 23000, seed, mix.services
    ) as site:
        end_s = time.monotonic() + RUN_S
        callers = [
            _call_until(site, mix, caller, end_s) for caller in range(CALLERS)
        ]
        await asyncio.gather(Injector(site, mix).run(end_s), *callers)
        await asyncio.sleep(SETTLE_S)
    return site, run_journals.read_runs(site.folder, site.ends)


def find_twice(
    site: Site, runs: dict[str, list[run_journals.Run]]
) -> list[str]:
    """Returns what ran twice though it may run once at most."""
    found = []
    for attempt, made in runs.items():
        if site.outcomes[attempt].route not in verdict_site.ONCE:
            continue
        for before, after in itertools.pairwise(made):
            overlap_s = before.ended_s - after.begun_s
            if not after.continues or overlap_s > OVERLAP_S:
                found.append(f"{attempt} ran twice: {before} {after}")
    return found


def find_broken_promises(
    site: Site, runs: dict[str, list[run_journals.Run]]
) -> list[str]:
    """Returns what ran though its caller was promised that it never would."""
    found = []
    for attempt, outcome in site.outcomes.items():
        if outcome.route not in verdict_site.ONCE:
            continue
        if outcome.status in verdict_site.PROMISES and runs.get(attempt):
            found.append(f"{attempt} ran: {outcome} {runs[attempt]}")
    return found


@pytest.mark.parametrize("mix", MIXES)
@pytest.mark.parametrize("seed", SEEDS)
def test_no_request_runs_twice_or_after_a_promise_that_it_never_will(
    seed: int, mix: str, tmp_path: pathlib.Path
) -> None:
    site, runs = asyncio.run(_play(tmp_path, MIXES[mix], seed))
    promised = [
        outcome
        for outcome in site.outcomes.values()
        if outcome.status in verdict_site.PROMISES
    ]
    continued = [run for made in runs.values() for run in made if run.continues]
    print(
        f"{mix}, seed {seed}: {len(site.outcomes)} requests, {len(runs)} ran, "
        f"{len(promised)} promised, {len(continued)} continued"
    )
    broken = find_twice(site, runs) + find_broken_promises(site, runs)
    print("\n".join(broken))
    assert broken == []
    assert len(runs) >= 10 * RUN_S
    assert continued if mix == "copied" else promised
