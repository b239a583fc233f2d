"""A site of real processes, targets too, and what its requests came to.

The journals of the targets tell which requests ran, and when; the callers know
what they were answered.
"""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
import typing

import attrs
from tests.support import node_site

ROOT = pathlib.Path(
    os.environ.get("VERDICTS_ROOT", pathlib.Path(__file__).parents[2])
)
GATEWAYS = 3
SLOTS = 4
# So many that no run is lost for want of them.
RETRY_SLACK = "3000"
BACKLOG = 3
FRONT, READINESS, OPERATOR, LIST = 6, 7, 8, 9
TARGET_PORT = 20
PROMISES = (408, 421, 429, 503)
# Timeout of each route.
TIMEOUT_S = 6.0
CALL_LIMIT_S = 8.0
START_LIMIT_S = 25.0
HOST = "verdicts.example"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
ENGINE_FIELDS = {
    "slots": SLOTS,
    "kvCapacity": 60_000,
    "kvTokenBytes": 1000,
    "backups": True,
    "models": [{"name": "m"}],
}
# Kind and whether streams can be resumed, by name.
ROUTES = {
    "read": ("idempotent", False),
    "write": ("non_idempotent", False),
    "talk": ("streaming", False),
    "draft": ("streaming", True),
}
# Routes whose requests may run once at most.
ONCE = ("write", "talk")


def document() -> dict[str, typing.Any]:
    """Returns the configuration of the site."""
    routes = [
        {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": round(1000 * TIMEOUT_S),
            "targetLatencyMs": 800,
            "priority": 1,
            "service": "engine" if kind == "streaming" else "plain",
            "maxAttempts": 3,
            "public": True,
            "sticky": kind == "streaming",
            "resumable": resumable,
            "targetGapMs": 300,
        }
        for name, (kind, resumable) in ROUTES.items()
    ]
    services: list[dict[str, typing.Any]] = [
        {"name": name, "healthCheck": "/healthz", "maxConnections": 300}
        for name in ("plain", "engine")
    ]
    services[1]["engine"] = ENGINE_FIELDS
    return {
        "version": 1,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": [],
    }


@attrs.define
class Outcome:
    """What became of one request.

    Attributes:
      route: Name of its route.
      gateway: Gateway that it was sent to.
      sent_s: Time at which it was sent.
      status: Status of the answer; 0 without one.
    """

    route: str
    gateway: int
    sent_s: float
    status: int = 0


@attrs.define(eq=False)
class TargetProcess:
    """A target and its entry in the list; it may be started again.

    Attributes:
      number: Number of its address.
      service: Its service.
      id: Id of the newest incarnation, in the list.
      born: Unix time of its start, in ms.
      leaving: Whether the list shows it as leaving.
      process: The newest process.
      key: Name of the newest process in the journals.
      weights: Version of its weights.
    """

    number: int
    service: str
    id: str = ""
    born: int = 0
    leaving: bool = False
    process: subprocess.Popen[bytes] | None = None
    key: str = ""
    weights: int = 1

    def command(self, text: str) -> None:
        """Sends a command to the process, if it runs."""
        assert self.process is not None
        assert self.process.stdin is not None
        with contextlib.suppress(OSError):
            self.process.stdin.write(text.encode() + b"\n")
            self.process.stdin.flush()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            self.process.send_signal(number)


