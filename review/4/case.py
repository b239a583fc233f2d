"""A tenant becomes isolated; another one still uses what it had cached."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import engine
import http11
import small_site

HOST = "draft.example"
KEYS = {"bank": "key-of-bank-0001", "clinic": "key-of-clinic-0001"}
SHARED_PART = "5c1e07a2"
PROMPTS = 6


def configuration(version: int, *, is_isolated: bool) -> dict[str, object]:
    """Returns a configuration with two tenants."""
    tenants = [
        {
            "name": name,
            "apiKeys": [key],
            "priority": 1,
            "isolated": is_isolated and name == "bank",
        }
        for name, key in KEYS.items()
    ]
    return {
        "version": version,
        "routes": [engine.route(HOST, service="pool")],
        "services": [engine.service("pool")],
        "limits": small_site.limits(),
        "tenants": tenants,
    }


async def send_prompts(
    site: small_site.Site, record: small_site.Record, tenant: str
) -> set[str]:
    """Sends some prompts of a tenant; returns the ids of those served."""
    served = set()
    for number in range(PROMPTS):
        machine = site.machines[number % len(site.machines)]
        attempt, headers = engine.prompt_headers(
            HOST, KEYS[tenant], SHARED_PART
        )
        answer = await http11.ask_once(
            machine.host,
            site.front_port,
            f"POST /draft/{number} HTTP/1.1",
            headers,
        )
        record.write(
            f"client of {tenant}: {attempt} at {machine.name} answered"
            f" {answer.status}"
        )
        if answer.status == 200:
            served.add(attempt)
        await asyncio.sleep(0.2)
    return served


async def play(site: small_site.Site, record: small_site.Record) -> bool:
    """Plays the case; returns whether the rule was broken."""
    engines = [engine.Engine(site, "pool") for _ in range(2)]
    for one in engines:
        await one.start()
    # Without the change the tenant is isolated from the start.
    is_change_played = small_site.has_trouble()
    first = configuration(3, is_isolated=not is_change_played)
    if not await site.configure(first):
        raise small_site.CannotRunError("the first configuration was refused")
    await site.wait_ready()
    await asyncio.sleep(small_site.STABLE_WINDOW_S)
    await send_prompts(site, record, "bank")
    if is_change_played:
        if not await site.configure(configuration(5, is_isolated=True)):
            raise small_site.CannotRunError("the change was refused")
        record.write("bank is isolated from now on")
    await asyncio.sleep(small_site.CONFIG_APPLY_S + 1.0)
    late = await send_prompts(site, record, "clinic")
    if not late:
        raise small_site.CannotRunError("no later request was served")
    breaks = 0
    for one in engines:
        for attempt, tenant, part, maker in one.used:
            is_foreign = maker != tenant and "bank" in (maker, tenant)
            if attempt in late and is_foreign:
                breaks += 1
                record.write(f"{attempt} of {tenant} used {part} of {maker}")
    record.write(f"later requests that used memory of the other: {breaks}")
    return breaks > 0


if __name__ == "__main__":
    small_site.run(__file__, play)
