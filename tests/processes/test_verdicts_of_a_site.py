"""Compares answers with the journals of targets at a site of many gateways.

Gateways are starved, and killed, stopped and started many at once; the
configuration, the weights and the targets change while requests run.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import pathlib
import random
import signal
import time
import typing

import pytest
from tests.processes import test_verdicts
from tests.support import run_journals
from tests.support import verdict_site
from tests.support import wide_site

if typing.TYPE_CHECKING:
    import collections.abc

pytestmark = pytest.mark.processes

SEEDS = [int(seed) for seed in os.environ.get("SEEDS", "1").split(",")]
RUN_S = float(os.environ.get("RUN_S", "8"))
NETWORK = int(os.environ.get("NETWORK", "60"))
CALLERS = int(os.environ.get("CALLERS", "16"))
GATEWAYS = int(os.environ.get("GATEWAYS", "6"))
TARGETS = int(os.environ.get("TARGETS", "1"))
# Fraction of promises after which a caller returns with the same id.
RETURNING = float(os.environ.get("RETURNING", "0.2"))
STARVED_FRACTION = 0.5
SERVICES = ("plain",) * 2 + ("other",) + ("engine",) * 3
ODD_TARGETS = {"queue": 4, "early": 0.3}
TARGET_FAULTS = (
    test_verdicts.MIXES["all"].faults | test_verdicts.MIXES["replaced"].faults
)

Site = wide_site.WideSite


async def _kill_herd(site: Site) -> None:
    """Kills many gateways at once, which start again together."""
    share = site.random.choice((0.3, 0.6, 1.0))
    killed = site.random.sample(
        site.gateways, max(1, int(share * len(site.gateways)))
    )
    for number in killed:
        site.signal(number, signal.SIGKILL)
    for number in killed:
        await asyncio.to_thread(site.processes[f"gateway-{number}"].wait)
        site.start("gateway", number, first=False)
    await asyncio.sleep(6.0)


async def _roll(site: Site) -> None:
    """Stops some gateways in turn, and starts them again."""
    for number in site.random.sample(site.gateways, 3):
        site.signal(number, signal.SIGTERM)
        await asyncio.to_thread(site.processes[f"gateway-{number}"].wait)
        site.start("gateway", number, first=False)


async def _freeze(site: Site) -> None:
    """Stops some gateways for a time."""
    frozen = site.random.sample(site.gateways, max(1, len(site.gateways) // 4))
    for number in frozen:
        site.signal(number, signal.SIGSTOP)
    await asyncio.sleep(site.random.choice((0.3, 1.0, 3.0)))
    for number in frozen:
        site.signal(number, signal.SIGCONT)


async def _kill_registry(site: Site) -> None:
    number = site.random.choice(wide_site.REGISTRIES)
    process = site.processes[f"registry-{number}"]
    process.kill()
    await asyncio.to_thread(process.wait)
    site.start("registry", number, first=False)
    await asyncio.sleep(4.0)


async def _pause_target(site: Site) -> None:
    target = site.random.choice(site.targets)
    target.command(f"pause {site.random.uniform(0.2, 2):.2f}")
    await asyncio.sleep(1.0)


async def _limit_target(site: Site) -> None:
    target = site.random.choice(site.targets)
    target.command("limit 2.5")
    await asyncio.sleep(2.0)
    target.command("limit 0")


async def repeat(
    site: Site,
    faults: collections.abc.Sequence[
        collections.abc.Callable[
            [Site], collections.abc.Coroutine[None, None, None]
        ]
    ],
    pause_s: float,
    end_s: float,
) -> None:
    """Injects one of the faults after the other until `end_s`."""
    while time.monotonic() < end_s:
        await asyncio.sleep(site.random.uniform(0, 2 * pause_s))
        await site.random.choice(faults)(site)


async def _harm_targets(site: Site, share: int, end_s: float) -> None:
    """Injects faults into the targets of a share until `end_s`."""
    faults = list(TARGET_FAULTS)
    targets = site.targets[share::3]
    while time.monotonic() < end_s:
        await asyncio.sleep(site.random.uniform(0.2, 1.0))
        fault = site.random.choice(faults)
        await fault(site, site.random.choice(targets))


async def _play(
    folder: pathlib.Path, seed: int
) -> tuple[Site, dict[str, list[run_journals.Run]]]:
    network = f"127.{NETWORK + seed // 200}.{seed % 200}"
    site = Site(folder, network, 23000, random.Random(seed))
    site.odd_settings = ODD_TARGETS
    async with wide_site.open_site(site, SERVICES * TARGETS, GATEWAYS):
        end_s = time.monotonic() + RUN_S
        starved = int(STARVED_FRACTION * GATEWAYS)
        callers = [
            wide_site.WideCaller(site, str(number), returning=RETURNING)
            for number in range(CALLERS)
        ]
        changes = (Site.configure, Site.configure, Site.bump_weights)
        await asyncio.gather(
            repeat(site, (_kill_herd, _roll, _freeze), 1.5, end_s),
            repeat(site, (_kill_registry,), 6.0, end_s),
            repeat(site, (_pause_target, _limit_target), 1.0, end_s),
            repeat(site, changes, 1.0, end_s),
            *(_harm_targets(site, share, end_s) for share in range(3)),
            *(site.starve(it, end_s) for it in site.gateways[:starved]),
            *(caller.run(end_s) for caller in callers),
        )
        await asyncio.sleep(test_verdicts.SETTLE_S)
    return site, run_journals.read_runs(site.folder, site.ends)


def find_twice(
    site: Site, runs: dict[str, list[run_journals.Run]]
) -> list[str]:
    """Returns what ran twice though it may run once at most."""
    found = []
    for attempt, made in runs.items():
        if site.outcomes[attempt].route not in wide_site.ONCE:
            continue
        for before, after in itertools.pairwise(made):
            overlap_s = before.ended_s - after.begun_s
            if not after.continues or overlap_s > test_verdicts.OVERLAP_S:
                found.append(f"{attempt} ran twice: {before} {after}")
    return found


def find_broken_promises(
    site: Site, runs: dict[str, list[run_journals.Run]]
) -> list[str]:
    """Returns what ran, on any route, though a promise said it never would."""
    return [
        f"{attempt} ran: {outcome} {runs[attempt]}"
        for attempt, outcome in site.outcomes.items()
        if outcome.status in verdict_site.PROMISES and runs.get(attempt)
    ]


def tell(
    site: Site, seed: int, runs: dict[str, list[run_journals.Run]]
) -> None:
    """Prints what was played and answered."""
    counts: dict[int, int] = {}
    for outcome in site.outcomes.values():
        counts[outcome.status] = counts.get(outcome.status, 0) + 1
    print(
        f"seed {seed}: {len(site.gateways)} gateways, "
        f"{len(site.outcomes)} requests, {len(runs)} ran, "
        f"version {site.version}, weights {site.weights}, "
        f"answers {dict(sorted(counts.items()))}"
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken_while_a_whole_site_changes(
    seed: int, tmp_path: pathlib.Path
) -> None:
    site, runs = asyncio.run(_play(tmp_path, seed))
    tell(site, seed, runs)
    broken = find_twice(site, runs) + find_broken_promises(site, runs)
    print("\n".join(broken))
    assert broken == []
    assert any(
        outcome.status in verdict_site.PROMISES
        for outcome in site.outcomes.values()
    )
    assert len(runs) >= 2 * RUN_S
