"""A small site of real processes, with stand-ins of the platform.

Each machine has a loopback address of its own. The processes are started with
the commands of the deploy file and with settings that are rendered from its
templates. One that ends by itself is started again after a short delay, as the
platform does.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
import typing

import http11

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
COMMANDS = {
    "gateway": ["python3", "-S", "-m", "cactusstile.gateway"],
    "registry": ["python3", "-S", "-m", "cactusstile.registry"],
}
# Bounds of aam-lima, a small deployment.
BOUNDS = {
    "bounds.graceS": "8",
    "bounds.retryBudgetRatio": "0.2",
    "bounds.budgetWindowS": "10",
    "bounds.budgetSlack": "60",
    "bounds.versionMs": "10000",
}
RESTART_DELAY_S = 0.5
STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
READY_TIMEOUT_S = 30.0
BROKEN = 1
HELD = 0
COULD_NOT_RUN = 2


class CannotRunError(Exception):
    """Raised if the case could not run; it shows nothing then."""


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the time since the start."""
        now_s = time.monotonic() - self.began_s
        self.file.write(f"{now_s:8.3f} {text}\n")
        self.file.flush()


class Machine:
    """A machine with a gateway, and with a registry if it has a disk."""

    def __init__(self, site: Site, number: int, *, has_disk: bool) -> None:
        self.site = site
        self.name = f"edge-{number}"
        self.host = f"{site.network}.{number + 10}"
        self.has_disk = has_disk
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.own_ends: dict[str, list[int]] = {"gateway": [], "registry": []}
        self.is_first_start = True
        self.is_off = False
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def data_folder(self) -> pathlib.Path:
        """The machine's disk."""
        return self.site.folder / f"data-{self.name}"

    @property
    def roles(self) -> list[str]:
        """Roles of the machine, as the deploy file assigns them."""
        return ["registry", "gateway"] if self.has_disk else ["gateway"]

    def _settings(self, role: str) -> str:
        site = self.site
        values = {
            "node": self.name,
            "ip": self.host,
            "zone": "hall-1",
            "zones": json.dumps({"hall-1": "here"}),
            "bootstrap": str(self.is_first_start).lower(),
            "dataDir": "",
            "internalPorts": f"{site.port},{site.port + 15}",
            "limits.memoryMb": "300",
            "limits.linkMbps": "1000.0",
            "listen.front": "",
            "listen.ready": "",
            "listen.control": "",
            "seeds": ",".join(site.seeds),
            "cloud.address": f"{site.network}.1:{site.port + 20}",
            **BOUNDS,
        }
        if role == "gateway":
            values["listen.front"] = f"{self.host}:{site.front_port}"
            values["listen.ready"] = f"{self.host}:{site.ready_port}"
        else:
            values["listen.control"] = f"{self.host}:{site.control_port}"
            values["dataDir"] = str(self.data_folder)
        text = (ROOT / "deploy" / f"{role}.ini").read_text()
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", value)
        return text

    async def start(self) -> None:
        """Starts all processes of the machine."""
        self.is_off = False
        for role in self.roles:
            self.tasks.append(asyncio.create_task(self._run(role)))

    async def _run(self, role: str) -> None:
        """Runs a process and starts it again whenever it ends by itself."""
        while True:
            process = await self._start(role)
            code = await process.wait()
            if self.is_off:
                return
            self.own_ends[role].append(code)
            self.site.record.write(
                f"{role} of {self.name} ended by itself, exit code {code}"
            )
            await asyncio.sleep(RESTART_DELAY_S)

    async def _start(self, role: str) -> asyncio.subprocess.Process:
        path = self.site.folder / f"{self.name}-{role}.ini"
        path.write_text(self._settings(role))
        log = self.site.folder / f"{self.name}-{role}.log"
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.site.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(DEPS),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CACTUSSTILE_SETTINGS": str(path),
        }
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                *COMMANDS[role],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.processes[role] = process
        return process

    async def lose(self, *, with_disk: bool) -> None:
        """Takes the machine's power away, and its disk if it is lost too."""
        self.is_off = True
        await self.stop()
        self.tasks.clear()
        self.is_first_start = False
        if with_disk:
            shutil.rmtree(self.data_folder, ignore_errors=True)
        self.site.record.write(
            f"{self.name} lost power{' and its disk' if with_disk else ''}"
        )

    async def stop(self) -> None:
        """Kills all processes of the machine."""
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGKILL)
                await process.wait()

    async def is_ready(self) -> bool:
        """Returns whether the gateway answers the platform with 200."""
        answer = await http11.ask_once(
            self.host,
            self.site.ready_port,
            "GET /-/readyz HTTP/1.1",
            {"Host": "ready", "Connection": "close"},
            timeout_s=1.0,
        )
        return answer.status == 200