@attrs.define(eq=False)
class VerdictSite:
    """One registry, some gateways and targets, each a process.

    Attributes:
      folder: Folder for settings, logs and journals.
      network: Prefix of the addresses of its processes.
      port: First port of the range that each process uses.
      random: Draws what is random.
      targets: The targets.
      outcomes: What became of the requests, by their id.
      ends: Times at which processes of targets were killed, by their key.
      processes: Gateways and the registry, by their names.
      odd_settings: Further settings of targets.
      memory_mb: Memory limit of each process of the system, in MB.
    """

    folder: pathlib.Path
    network: str
    port: int
    random: random.Random
    targets: list[TargetProcess] = attrs.field(factory=list)
    outcomes: dict[str, Outcome] = attrs.field(factory=dict)
    ends: dict[str, float] = attrs.field(factory=dict)
    processes: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)
    odd_settings: dict[str, typing.Any] = attrs.field(factory=dict)
    memory_mb: int = node_site.MEMORY_MB

    def seeds(self) -> str:
        """Returns the operator addresses of the registries."""
        return f"{self.network}.2:{self.port + OPERATOR}"

    def zone_of(self, number: int) -> str:
        """Returns the data centre of an address."""
        del number
        return "here"

    def start(self, role: str, number: int, *, first: bool) -> None:
        """Starts a process of the system by the command of its role."""
        name = f"{role}-{number}"
        filled = node_site.values(
            name=name,
            host=f"{self.network}.{number}",
            port=self.port,
            seeds=self.seeds(),
            platform=f"{self.network}.1:{self.port + LIST}",
            folder=self.folder / name,
            first_start=first,
            memory_mb=self.memory_mb,
        )
        filled["bounds.budgetSlack"] = RETRY_SLACK
        filled["zone"] = self.zone_of(number)
        text = (ROOT / "deploy" / f"{role}.ini").read_text()
        for key, value in filled.items():
            text = text.replace("{{" + key + "}}", value)
        path = self.folder / f"{name}.ini"
        path.write_text(text)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(  # noqa: S603
                [sys.executable, "-m", f"cactusstile.{role}"],
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "PYTHONPATH": str(ROOT / "src"),
                    "CACTUSSTILE_SETTINGS": str(path),
                },
            )

    def start_target(self, target: TargetProcess, *, new_id: bool) -> None:
        """Starts a target, or starts it again."""
        target.born = max(target.born + 1, int(time.time() * 1000))
        if new_id:
            target.id = f"t{target.number}-{target.born}"
        target.leaving = False
        target.key = f"{target.id}/{target.born}"
        settings = {
            "id": target.id,
            "key": target.key,
            "born": target.born,
            "seed": self.random.random(),
            "journal": str(self.folder / f"target-{target.number}.journal"),
            "host": f"{self.network}.{target.number}",
            "port": self.port + TARGET_PORT,
            "backlog": BACKLOG,
            "slots": SLOTS,
            "engine": target.service == "engine",
            "weights": target.weights,
            **self.odd_settings,
        }
        path = pathlib.Path(__file__).parent / "target_process.py"
        with (self.folder / f"target-{target.number}.log").open("ab") as log:
            target.process = subprocess.Popen(  # noqa: S603
                [sys.executable, str(path), json.dumps(settings)],
                stdin=subprocess.PIPE,
                stderr=log,
            )

    async def end_target(self, target: TargetProcess) -> None:
        """Kills a target and notes when it had ended."""
        assert target.process is not None
        target.process.kill()
        key = target.key
        await asyncio.to_thread(target.process.wait)
        self.ends.setdefault(key, time.monotonic())

    def entries(self) -> list[dict[str, typing.Any]]:
        """Returns the platform's list of targets."""
        return [
            {
                "id": target.id,
                "service": target.service,
                "address": f"{self.network}.{target.number}:"
                f"{self.port + TARGET_PORT}",
                "zone": self.zone_of(target.number),
                "slots": SLOTS,
                "state": "draining" if target.leaving else "ready",
                "coldRemainingMs": 0,
                "born": target.born,
                "stage": "both",
                "models": [
                    {"name": "m", "version": target.weights, "adapters": []}
                ]
                if target.service == "engine"
                else [],
            }
            for target in self.targets
        ]

    async def answer_list(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Responds to reads of the list on one connection."""
        with (
            contextlib.closing(writer),
            contextlib.suppress(OSError, asyncio.IncompleteReadError),
        ):
            while await reader.readuntil(b"\r\n\r\n"):
                body = json.dumps({"instances": self.entries(), "next": None})
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write((head + body).encode())

    async def ask(
        self, number: int, offset: int, head: str, body: bytes = b""
    ) -> int:
        """Sends a request on a new connection; returns its status, or 0."""
        host = f"{self.network}.{number}"
        fields = f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        writer = None
        status = 0
        try:
            async with asyncio.timeout(CALL_LIMIT_S):
                reader, writer = await asyncio.open_connection(
                    host, self.port + offset
                )
                writer.write((head + fields).encode() + body)
                line = await reader.readline()
                status = int(line.split()[1]) if line else 0
                while await reader.read(1 << 16):
                    continue
        except (OSError, TimeoutError, asyncio.LimitOverrunError):
            return status
        finally:
            if writer is not None:
                writer.close()
        return status

    async def call(self, gateway: int, route: str, attempt: str) -> None:
        """Sends one request as a caller and notes its outcome."""
        outcome = Outcome(route, gateway, time.monotonic())
        self.outcomes[attempt] = outcome
        head = (
            f"POST /{route}/x HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Cactusstile-Attempt-Id: {attempt}\r\n"
            "X-Cactusstile-Deadline-Ms: 5000\r\n"
        )
        if ROUTES[route][0] == "streaming":
            tokens = self.random.randint(20, 130)
            part = f"{self.random.randrange(1 << 30):x}"
            head += (
                "X-Cactusstile-Model: m\r\n"
                f"X-Cactusstile-Token-Usage: 100,{tokens}\r\n"
                f"X-Cactusstile-Prompt-Prefix: ab:60,{part}:40\r\n"
                f"X-Cactusstile-Length-Hint: {tokens}\r\n"
            )
        outcome.status = await self.ask(gateway, FRONT, head)


@contextlib.asynccontextmanager
async def open_site(
    folder: pathlib.Path,
    network: str,
    port: int,
    seed: int,
    services: collections.abc.Sequence[str],
) -> collections.abc.AsyncIterator[VerdictSite]:
    """Starts a site and applies its configuration; kills all on exit.

    Args:
      folder: Folder for settings, logs and journals.
      network: Prefix of the addresses.
      port: First port of the range that each process uses.
      seed: Seed of what is random.
      services: Service of each target.
    """
    site = VerdictSite(folder, network, port, random.Random(seed))
    server = await asyncio.start_server(
        site.answer_list, f"{network}.1", port + LIST
    )
    for number, service in enumerate(services):
        site.targets.append(TargetProcess(100 + number, service))
    try:
        for target in site.targets:
            site.start_target(target, new_id=True)
        site.start("registry", 2, first=True)
        for number in range(3, 3 + GATEWAYS):
            site.start("gateway", number, first=True)
        await _configure(site)
        yield site
    finally:
        server.close()
        for process in site.processes.values():
            process.kill()
            process.wait()
        for target in site.targets:
            if target.process is not None:
                target.process.kill()
                target.process.wait()


async def _configure(site: VerdictSite) -> None:
    body = json.dumps(document()).encode()
    head = "POST /-/Config.Replace HTTP/1.1\r\nHost: operator\r\n"
    ready = "GET /-/readyz HTTP/1.1\r\nHost: balancer\r\n"
    async with asyncio.timeout(START_LIMIT_S):
        while await site.ask(2, OPERATOR, head, body) != 200:
            await asyncio.sleep(0.1)
        for number in range(3, 3 + GATEWAYS):
            while await site.ask(number, READINESS, ready) != 200:
                await asyncio.sleep(0.1)
