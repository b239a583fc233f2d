"""Compares answers with journals while gateways are at their own limits.

Gateways with little memory and few places for connections are crowded, stand
still for longer than the timeouts of routes, and stop while targets stand still
in the middle of long bodies. Engines are so small that prompts wait.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import time
import typing

import pytest
from tests.processes import test_verdicts
from tests.processes import test_verdicts_of_a_site
from tests.support import run_journals
from tests.support import verdict_site
from tests.support import wide_site

pytestmark = pytest.mark.processes

SEEDS = [int(seed) for seed in os.environ.get("SEEDS", "1").split(",")]
RUN_S = float(os.environ.get("RUN_S", "8"))
NETWORK = int(os.environ.get("NETWORK", "180"))
CALLERS = int(os.environ.get("CALLERS", "24"))
GATEWAYS = 3
SERVICES = ("plain",) * 2 + ("other",) + ("engine",) * 3
ODD_TARGETS = {"queue": 4, "early": 0.3}
# Room for 100 connections and two of the longest bodies.
MEMORY_MB = 20
CROWD = 150
BODY_SIZES = (0, 150_000, 1_500_000)
# Room for three prompts in each engine.
CAPACITY_TOKENS = 600
FREEZES_S = (0.5, 1.2, 3.0, 7.0)


class SmallSite(wide_site.WideSite):
    """A site with little memory."""

    def document(self) -> dict[str, typing.Any]:
        """Returns the next configuration, with small engines."""
        found = super().document()
        for service in found["services"]:
            if "engine" in service:
                service["engine"] = service["engine"] | {
                    "kvCapacity": CAPACITY_TOKENS
                }
        return found


async def _stop_beside_silent_targets(site: wide_site.WideSite) -> None:
    """Stops a gateway while targets stand still, and starts it again."""
    silent = site.random.sample(site.targets, 4)
    number = site.random.choice(site.gateways)
    for target in silent:
        target.signal(signal.SIGSTOP)
    await asyncio.sleep(site.random.uniform(0, 1))
    site.signal(number, signal.SIGTERM)
    await asyncio.sleep(site.random.uniform(0.3, 4))
    for target in silent:
        target.signal(signal.SIGCONT)
    await asyncio.to_thread(site.processes[f"gateway-{number}"].wait)
    site.start("gateway", number, first=False)


async def _freeze(site: wide_site.WideSite) -> None:
    number = site.random.choice(site.gateways)
    site.signal(number, signal.SIGSTOP)
    await asyncio.sleep(site.random.choice(FREEZES_S))
    site.signal(number, signal.SIGCONT)


async def _crowd(site: wide_site.WideSite) -> None:
    """Fills a gateway with connections that send a part of a request."""
    host = f"{site.network}.{site.random.choice(site.gateways)}"
    part = f"POST /read/x HTTP/1.1\r\nHost: {verdict_site.HOST}\r\n".encode()
    if site.random.random() < 0.5:
        part += b"Content-Length: 200000\r\n\r\n" + b"x" * 100_000
    opened = []
    for _ in range(CROWD):
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(0.2):
                _, writer = await asyncio.open_connection(
                    host, site.port + verdict_site.FRONT
                )
            writer.write(part)
            opened.append(writer)
    await asyncio.sleep(site.random.uniform(0.5, 2))
    for writer in opened:
        writer.close()


async def _harm_targets(
    site: wide_site.WideSite, share: int, end_s: float
) -> None:
    """Injects faults into the targets of a share until `end_s`."""
    faults = list(test_verdicts.MIXES["all"].faults)
    while time.monotonic() < end_s:
        await asyncio.sleep(site.random.uniform(0.2, 1.0))
        fault = site.random.choice(faults)
        await fault(site, site.random.choice(site.targets[share::2]))


async def _play(
    folder: pathlib.Path, seed: int
) -> tuple[SmallSite, dict[str, list[run_journals.Run]]]:
    network = f"127.{NETWORK + seed // 200}.{seed % 200}"
    site = SmallSite(folder, network, 23000, random.Random(seed))
    site.odd_settings = ODD_TARGETS
    site.memory_mb = MEMORY_MB
    repeat = test_verdicts_of_a_site.repeat
    async with wide_site.open_site(site, SERVICES, GATEWAYS):
        end_s = time.monotonic() + RUN_S
        callers = [
            wide_site.WideCaller(site, str(number), body_sizes=BODY_SIZES)
            for number in range(CALLERS)
        ]
        await asyncio.gather(
            repeat(site, (_stop_beside_silent_targets,), 1.0, end_s),
            repeat(site, (_freeze,), 1.0, end_s),
            repeat(site, (_crowd,), 0.5, end_s),
            repeat(site, (SmallSite.configure,), 1.0, end_s),
            *(_harm_targets(site, share, end_s) for share in range(2)),
            *(caller.run(end_s) for caller in callers),
        )
        await asyncio.sleep(test_verdicts.SETTLE_S)
    return site, run_journals.read_runs(site.folder, site.ends)


# Guards against promises that are broken beside refusals by own limits.
@pytest.mark.parametrize("seed", SEEDS)
def test_promise_is_broken_at_limits_of_gateways_or_after_long_pauses(
    seed: int, tmp_path: pathlib.Path
) -> None:
    site, runs = asyncio.run(_play(tmp_path, seed))
    test_verdicts_of_a_site.tell(site, seed, runs)
    broken = test_verdicts_of_a_site.find_twice(site, runs)
    broken += test_verdicts_of_a_site.find_broken_promises(site, runs)
    print("\n".join(broken))
    assert broken == []
    assert any(
        outcome.status in verdict_site.PROMISES
        for outcome in site.outcomes.values()
    )
    assert len(runs) >= 2 * RUN_S