class Site:
    """Three machines of the core, further gateways, and the platform."""

    def __init__(
        self, record: Record, *, core: int = 3, others: int = 0
    ) -> None:
        octets = [secrets.randbelow(250) + 2 for _ in range(2)]
        self.network = f"127.{octets[0]}.{octets[1]}"
        self.port = _free_port(self.network)
        self.front_port = self.port + 21
        self.ready_port = self.port + 22
        self.control_port = self.port + 23
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.seeds = [
            f"{self.network}.{number + 10}:{self.control_port}"
            for number in range(min(core, 3))
        ]
        self.machines = [
            Machine(self, number, has_disk=number < core)
            for number in range(core + others)
        ]
        self.entries: list[typing.Any] = []
        self.servers: list[asyncio.Server] = []

    @property
    def core(self) -> list[Machine]:
        """Machines with a disk, which serve the operator."""
        return [machine for machine in self.machines if machine.has_disk]

    def add_core_machine(self) -> Machine:
        """Returns a new machine with an empty disk; it is not started."""
        machine = Machine(self, len(self.machines), has_disk=True)
        machine.is_first_start = False
        self.machines.append(machine)
        return machine

    async def start(self) -> None:
        """Starts the platform's list and all machines."""
        self.servers.append(
            await asyncio.start_server(
                self._serve_list, f"{self.network}.1", self.port + 20
            )
        )
        for machine in self.machines:
            await machine.start()

    async def close(self) -> None:
        """Ends all processes and removes the folder."""
        for machine in self.machines:
            await machine.stop()
        for server in self.servers:
            server.close()
        if os.environ.get("KEEP"):
            print("kept:", self.folder, file=sys.stderr)
            return
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _serve_list(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await http11.read_head(reader)) is not None:
            await http11.read_body(reader, request)
            body = http11.to_json({"instances": self.entries, "next": None})
            head = {"Content-Type": "application/json"}
            writer.write(http11.encode("HTTP/1.1 200 OK", head, body))
            await writer.drain()
        writer.close()

    async def call_operator(
        self,
        method: str,
        path: str,
        document: typing.Any = None,
        *,
        timeout_s: float = 20.0,
    ) -> http11.Message | None:
        """Calls control as the operator does, until there is an answer.

        Follows a redirection twice; moves on after a failure, a 5xx or a
        second without an answer.

        Returns:
          The final answer; None if there was none within `timeout_s`.
        """
        body = b"" if document is None else http11.to_json(document)
        deadline_s = time.monotonic() + timeout_s
        number = 0
        pause_s = 0.1
        while time.monotonic() < deadline_s:
            host = self.core[number % len(self.core)].host
            answer = await self._call_control(host, method, path, body)
            if 200 <= answer.status < 500 and answer.status not in (408, 429):
                return answer
            number += 1
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        return None

    async def _call_control(
        self, host: str, method: str, path: str, body: bytes
    ) -> http11.Message:
        answer = http11.Message("none", {})
        headers = {"Content-Type": "application/json", "Connection": "close"}
        for _ in range(3):
            answer = await http11.ask_once(
                host,
                self.control_port,
                f"{method} {path} HTTP/1.1",
                {"Host": host, **headers},
                body=body,
                timeout_s=1.0,
            )
            if answer.status != 307:
                break
            place = answer.find("location").removeprefix("http://")
            host = place.partition(":")[0]
        return answer

    async def configure(
        self, document: dict[str, typing.Any], timeout_s: float = 20.0
    ) -> bool:
        """Sends a configuration; returns whether it was acknowledged."""
        self.record.write(f"operator sends version {document['version']}")
        answer = await self.call_operator(
            "POST", "/-/Config.Replace", document, timeout_s=timeout_s
        )
        status = 0 if answer is None else answer.status
        self.record.write(
            f"operator: version {document['version']} answered {status}"
        )
        return status == 200

    async def wait_ready(self) -> None:
        """Waits until all gateways are ready.

        Raises:
          CannotRunError: They are not ready in time.
        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > deadline_s:
                    raise CannotRunError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)


def _free_port(network: str) -> int:
    """Returns the first of 40 ports that are free in a network."""
    for _ in range(100):
        port = 20_000 + 40 * secrets.randbelow(250)
        try:
            for number in range(40):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", port + number))
        except OSError:
            continue
        return port
    raise CannotRunError("no free ports")


def limits() -> dict[str, int]:
    """Returns the limits of the pages' example."""
    return {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }


def has_trouble() -> bool:
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(
    case: str,
    play: typing.Callable[[Site, Record], typing.Awaitable[bool]],
    **sizes: int,
) -> None:
    """Plays a case and exits: 1 broken, 0 held, 2 could not run."""
    code = COULD_NOT_RUN
    try:
        code = asyncio.run(_run(pathlib.Path(case).parent, play, **sizes))
    except Exception:
        traceback.print_exc()
    except asyncio.CancelledError:
        print("stopped", file=sys.stderr)
    sys.exit(code)


async def _run(
    folder: pathlib.Path,
    play: typing.Callable[[Site, Record], typing.Awaitable[bool]],
    **sizes: int,
) -> int:
    record = Record(folder)
    if not (DEPS / "cactusstile").is_dir():
        record.write("could not run: the build of the deploy file is missing")
        return COULD_NOT_RUN
    this = asyncio.current_task()
    assert this is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, this.cancel)
    site = Site(record, **sizes)
    try:
        await site.start()
        async with asyncio.timeout(110):
            is_broken = await play(site, record)
    except (CannotRunError, TimeoutError) as error:
        record.write(f"could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        await site.close()
    record.write("the rule was broken" if is_broken else "the rule held")
    return BROKEN if is_broken else HELD
