"""Kept connections to gateways that are stopped, paused and started again."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import time

import attrs
import pytest
from tests.processes import test_verdicts
from tests.support import run_journals
from tests.support import verdict_site

pytestmark = pytest.mark.processes
SEEDS = [int(seed) for seed in os.environ.get("SEEDS", "1").split(",")]
RUN_S = float(os.environ.get("RUN_S", "14"))
CALLERS = int(os.environ.get("CALLERS", "24"))
PORT = 23000
NETWORK = 77
# Requests that are sent at once on a connection.
AHEAD = (1, 1, 2, 5)
PAUSES_S = (0.3, 0.8, 1.5, 3.0)
# Fraction of answers whose caller stands still for up to 3 s within them.
SLOW_FRACTION = 0.2
PATIENCE_S = 12.0
# A target whose connection is closed ends its run within this time.
AT_WORK_S = 0.05

Site = verdict_site.VerdictSite


@attrs.define
class Fate:
    """What became of one request on a kept connection.

    Attributes:
      begun_s: Time at which its first byte was sent.
      sent_s: Time at which its last byte was sent.
      ended_s: Time of the answer's end, or of the connection's.
      status: Status; 0 if no answer began.
      is_whole: Whether the answer came whole.
      ahead: Number of requests sent before it without their answers.
    """

    begun_s: float
    sent_s: float
    ahead: int = 0
    ended_s: float = 0.0
    status: int = 0
    is_whole: bool = False


class Caller:
    """Sends requests on kept connections, some ahead of their answers."""

    def __init__(self, site: Site, name: int) -> None:
        """Calls the gateways of `site`."""
        self.site = site
        self.name = name
        self.fates: dict[str, Fate] = {}

    async def run(self, end_s: float) -> None:
        """Opens connections, one after another, until `end_s`."""
        while time.monotonic() < end_s:
            number = 3 + self.site.random.randrange(verdict_site.GATEWAYS)
            try:
                reader, writer = await asyncio.open_connection(
                    f"{self.site.network}.{number}",
                    PORT + verdict_site.FRONT,
                    limit=1 << 13,
                )
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                while time.monotonic() < end_s:
                    if not await self._ask(reader, writer):
                        break
                    await asyncio.sleep(self.site.random.uniform(0, 0.3))
            finally:
                writer.close()

    async def _ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends some requests; returns whether the connection stays open."""
        count = self.site.random.choice(AHEAD)
        fates: list[Fate] = []
        for _ in range(count):
            attempt = f"{self.name}-{len(self.fates) + 1}"
            route = self.site.random.choices(
                list(verdict_site.ROUTES), (0.3, 0.3, 0.3, 0.1)
            )[0]
            data = self._request(route, attempt)
            begun_s = time.monotonic()
            for part in (data[:40], data[40:]):
                writer.write(part)
                if self.site.random.random() < 0.1:
                    await asyncio.sleep(self.site.random.uniform(0, 0.5))
            self.fates[attempt] = Fate(begun_s, time.monotonic(), len(fates))
            fates.append(self.fates[attempt])
        stays = True
        for fate in fates:
            if stays:
                stays = await self._receive(reader, fate)
            fate.ended_s = fate.ended_s or time.monotonic()
        return stays

    def _request(self, route: str, attempt: str) -> bytes:
        body = bytes(self.site.random.choice((0, 10, 3000)))
        head = (
            f"POST /{route}/x HTTP/1.1\r\nHost: {verdict_site.HOST}\r\n"
            f"X-Cactusstile-Attempt-Id: {attempt}\r\n"
            f"Content-Length: {len(body)}\r\n"
        )
        if verdict_site.ROUTES[route][0] == "streaming":
            tokens = self.site.random.randint(20, 130)
            part = f"{self.site.random.randrange(1 << 30):x}"
            head += (
                "X-Cactusstile-Model: m\r\n"
                f"X-Cactusstile-Token-Usage: 100,{tokens}\r\n"
                f"X-Cactusstile-Prompt-Prefix: ab:60,{part}:40\r\n"
                f"X-Cactusstile-Length-Hint: {tokens}\r\n"
            )
        return head.encode() + b"\r\n" + body

    async def _receive(self, reader: asyncio.StreamReader, fate: Fate) -> bool:
        """Receives an answer; returns whether another one may follow."""
        stays = False
        try:
            async with asyncio.timeout(PATIENCE_S):
                stays = await self._read_answer(reader, fate)
                fate.is_whole = True
        except (OSError, TimeoutError, EOFError, ValueError, IndexError):
            pass
        fate.ended_s = time.monotonic()
        return stays

    async def _read_answer(
        self, reader: asyncio.StreamReader, fate: Fate
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        fate.status = int(head.split()[1])
        if self.site.random.random() < SLOW_FRACTION:
            await asyncio.sleep(self.site.random.uniform(0, 3))
        if "transfer-encoding: chunked" in head:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                await reader.readexactly(size + 2)
            await reader.readexactly(2)
        else:
            length = head.split("content-length:")[1].split("\r\n")[0]
            await reader.readexactly(int(length))
        return "connection: close" not in head


async def _pause(site: Site, number: int) -> None:
    process = site.processes[f"gateway-{number}"]
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(site.random.choice(PAUSES_S))
    process.send_signal(signal.SIGCONT)


async def _restart(site: Site, number: int) -> None:
    """Stops a gateway, with pauses in its drain, and starts it again."""
    process = site.processes[f"gateway-{number}"]
    with_signal = site.random.random() < 0.2
    if with_signal:
        process.send_signal(signal.SIGSTOP)
    process.send_signal(signal.SIGTERM)
    stopped_s = time.monotonic()
    if with_signal:
        await asyncio.sleep(site.random.choice(PAUSES_S))
        process.send_signal(signal.SIGCONT)
    elif site.random.random() < 0.7:
        await asyncio.sleep(site.random.uniform(0, 3))
        await _pause(site, number)
    await asyncio.to_thread(process.wait)
    lasted_s = time.monotonic() - stopped_s
    print(f"gateway {number} stopped within {lasted_s:.2f} s")
    site.start("gateway", number, first=False)


async def _disturb(site: Site, number: int, end_s: float) -> None:
    while time.monotonic() < end_s:
        await asyncio.sleep(site.random.uniform(0.5, 2.0))
        drawn = site.random.random()
        if drawn < 0.4:
            await _pause(site, number)
        elif drawn < 0.5:
            process = site.processes[f"gateway-{number}"]
            process.send_signal(signal.SIGHUP)
        else:
            await _restart(site, number)


def _is_timeout(fate: Fate, runs: list[run_journals.Run]) -> bool:
    """Returns whether the route's time ended a run that was at work until then.

    What a target had sent before that has to reach the caller.
    """
    waited_s = fate.ended_s - fate.begun_s
    if waited_s < verdict_site.TIMEOUT_S:
        return False
    return fate.ended_s - runs[-1].ended_s < AT_WORK_S


async def _play(folder: pathlib.Path, seed: int) -> list[str]:
    """Returns the requests that ran and ended without a whole answer."""
    network = f"127.{NETWORK + seed // 200}.{seed % 200}"
    services = test_verdicts.MIXES["all"].services
    async with verdict_site.open_site(
        folder, network, PORT, seed, services
    ) as site:
        end_s = time.monotonic() + RUN_S
        callers = [Caller(site, number) for number in range(CALLERS)]
        tasks = [caller.run(end_s) for caller in callers]
        for number in range(3, 3 + verdict_site.GATEWAYS):
            tasks.append(_disturb(site, number, end_s))
        await asyncio.gather(*tasks)
        await asyncio.sleep(test_verdicts.SETTLE_S)
    runs = run_journals.read_runs(folder, site.ends)
    lost = []
    counts: dict[str, int] = {}
    for caller in callers:
        for attempt, fate in caller.fates.items():
            name = str(fate.status) if fate.is_whole else f"cut {fate.status}"
            if not fate.is_whole:
                name += " ran" if attempt in runs else " not run"
                waited_s = fate.ended_s - fate.sent_s
                name += " ahead" if fate.ahead else f" {waited_s:.1f} s"
                if attempt in runs and not _is_timeout(fate, runs[attempt]):
                    lost.append(f"{attempt} after {waited_s:.2f} s: {fate}")
            counts[name] = counts.get(name, 0) + 1
    print(f"seed {seed}: {dict(sorted(counts.items()))}")
    for line in lost:
        print(line)
    return lost


# Guards against requests that run and end with a closed connection.
@pytest.mark.parametrize("seed", SEEDS)
def test_kept_connections_end_without_an_answer_at_stops_and_pauses(
    tmp_path: pathlib.Path, seed: int
) -> None:
    assert asyncio.run(_play(tmp_path, seed)) == []
