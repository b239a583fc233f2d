"""Kills and freezes an agent while callers send keyed service calls.

The outcomes that callers received are compared with the ledger of the fake
service.
"""

from __future__ import annotations

import collections
import json
import os
import pathlib
import random
import signal
import typing

import anyio
import attrs
import httpcore
import pytest
from tests.support import site_processes

from cactusstile.console import application
from cactusstile.console import exceptions

pytestmark = pytest.mark.processes

SEEDS = [int(seed) for seed in os.environ.get("SEEDS", "1").split(",")]
CALLERS = 6
RUN_S = 8.0
ATTEMPTS = 3
ATTEMPT_TIMEOUT_S = 6.0
SETTLE_TIME_S = 7.0
FAULT_PAUSE_S = (0.3, 0.9)


@attrs.define
class CallRecord:
    """Outcomes that the caller of one key received, one for each attempt."""

    key: str
    outcomes: list[str] = attrs.field(factory=list)


async def _attempt(site: site_processes.Site, entry: str, key: str) -> str:
    """Sends one attempt; returns "answered", a verdict, or "unknown"."""
    url = f"http://{site.host}:{site.port(f'{entry}-callers')}"
    headers: dict[bytes | str, bytes | str] = {
        "authorization": f"Bearer {site.keys['bank']}",
        "idempotency-key": key,
    }
    with anyio.move_on_after(ATTEMPT_TIMEOUT_S):
        async with httpcore.AsyncConnectionPool() as connections:
            try:
                response = await connections.request(
                    "POST",
                    f"{url}/services/inventory/orders",
                    headers=headers,
                    content=b"{}",
                )
            except (httpcore.NetworkError, httpcore.ProtocolError):
                return "unknown"
        if response.status == 200:
            return "answered"
        return str(json.loads(response.content)["error"]["verdict"])
    return "unknown"


async def _call_until(
    site: site_processes.Site, caller: int, history: list[CallRecord]
) -> None:
    end_s = anyio.current_time() + RUN_S
    count = 0
    while anyio.current_time() < end_s:
        count += 1
        record = CallRecord(f"{caller}-{count}")
        history.append(record)
        for attempt in range(ATTEMPTS):
            entry = f"entry-{1 + (caller + attempt) % 2}"
            record.outcomes.append(await _attempt(site, entry, record.key))
            if record.outcomes[-1] == "answered":
                break
            await anyio.sleep(0.1)


async def _inject_faults(
    site: site_processes.Site, random_source: random.Random
) -> None:
    end_s = anyio.current_time() + RUN_S
    while anyio.current_time() < end_s:
        await anyio.sleep(random_source.uniform(*FAULT_PAUSE_S))
        if random_source.random() < 0.5:
            site.kill("service-1")
            await anyio.sleep(random_source.uniform(0, 0.3))
            site_processes.start_agent(site, "service-1", "service")
            continue
        process = site.processes["service-1"]
        process.send_signal(signal.SIGSTOP)
        await anyio.sleep(random_source.uniform(0.2, 1.5))
        process.send_signal(signal.SIGCONT)


async def _run(site: site_processes.Site, seed: int) -> list[CallRecord]:
    history: list[CallRecord] = []
    async with anyio.create_task_group() as group:
        for caller in range(CALLERS):
            group.start_soon(_call_until, site, caller, history)
        group.start_soon(_inject_faults, site, random.Random(seed))
    await anyio.sleep(SETTLE_TIME_S)
    return history


def _read_ledger(site: site_processes.Site) -> collections.Counter[str]:
    site.stop("service-1-target")
    text = (site.folder / "service-1-ledger.json").read_text()
    ledger: list[list[typing.Any]] = json.loads(text)
    return collections.Counter(key.removeprefix("c:") for _, key in ledger)


@pytest.mark.parametrize("seed", SEEDS)
def test_keyed_calls_run_at_most_once_under_kills_and_freezes(
    seed: int, tmp_path: pathlib.Path
) -> None:
    with site_processes.open_site(tmp_path) as site:
        fleet = site.write("fleet.ini", site_processes.fleet_text(site))
        operator = site.write_operator()
        code = application.run(
            ["apply", str(fleet), "--settings", str(operator)]
        )
        assert code is exceptions.ExitCode.OK
        for name in ("entry-1", "entry-2", "service-1"):
            site.wait_ready(name)
        history = anyio.run(_run, site, seed)
        ledger = _read_ledger(site)
    answered = [
        record for record in history if record.outcomes[-1] == "answered"
    ]
    refused = [record for record in history if record.outcomes[-1] == "not_run"]
    assert len(answered) >= 20
    assert [key for key, count in ledger.items() if count > 1] == []
    assert [record.key for record in answered if not ledger[record.key]] == []
    assert [record for record in refused if ledger[record.key]] == []
