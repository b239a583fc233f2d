"""A worker that ends its lines with CR crashes in the middle of a stream."""

from __future__ import annotations

import asyncio
import pathlib
import re
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import engine
import http11
import small_site

HOST = "draft.example"
KEY = "key-of-bank-0001"
STREAMS = 10
WORKERS = 5
EVENTS = 120
# A gateway takes part in the budget of retries after 1.5 of its windows.
BUDGET_KNOWN_S = 18.0
_ID = re.compile(rb"id: ([0-9]+)\r")


def configuration(version: int) -> dict[str, object]:
    """Returns a configuration with one streaming route."""
    return {
        "version": version,
        "routes": [engine.route(HOST, service="pool")],
        "services": [engine.service("pool")],
        "limits": small_site.limits(),
        "tenants": [{"name": "bank", "apiKeys": [KEY], "priority": 1}],
    }


async def read_stream(
    site: small_site.Site, record: small_site.Record, number: int
) -> list[int]:
    """Sends a prompt; returns the ids of the events in its one answer."""
    machine = site.machines[number % len(site.machines)]
    attempt, headers = engine.prompt_headers(HOST, KEY, "5c1e07a2")
    answer = await http11.ask_once(
        machine.host,
        site.front_port,
        f"POST /draft/{number} HTTP/1.1",
        headers,
        timeout_s=12.0,
    )
    ids = [int(found) for found in _ID.findall(answer.body)]
    record.write(
        f"client: {attempt} at {machine.name} answered {answer.status},"
        f" whole: {answer.is_whole}, ids {ids}"
    )
    return ids


async def play(site: small_site.Site, record: small_site.Record) -> bool:
    """Plays the case; returns whether the rule was broken."""
    engines = [
        engine.Engine(site, "pool", events=EVENTS, pause_s=0.03, line_end="\r")
        for _ in range(WORKERS)
    ]
    for one in engines:
        await one.start()
    if not await site.configure(configuration(3)):
        raise small_site.CannotRunError("the first configuration was refused")
    await site.wait_ready()
    await asyncio.sleep(BUDGET_KNOWN_S)
    reading = [
        asyncio.create_task(read_stream(site, record, number))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(1.0)
    if small_site.has_trouble():
        busiest = max(engines, key=lambda one: len(one.received))
        record.write(f"worker {busiest.id} crashes")
        busiest.crash()
    breaks = 0
    for ids in await asyncio.gather(*reading):
        if not ids:
            raise small_site.CannotRunError("a stream brought no event")
        breaks += ids != list(range(1, len(ids) + 1))
    record.write(f"streams with events missing or twice: {breaks}")
    return breaks > 0


if __name__ == "__main__":
    small_site.run(__file__, play)
