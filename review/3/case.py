"""A request crashes the workers that run it; they keep their ids."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time
import typing

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import engine
import http11
import small_site

HOST = "draft.example"
KEY = "key-of-bank-0001"
SOUND_PART = "5c1e07a2"
DEADLY_PATH = "/draft/deadly"
DEADLY_PREFIX = "91bd3f06:800,e4402b7d:50"
WORKERS = 5
BACK_S = 2.0
DEADLY_INTERVAL_S = 3.0
SOUND_INTERVAL_S = 0.2
PLAYED_S = 60.0
ALLOWED_RETRIES = 3


class FragileEngine(engine.Engine):
    """A model worker that crashes when it begins to run one request.

    Attributes:
      crashes: Times of the crashes of all workers.
      deadly_s: Times at which the request reached one.
    """

    crashes: typing.ClassVar[list[float]] = []
    deadly_s: typing.ClassVar[list[float]] = []
    tasks: typing.ClassVar[set[asyncio.Task[None]]] = set()

    async def answer(
        self,
        request: http11.Message,
        writer: asyncio.StreamWriter,
        own: dict[str, str],
    ) -> bool:
        """Answers sound requests; crashes under the other one."""
        if request.path != DEADLY_PATH:
            return await super().answer(request, writer, own)
        self.deadly_s.append(time.monotonic())
        await asyncio.sleep(0.02)
        self.crashes.append(time.monotonic())
        self.note(f"crashes; crash {len(self.crashes)} in all")
        same_id = not os.environ.get("NEW_IDS")
        task = asyncio.create_task(self.crash_for(BACK_S, same_id=same_id))
        self.tasks.add(task)
        return False


def configuration(version: int) -> dict[str, object]:
    """Returns a configuration with one streaming route."""
    return {
        "version": version,
        "routes": [engine.route(HOST, service="pool", maxAttempts=2)],
        "services": [engine.service("pool")],
        "limits": small_site.limits(),
        "tenants": [{"name": "bank", "apiKeys": [KEY], "priority": 1}],
    }


async def send(
    site: small_site.Site, record: small_site.Record, number: int, path: str
) -> None:
    """Sends a prompt to the gateways in turn."""
    machine = site.machines[number % len(site.machines)]
    attempt, headers = engine.prompt_headers(HOST, KEY, SOUND_PART)
    if path == DEADLY_PATH:
        headers["X-Cactusstile-Prompt-Prefix"] = DEADLY_PREFIX
    answer = await http11.ask_once(
        machine.host,
        site.front_port,
        f"POST {path} HTTP/1.1",
        headers,
        timeout_s=12.0,
    )
    record.write(
        f"client: {attempt} {path} at {machine.name} answered {answer.status},"
        f" whole: {answer.is_whole}"
    )


async def send_all(
    site: small_site.Site,
    record: small_site.Record,
    path: str,
    interval_s: float,
) -> None:
    """Sends prompts at an interval for `PLAYED_S` seconds."""
    async with asyncio.TaskGroup() as group:
        for number in range(int(PLAYED_S / interval_s)):
            place = path.format(number=number)
            group.create_task(send(site, record, number, place))
            await asyncio.sleep(interval_s)


async def play(site: small_site.Site, record: small_site.Record) -> bool:
    """Plays the case; returns whether the rule was broken."""
    for _ in range(WORKERS):
        await FragileEngine(site, "pool").start()
    if not await site.configure(configuration(3)):
        raise small_site.CannotRunError("the first configuration was refused")
    await site.wait_ready()
    await asyncio.sleep(small_site.STABLE_WINDOW_S)
    async with asyncio.TaskGroup() as group:
        sound = send_all(site, record, "/draft/{number}", SOUND_INTERVAL_S)
        group.create_task(sound)
        if small_site.has_trouble():
            deadly = send_all(site, record, DEADLY_PATH, DEADLY_INTERVAL_S)
            group.create_task(deadly)
    crashes = FragileEngine.crashes
    record.write(f"the request crashed workers {len(crashes)} times")
    if len(crashes) < 3:
        if small_site.has_trouble():
            raise small_site.CannotRunError("it crashed too few workers")
        return False
    from_s = crashes[2] + small_site.STABLE_WINDOW_S
    late = sum(at_s > from_s for at_s in FragileEngine.deadly_s)
    record.write(f"it reached workers {late} times after the stable window")
    return late > ALLOWED_RETRIES


if __name__ == "__main__":
    small_site.run(__file__, play)
