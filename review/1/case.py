"""A core machine is replaced; the next one loses its disk soon after."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import http11
import small_site
import worker

CATCH_UP_S = 4.0
RECOVERY_S = 12.0
# The successor starts this long after the machine that is gone.
SUCCESSOR_S = 1.0
DOWN_S = 1.0
# Added to the time for which the successor still counts as lost.
MARGIN_S = 0.2


def configuration(version: int) -> dict[str, object]:
    """Returns a configuration with one route."""
    route = {
        "name": "r-desk",
        "host": "desk.example",
        "pathPrefix": "/look/",
        "kind": "idempotent",
        "timeoutMs": 1000 + version,
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


async def read_version(
    site: small_site.Site, record: small_site.Record, timeout_s: float
) -> int:
    """Reads the configuration back; returns 0 if it does not come."""
    answer = await site.call_operator(
        "GET", "/-/Config.Get", timeout_s=timeout_s
    )
    version = 0
    if answer is not None and answer.status == 200:
        version = json.loads(answer.body)["version"]
    record.write(f"operator reads back version {version}")
    return version


async def leader(site: small_site.Site) -> small_site.Machine:
    """Returns the machine of the core that acknowledges now."""
    for machine in site.core:
        if machine.is_off:
            continue
        answer = await http11.ask_once(
            machine.host,
            site.control_port,
            "GET /-/Config.Get HTTP/1.1",
            {"Host": machine.host, "Connection": "close"},
            timeout_s=1.0,
        )
        if answer.status == 200:
            return machine
    raise small_site.CannotRunError("nobody leads")


async def play(site: small_site.Site, record: small_site.Record) -> bool:
    """Plays the case; returns whether the rule was broken."""
    await worker.Worker(site, "desk").start()
    if not await site.configure(configuration(3)):
        raise small_site.CannotRunError("the first configuration was refused")
    await site.wait_ready()
    await asyncio.sleep(small_site.STABLE_WINDOW_S)
    acting = await leader(site)
    others = [machine for machine in site.core if machine is not acting]
    if small_site.has_trouble():
        gone = others[0]
        await gone.lose(with_disk=True)
        await asyncio.sleep(SUCCESSOR_S)
        successor = site.add_core_machine()
        # The operator's list names those that serve control now.
        site.seeds = [
            f"{machine.host}:{site.control_port}"
            for machine in (acting, others[1], successor)
        ]
        await successor.start()
        started_s = time.monotonic()
        record.write(f"{gone.name} is gone; {successor.name} replaces it")
        await asyncio.sleep(CATCH_UP_S + MARGIN_S)
    if not await site.configure(configuration(5)):
        raise small_site.CannotRunError("the change was not acknowledged")
    if small_site.has_trouble():
        lost = await leader(site)
        since_s = time.monotonic() - started_s
        record.write(f"{since_s:.2f} s after the start of the successor")
        await lost.lose(with_disk=True)
        await asyncio.sleep(DOWN_S)
        await lost.start()
        record.write(f"{lost.name} is back with an empty disk")
    await asyncio.sleep(CATCH_UP_S + RECOVERY_S)
    version = await read_version(site, record, 25.0)
    return version != 5


if __name__ == "__main__":
    small_site.run(__file__, play)
