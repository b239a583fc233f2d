"""Runs gateways and registries as processes, with a fake platform list."""

from __future__ import annotations

import collections.abc
import contextlib
import json
import os
import pathlib
import signal
import sys
import typing

import anyio
import anyio.abc
import attrs

from cactusstile.http import callers
from cactusstile.http import messages
from cactusstile.http import responder as responders
from cactusstile.http import sockets
from cactusstile.http import targets
from cactusstile.sites import model
from cactusstile.transport import address

STARTUP_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 12.0
MAX_RESPONSE_BYTES = 1 << 20
MEMORY_MB = 150


BOUNDS = {
    "bounds.graceS": "8",
    "bounds.retryBudgetRatio": "0.2",
    "bounds.budgetWindowS": "10",
    "bounds.budgetSlack": "50",
    "bounds.versionMs": "6000",
}


def values(
    *,
    name: str,
    host: str,
    port: int,
    seeds: str,
    platform: str,
    folder: pathlib.Path,
    first_start: bool = True,
    memory_mb: int = MEMORY_MB,
) -> dict[str, str]:
    """Returns the values that the platform fills into a settings template.

    Args:
      name: Name of the VM.
      host: Address of the VM.
      port: First port of the range that each process uses.
      seeds: Operator addresses of registries, separated by commas.
      platform: Address of the platform's list of targets.
      folder: Folder of the durable state.
      first_start: Whether the system is bootstrapped.
      memory_mb: Memory limit of the process, in MB.
    """
    return {
        "node": name,
        "ip": host,
        "zone": "here",
        "zones": "{}",
        "bootstrap": str(first_start).lower(),
        "dataDir": str(folder),
        "internalPorts": f"{port},{port + 5}",
        "limits.memoryMb": str(memory_mb),
        "limits.linkMbps": "100.0",
        "listen.front": f"{host}:{port + 6}",
        "listen.ready": f"{host}:{port + 7}",
        "listen.control": f"{host}:{port + 8}",
        "seeds": seeds,
        "cloud.address": platform,
        **BOUNDS,
    }


def render(
    role: str, filled: collections.abc.Mapping[str, str], bind_host: str = ""
) -> str:
    """Returns the settings of a process, rendered from its template.

    Args:
      role: Role of the process, which names the template.
      filled: Values by placeholder.
      bind_host: Address to listen on; empty for the one in the template.
    """
    root = pathlib.Path(__file__).parents[2]
    text = (root / "deploy" / f"{role}.ini").read_text()
    for key, value in filled.items():
        text = text.replace("{{" + key + "}}", value)
    if bind_host:
        text = text.replace("[node]", f"[node]\nbind_host = {bind_host}", 1)
    return text


async def call(
    target_address: address.Address,
    request: messages.Request,
    connect_timeout_s: float = 1.0,
) -> tuple[messages.ResponseHead, bytes]:
    """Sends a request on a new connection.

    Raises:
      HttpError: The response is missing or incomplete.
    """
    connection = await targets.Pool().take(target_address, connect_timeout_s)
    try:
        head = await connection.ask(request, lambda _: True)
        return head, await connection.read_full_body(MAX_RESPONSE_BYTES)
    finally:
        connection.close()


@attrs.define
class NodeSite:
    """A site of one registry and some gateways, each with its own address.

    Attributes:
      folder: Folder for settings, logs and state.
      network: Prefix of the addresses of its processes.
      port: First port of the range that each process uses.
      listed: Targets in the platform's list.
      entries: Further entries of that list, in the platform's form.
      processes: Running processes by name.
      memory_mb: Memory limit of each process, in MB.
    """

    folder: pathlib.Path
    network: str
    port: int
    listed: list[model.Target] = attrs.field(factory=list)
    entries: list[typing.Any] = attrs.field(factory=list)
    processes: dict[str, anyio.abc.Process] = attrs.field(factory=dict)
    memory_mb: int = MEMORY_MB

    @property
    def registry_host(self) -> str:
        """Address of the registry."""
        return f"{self.network}.2"

    @property
    def gateway_host(self) -> str:
        """Address of the gateway."""
        return f"{self.network}.3"

    @property
    def platform(self) -> address.Address:
        """Address of the platform's list of targets."""
        return address.Address(f"{self.network}.1", self.port + 9)

    async def start(
        self, role: str, name: str, host: str, *, first_start: bool = True
    ) -> None:
        """Starts a process and appends its output to its log file."""
        filled = values(
            name=name,
            host=host,
            port=self.port,
            seeds=f"{self.registry_host}:{self.port + 8}",
            platform=str(self.platform),
            folder=self.folder / name,
            first_start=first_start,
            memory_mb=self.memory_mb,
        )
        path = self.folder / f"{name}.ini"
        path.write_text(render(role, filled))
        log = (self.folder / f"{name}.log").open("ab")
        with log:
            self.processes[name] = await anyio.open_process(
                [sys.executable, "-m", "cactusstile", role, str(path)],
                stdout=log,
                stderr=log,
                env={**os.environ},
            )

    async def stop(
        self, name: str, signal_number: signal.Signals = signal.SIGTERM
    ) -> int:
        """Sends a signal to a process and returns its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal_number)
        with anyio.fail_after(STOP_TIMEOUT_S):
            return await process.wait()

    def log(self, name: str) -> list[str]:
        """Returns the log lines of a process."""
        return (self.folder / f"{name}.log").read_text().splitlines()

    async def ask(
        self, host: str, offset: int, request: messages.Request
    ) -> tuple[int, bytes]:
        """Sends a request to a port given as offset from the first.

        Returns:
          Status and body of the response.
        """
        target_address = address.Address(host, self.port + offset)
        head, body = await call(target_address, request)
        return head.status, body

    async def wait_for(
        self, host: str, offset: int, request: messages.Request, status: int
    ) -> bytes:
        """Repeats a request until it gets `status`; returns the body."""
        with anyio.fail_after(STARTUP_TIMEOUT_S):
            while True:
                with contextlib.suppress(Exception):
                    last_status, body = await self.ask(host, offset, request)
                    if last_status == status:
                        return body
                await anyio.sleep(0.05)

    async def answer_list(
        self, request: messages.Request, responder: responders.Responder
    ) -> None:
        """Responds to a read of the platform's list."""
        del request
        entries: list[dict[str, typing.Any]] = [
            {
                "id": target.id,
                "service": target.service,
                "address": str(target.address),
                "zone": target.data_centre,
                "slots": target.slots,
                "state": "draining" if target.leaving else "ready",
            }
            for target in self.listed
        ]
        entries += self.entries
        body = json.dumps({"instances": entries, "next": None}).encode()
        await responder.respond(200, (), body)


@contextlib.asynccontextmanager
async def open_site(
    folder: pathlib.Path, network: str, port: int
) -> collections.abc.AsyncIterator[NodeSite]:
    """Opens a site without processes; kills all when the context exits."""
    site = NodeSite(folder, network, port)
    listener = sockets.listen(site.platform)
    serving = callers.internal_serving(site.answer_list)
    async with anyio.create_task_group() as group:
        group.start_soon(callers.serve_listener, listener, serving, group)
        try:
            yield site
        finally:
            for process in site.processes.values():
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                with anyio.CancelScope(shield=True):
                    await process.aclose()
            group.cancel_scope.cancel()
