"""The platform's list holds an entry with bytes that cannot be read."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import secrets
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import http11
import small_site
import worker

HOST = "desk.example"
# Ends of its own by one process, and share of the core, that break the rule.
ENDS = 3
PLAYED_S = 25.0
REQUEST_INTERVAL_S = 0.1


def configuration(version: int) -> dict[str, object]:
    """Returns a configuration with one route to one service."""
    route = {
        "name": "r-desk",
        "host": HOST,
        "pathPrefix": "/look/",
        "kind": "idempotent",
        "timeoutMs": 2000,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": "desk",
        "maxAttempts": 2,
        "public": True,
        "sticky": False,
        "resumable": False,
    }
    service = {
        "name": "desk",
        "healthCheck": "/healthz",
        "maxConnections": 130,
        "protocol": "h1",
        "tls": False,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [service],
        "limits": small_site.limits(),
    }


def unreadable_entry(site: small_site.Site) -> dict[str, object]:
    """Returns an entry of another writer.

    Its texts hold bytes that are no UTF-8, as JSON escapes them.
    """
    bytes_of_other_writer = b"\xff\xfe".decode("utf-8", "surrogateescape")
    return {
        "id": f"i-{bytes_of_other_writer}",
        "service": "desk",
        "address": f"{site.network}.99:{site.port}",
        "zone": f"hall-{bytes_of_other_writer}",
        "version": f"v{bytes_of_other_writer}",
        "slots": 6,
        "state": "ready",
        "coldRemainingMs": 0,
    }


async def send_requests(
    site: small_site.Site,
    record: small_site.Record,
    answers: collections.Counter[str],
) -> None:
    """Sends requests to the gateways in turn, for `PLAYED_S` seconds."""
    for number in range(int(PLAYED_S / REQUEST_INTERVAL_S)):
        machine = site.machines[number % len(site.machines)]
        attempt = secrets.token_hex(8)
        answer = await http11.ask_once(
            machine.host,
            site.front_port,
            f"GET /look/{number} HTTP/1.1",
            {
                "Host": HOST,
                "X-Cactusstile-Attempt-Id": attempt,
                "X-Cactusstile-Deadline-Ms": "2500",
            },
            timeout_s=2.5,
        )
        result = str(answer.status or answer.start.partition(":")[0])
        answers[result] += 1
        record.write(f"client: {attempt} at {machine.name} answered {result}")
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def play(site: small_site.Site, record: small_site.Record) -> bool:
    """Plays the case; returns whether the rule was broken."""
    workers = [worker.Worker(site, "desk") for _ in range(4)]
    for one in workers:
        await one.start()
    if not await site.configure(configuration(3)):
        raise small_site.CannotRunError("the first configuration was refused")
    await site.wait_ready()
    for machine in site.machines:
        for role, ends in machine.own_ends.items():
            if ends:
                raise small_site.CannotRunError(f"{role} ended at the start")
    if small_site.has_trouble():
        site.entries.append(unreadable_entry(site))
        record.write("the list now holds an entry that cannot be read")
    answers: collections.Counter[str] = collections.Counter()
    sending = asyncio.create_task(send_requests(site, record, answers))
    await asyncio.sleep(PLAYED_S / 2)
    acknowledged = await site.configure(
        configuration(5), timeout_s=PLAYED_S / 2
    )
    await sending
    record.write(f"answers: {dict(answers)}; acknowledged: {acknowledged}")
    ending = []
    for machine in site.core:
        counts = {role: len(ends) for role, ends in machine.own_ends.items()}
        record.write(f"own ends of processes of {machine.name}: {counts}")
        if sum(counts.values()) >= ENDS:
            ending.append(machine.name)
    return 2 * len(ending) >= len(site.core)


if __name__ == "__main__":
    small_site.run(__file__, play)
