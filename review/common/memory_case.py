"""The part that the cases on the memory of gateways share."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import sys
import time
import uuid

import small_site

GATEWAYS = (4, 5)
WORKERS = tuple(range(21, 30))
MEMORY_MB = 150
# Requests that the strange client has open at each gateway, and the time from
# the start of the case until it ends.
OPEN_REQUESTS, END_S = 24, 105.0
ORDINARY_PER_S = 3.0
# "on a tenth of the machines in use (two at least), ... three times"
MACHINES, ENDS = 2, 3
RESTART_DELAY_S = 0.5
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "r-draft",
            "host": "site.example",
            "pathPrefix": "/draft/",
            "kind": "streaming",
            "timeoutMs": 12000,
            "targetLatencyMs": 300,
            "targetGapMs": 300,
            "priority": 0,
            "service": "model-pool",
            "maxAttempts": 2,
            "public": True,
            "sticky": True,
            "resumable": True,
        },
    ],
    "services": [
        {
            "name": "model-pool",
            "healthCheck": "/healthz",
            "maxConnections": 370,
            "engine": {
                "slots": 64,
                "kvCapacity": 43407,
                "kvTokenBytes": 163840,
                "linkMbps": 2200000.0,
                "models": [{"name": "m0"}],
            },
        },
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


class Day:
    """Ordinary clients, and the platform that ends processes."""

    def __init__(self, site: small_site.Site) -> None:
        """Nothing has happened yet."""
        self.site = site
        self.sent = 0
        self.served = 0
        self.ends = dict.fromkeys(GATEWAYS, 0)
        self.most_mb = 0.0

    def is_over(self, end_s: float) -> bool:
        """Returns whether the rule is broken, or the time is over."""
        often = sum(count >= ENDS for count in self.ends.values())
        return often >= MACHINES or time.monotonic() >= end_s

    async def send(self, gateway: int) -> None:
        """Sends an ordinary prompt and reads its answer."""
        identity = uuid.uuid4().hex[:16]
        fields = {
            "X-Cactusstile-Attempt-Id": identity,
            "X-Cactusstile-Deadline-Ms": "12000",
            "X-Cactusstile-Model": "m0",
            "X-Cactusstile-Token-Usage": "827,4",
            "X-Cactusstile-Prompt-Prefix": f"5c1e07a2:650,{identity[:8]}:177",
        }
        self.sent += 1
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError, ValueError
        ):
            answer = await asyncio.wait_for(
                small_site.ask(
                    self.site.host(gateway),
                    small_site.FRONT_PORT,
                    "POST",
                    "/draft/1",
                    fields,
                    body=b"y" * 200,
                ),
                13.0,
            )
            self.served += answer.status == 200

    async def run_ordinary(self, gateway: int, end_s: float) -> None:
        """Sends ordinary prompts at a fixed rate."""
        async with asyncio.TaskGroup() as group:
            while not self.is_over(end_s):
                group.create_task(self.send(gateway))
                await asyncio.sleep(1 / ORDINARY_PER_S)

    async def watch(self, gateway: int, end_s: float) -> None:
        """Does as the platform: ends a process over its memory."""
        name = f"gateway-{gateway}"
        told_s = time.monotonic()
        while not self.is_over(end_s):
            await asyncio.sleep(0.1)
            used_mb = self.site.resident_mb_of(name)
            self.most_mb = max(self.most_mb, used_mb)
            if time.monotonic() >= told_s:
                told_s += 2.0
                self.site.record.add(f"{name} holds {used_mb:.0f} MB")
            if used_mb <= MEMORY_MB:
                continue
            self.ends[gateway] += 1
            self.site.record.add(
                f"{name} holds {used_mb:.1f} MB, over {MEMORY_MB} MB: the"
                " platform kills it"
            )
            self.site.kill(name)
            await asyncio.sleep(RESTART_DELAY_S)
            self.site.start("gateway", gateway, first=False)


async def run(record: small_site.Record, kind: str) -> int:
    """Runs a case with a strange client of a kind; returns the exit code."""
    site = small_site.Site(record, MEMORY_MB)
    try:
        await site.open()
        for number in (1, 2, 3):
            site.start("registry", number)
        for number in GATEWAYS:
            site.start("gateway", number)
        models = [{"name": "m0", "version": 1, "adapters": []}]
        for number in WORKERS:
            site.start_worker(
                number,
                "model-pool",
                models=models,
                stage="both",
                options={"events": 1, "gap_ms": 1},
            )
        await site.configure(CONFIGURATION)
        for number in GATEWAYS:
            await site.wait_ready(number)
        await asyncio.sleep(3.0)
        day = Day(site)
        end_s = record.began_s + END_S
        if not small_site.has_trouble():
            kind = "plain"
        for number in GATEWAYS:
            site.start_strange(number, OPEN_REQUESTS, kind)
        async with asyncio.TaskGroup() as group:
            for number in GATEWAYS:
                group.create_task(day.watch(number, end_s))
                group.create_task(day.run_ordinary(number, end_s))
        await site.record_runs(WORKERS)
        return judge(record, day, site.strange_count())
    finally:
        await site.close()


def judge(record: small_site.Record, day: Day, strange: int) -> int:
    """Applies the rule to the ends of the gateways."""
    record.say(
        f"the strange client sent {strange} requests; ordinary ones:"
        f" {day.sent} sent, {day.served} served; most memory"
        f" {day.most_mb:.0f} MB; ends by memory: {day.ends}"
    )
    if not day.served or not strange:
        record.say("nothing was served; the case could not run")
        return small_site.NOT_RUN
    often = sum(count >= ENDS for count in day.ends.values())
    is_broken = often >= MACHINES
    record.say("the rule was broken" if is_broken else "the rule held")
    return small_site.BROKEN if is_broken else small_site.HELD


def main(folder: pathlib.Path, kind: str) -> None:
    """Runs a case and exits with its code."""
    record = small_site.Record(folder / "record.txt")
    try:
        code = asyncio.run(run(record, kind))
    except (small_site.CannotRunError, OSError) as error:
        record.say(f"the case could not run: {error}")
        code = small_site.NOT_RUN
    sys.exit(code)
