"""A small deployment of real processes on loopback addresses.

Registries and gateways are started by the commands of the deploy file, from
`target/deps`. The platform's list, the operator and the clients are small
stand-ins in this process; workers are processes of `worker.py`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
INTERNAL_PORTS = "7700,7715"
FRONT_PORT, READY_PORT, CONTROL_PORT = 8005, 8002, 8000
PLATFORM_PORT, WORKER_PORT = 8007, 8080
BROKEN, HELD, NOT_RUN = 1, 0, 2
START_TIMEOUT_S = 40.0
# Runs of a worker that are told one by one; of more only the count is.
MAX_LISTED_RUNS = 500
BOUNDS = {
    "bounds.graceS": "8",
    "bounds.retryBudgetRatio": "0.2",
    "bounds.budgetWindowS": "10",
    "bounds.budgetSlack": "58",
    "bounds.versionMs": "6000",
    "limits.linkMbps": "1000.0",
}


class CannotRunError(Exception):
    """Raised if the case could not run as described."""


class Record:
    """What was sent, answered and run, in `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        """Begins an empty record."""
        self.file = path.open("w", encoding="utf-8")
        self.began_s = time.monotonic()

    def add(self, text: str) -> None:
        """Adds a line with the time since the start."""
        self.file.write(f"{time.monotonic() - self.began_s:8.3f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Adds a line and prints it."""
        self.add(text)
        sys.stdout.write(text + "\n")
        sys.stdout.flush()


class Site:
    """The processes of a deployment, and the stand-ins around them."""

    def __init__(self, record: Record, memory_mb: int = 150) -> None:
        """Draws a loopback network for this run only."""
        self.record = record
        self.memory_mb = memory_mb
        pick = random.SystemRandom()
        self.net = f"127.{pick.randrange(2, 250)}.{pick.randrange(1, 250)}"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.listed: list[dict[str, object]] = []
        self.registry_hosts = [self.host(n) for n in (1, 2, 3)]
        self.platform = f"{self.host(100)}:{PLATFORM_PORT}"
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    def host(self, number: int) -> str:
        """Returns the address of a machine."""
        return f"{self.net}.{number}"

    async def open(self) -> None:
        """Starts the platform's list."""
        self._server = await asyncio.start_server(
            self._serve_platform, self.host(100), PLATFORM_PORT
        )

    async def close(self) -> None:
        """Ends all processes and removes the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()
        await asyncio.sleep(0.1)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _serve_platform(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                body = {"instances": self.listed, "next": None}
                writer.write(encode_answer(200, json.dumps(body).encode()))
                await writer.drain()
        writer.close()

    def start(self, role: str, number: int, *, first: bool = True) -> str:
        """Starts a registry or a gateway on a machine; returns its name."""
        host = self.host(number)
        name = f"{role}-{number}"
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        text = (ROOT / "deploy" / f"{role}.ini").read_text()
        seeds = ",".join(f"{one}:{CONTROL_PORT}" for one in self.registry_hosts)
        values = {
            "node": name,
            "ip": host,
            "zone": "zone-a",
            "zones": '{"zone-a": "region-a"}',
            "bootstrap": str(first).lower(),
            "dataDir": str(folder),
            "internalPorts": INTERNAL_PORTS,
            "limits.memoryMb": str(self.memory_mb),
            "listen.front": f"{host}:{FRONT_PORT}",
            "listen.ready": f"{host}:{READY_PORT}",
            "listen.control": f"{host}:{CONTROL_PORT}",
            "seeds": seeds,
            "cloud.address": self.platform,
            **BOUNDS,
        }
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", value)
        settings = self.folder / f"{name}.ini"
        settings.write_text(text)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CACTUSSTILE_SETTINGS": str(settings),
        }
        self._spawn(
            name, ["python3", "-S", "-m", f"cactusstile.{role}"], environment
        )
        return name

    def start_worker(self, number: int, service: str, **extra: object) -> str:
        """Starts a worker and lists it; returns its id."""
        identity = str(extra.pop("id", f"i-{service}-{number}"))
        options = extra.pop("options", {})
        place = f"{self.host(number)}:{WORKER_PORT}"
        command = [
            sys.executable,
            str(HERE / "worker.py"),
            place,
            identity,
            json.dumps(options),
        ]
        self._spawn(f"worker-{number}", command, dict(os.environ))
        self.listed.append(
            {
                "id": identity,
                "service": service,
                "address": place,
                "zone": "zone-a",
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "coldRemainingMs": 0,
                "born": int(time.time() * 1000),
                **extra,
            }
        )
        return identity

    def start_strange(self, gateway: int, count: int, kind: str) -> None:
        """Starts a strange client of a gateway; see `strange.py`."""
        command = [
            sys.executable,
            str(HERE / "strange.py"),
            f"{self.host(gateway)}:{FRONT_PORT}",
            str(count),
            kind,
        ]
        self._spawn(f"strange-{gateway}", command, dict(os.environ))

    def strange_count(self) -> int:
        """Returns about how many requests the strange clients have sent."""
        total = 0
        for log in self.folder.glob("strange-*.log"):
            lines = log.read_text().split()
            total += int(lines[-1]) if lines else 0
        return total

    def restart_worker(self, number: int, **options: object) -> None:
        """Starts a worker that was killed again, at its address and id.

        The platform's list still shows it as it was; see `relist`.
        """
        place = f"{self.host(number)}:{WORKER_PORT}"
        entry = next(one for one in self.listed if one["address"] == place)
        command = [
            sys.executable,
            str(HERE / "worker.py"),
            place,
            str(entry["id"]),
            json.dumps(options),
        ]
        self._spawn(f"worker-{number}", command, dict(os.environ))

    def relist(self, number: int, **change: object) -> None:
        """Changes what the platform's list says of a worker."""
        place = f"{self.host(number)}:{WORKER_PORT}"
        for entry in self.listed:
            if entry["address"] == place:
                entry.update(change)
        self.record.add(f"list: worker-{number} {json.dumps(change)}")

    def kill(self, name: str) -> None:
        """Kills a process."""
        process = self.processes[name]
        process.kill()
        process.wait()
        self.record.add(f"killed {name}")

    def _spawn(
        self, name: str, command: list[str], environment: dict[str, str]
    ) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(  # noqa: S603
                command,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )
        self.record.add(f"started {name}")

    async def configure(self, configuration: dict[str, object]) -> None:
        """Sends a configuration until it is acknowledged."""
        await self._order("/-/Config.Replace", configuration)

    async def name_weights(self, model: str, version: int) -> None:
        """Names weights until that is acknowledged."""
        await self._order(
            "/-/version-put", {"model": model, "version": version}
        )

    async def _order(self, path: str, body: dict[str, object]) -> None:
        end_s = time.monotonic() + START_TIMEOUT_S
        hosts = list(self.registry_hosts)
        while time.monotonic() < end_s:
            host = hosts[0]
            try:
                answer = await asyncio.wait_for(
                    ask(
                        host,
                        CONTROL_PORT,
                        "POST",
                        path,
                        {},
                        body=json.dumps(body).encode(),
                    ),
                    1.0,
                )
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                hosts.append(hosts.pop(0))
                await asyncio.sleep(0.1)
                continue
            if answer.status == 200:
                self.record.add(f"operator: {path} acknowledged by {host}")
                return
            if answer.status == 307:
                place = answer.fields["location"].split("/")[2]
                hosts.insert(0, place.rpartition(":")[0])
                continue
            hosts.append(hosts.pop(0))
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{path} was never acknowledged")

    async def wait_ready(self, number: int) -> None:
        """Waits until a gateway says that it is ready."""
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            if await self.is_ready(number):
                self.record.add(f"gateway-{number} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"gateway-{number} is never ready")

    async def is_ready(self, number: int) -> bool:
        """Asks a gateway once, as the platform does; waits one second."""
        try:
            answer = await asyncio.wait_for(
                ask(self.host(number), READY_PORT, "GET", "/-/readyz", {}), 1.0
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    async def tell_worker(self, number: int, **change: object) -> None:
        """Changes how a worker behaves."""
        await ask(
            self.host(number),
            WORKER_PORT,
            "POST",
            "/test/change",
            {},
            body=json.dumps(change).encode(),
        )
        self.record.add(f"worker-{number} changes: {json.dumps(change)}")

    async def runs_of(self, number: int) -> list[dict[str, object]]:
        """Returns what a worker ran."""
        answer = await ask(
            self.host(number), WORKER_PORT, "GET", "/test/runs", {}
        )
        found = json.loads(answer.body)
        if not isinstance(found, list):
            raise CannotRunError("a worker told no runs")
        return found

    async def record_runs(self, numbers: tuple[int, ...]) -> None:
        """Records what workers ran since they started."""
        for number in numbers:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                runs = await self.runs_of(number)
                self.record.add(f"worker-{number} ran {len(runs)} requests")
                if len(runs) > MAX_LISTED_RUNS:
                    continue
                for one in runs:
                    self.record.add(f"worker-{number} ran {one['id']}")

    def resident_mb_of(self, name: str) -> float:
        """Returns the memory that a process holds, in MB."""
        process = self.processes[name]
        if process.poll() is not None:
            raise CannotRunError(f"{name} has ended: {process.returncode}")
        path = pathlib.Path(f"/proc/{process.pid}/status")
        for line in path.read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        raise CannotRunError("the memory of a process is not told")


class Answer:
    """Answer to a request."""

    def __init__(self, status: int, fields: dict[str, str]) -> None:
        """Has no body yet."""
        self.status = status
        self.fields = fields
        self.body = b""
        self.is_whole = False


def encode_answer(status: int, body: bytes, *fields: str) -> bytes:
    """Returns an answer with a length."""
    lines = [
        f"HTTP/1.1 {status} X",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def ask(
    host: str,
    port: int,
    method: str,
    path: str,
    fields: dict[str, str],
    *,
    body: bytes = b"",
) -> Answer:
    """Sends a request on a new connection and reads its whole answer.

    Raises:
      OSError: There is no connection, or it was reset.
      IncompleteReadError: The answer ended early.
    """
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        sent = {"Host": "site.example", "Connection": "close", **fields}
        if body or method == "POST":
            sent["Content-Length"] = str(len(body))
        lines += [f"{name}: {value}" for name, value in sent.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        answer = await read_head(reader)
        await read_body(reader, answer)
        return answer
    finally:
        writer.close()


async def read_head(reader: asyncio.StreamReader) -> Answer:
    """Reads the head of an answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head.split("\r\n")
    fields = {}
    for line in rest:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return Answer(int(first.split()[1]), fields)


async def read_body(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Reads a body with a length or in chunks into `answer`."""
    if "chunked" in answer.fields.get("transfer-encoding", ""):
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            answer.body += data[:-2]
    else:
        length = int(answer.fields.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
    answer.is_whole = True


def has_trouble() -> bool:
    """Returns whether the run contains the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
