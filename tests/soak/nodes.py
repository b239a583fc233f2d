"""Runs the registries and gateways of the soak, each behind a relay."""

from __future__ import annotations

import contextlib
import pathlib
import resource
import shutil
import signal
import subprocess
import sys

import anyio
import anyio.abc
import attrs
from tests.soak import fleet as fleets
from tests.soak import history as histories
from tests.soak import relay as relays
from tests.soak import signals
from tests.support import node_site

from cactusstile.transport import address

INTERNAL, FRONT, READINESS, OPERATOR, LIST = 0, 6, 7, 8, 9
FIRST_REGISTRY, FIRST_GATEWAY = 10, 20
RESTART_DELAY_S = 0.3
GRACE_PERIOD_S = 8.0
# Time after the grace period until a process that does not stop is killed.
STOP_MARGIN_S = 1.0
# Kind of the fault that a process is not back after a fault has ended it.
RESTART = "restart"
STARTED = b'"message": "started"'


@attrs.define
class Node:
    """A process that is restarted whenever it exits.

    Attributes:
      name: Name of the process.
      role: Role of the process.
      host: Advertised address, which is that of the relay.
      first_start: Whether the system is bootstrapped.
      process: The last process that was started; None before the first.
      signalled_s: Time at which the soak signalled it to exit; None before.
      end_signal: Signal that it was sent then; 0 before.
      planned: Whether that was a planned operation.
      restart: The restart after another end, a fault that lasts until the
        process tells that it has started; None without one.
      restart_blocked: Whether a fault blocks its restart.
      tolerated_faults: Number of active faults that may make it exit.
    """

    name: str
    role: str
    host: str
    first_start: bool = True
    process: anyio.abc.Process | None = None
    signalled_s: float | None = None
    end_signal: int = 0
    planned: bool = False
    restart: histories.InjectedFault | None = None
    restart_blocked: bool = False
    tolerated_faults: int = 0

    @property
    def bound(self) -> str:
        """Address that the process itself listens on."""
        network, _, last = self.host.rpartition(".")
        return f"{network}.{int(last) + fleets.BEHIND_RELAY_OFFSET}"

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None:
            signals.send(self.process, number)

    def end(self, number: signal.Signals, *, planned: bool = False) -> None:
        """Sends a signal that ends the process."""
        if self.signalled_s is None:
            self.planned = planned
            self.signalled_s = anyio.current_time()
            self.end_signal = int(number)
        self.send(number)


@attrs.define
class Nodes:
    """All processes of one run.

    Attributes:
      folder: Folder for settings, state and logs.
      network: Prefix of all addresses.
      port: First port of the range that each process uses.
      history: Records log lines and exits.
      links: State of the links between processes.
      nodes: Processes by name.
      relays: Relays by the process behind them.
      closing: Whether the run ends and no process is restarted.
    """

    folder: pathlib.Path
    network: str
    port: int
    history: histories.History
    links: relays.Links
    nodes: dict[str, Node] = attrs.field(factory=dict)
    relays: dict[str, list[relays.Relay]] = attrs.field(factory=dict)
    closing: bool = False

    def of_role(self, role: str) -> list[Node]:
        """Returns the processes of a role."""
        return [node for node in self.nodes.values() if node.role == role]

    def address_of(self, node: Node, offset: int) -> address.Address:
        """Returns an advertised address of a process."""
        return address.Address(node.host, self.port + offset)

    def places_of(self, node: Node) -> list[address.Address]:
        """Returns the addresses at which a process itself may listen."""
        places = []
        for offset in range(LIST):
            # Gateways stand behind a relay with their front alone.
            is_relayed = node.role == "registry" or offset == FRONT
            host = node.bound if is_relayed else node.host
            places.append(address.Address(host, self.port + offset))
        return places

    def add(
        self, name: str, role: str, number: int, group: anyio.abc.TaskGroup
    ) -> None:
        """Adds a process and opens its relays; `run` starts the process."""
        node = Node(name, role, f"{self.network}.{number}")
        self.nodes[name] = node
        self.links.names = (*self.links.names, name)
        offsets = (INTERNAL, OPERATOR) if role == "registry" else (FRONT,)
        self.relays[name] = [
            relays.open_relay(
                name,
                self.address_of(node, offset),
                address.Address(node.bound, self.port + offset),
                self.links,
                group,
            )
            for offset in offsets
        ]

    def _values(self, node: Node) -> dict[str, str]:
        seeds = [
            str(self.address_of(registry, OPERATOR))
            for registry in self.of_role("registry")
        ]
        filled = node_site.values(
            name=node.name,
            host=node.host,
            port=self.port,
            seeds=",".join(seeds),
            platform=f"{self.network}.1:{self.port + LIST}",
            folder=self.folder / node.name,
            first_start=node.first_start,
        )
        if node.role == "gateway":
            # The relay forwards callers only, as gateways exchange datagrams.
            filled["listen.front"] = f"{node.bound}:{self.port + FRONT}"
        return filled

    def _write_settings(self, node: Node) -> pathlib.Path:
        bind_host = node.bound if node.role == "registry" else ""
        text = node_site.render(node.role, self._values(node), bind_host)
        path = self.folder / f"{node.name}.ini"
        path.write_text(text)
        return path

    async def run(self, name: str) -> None:
        """Runs a process and restarts it until `closing` is set."""
        node = self.nodes[name]
        self.history.lines[name] = []
        while not self.closing:
            path = self._write_settings(node)
            with (self.folder / f"{name}.err").open("ab") as errors:
                node.process = await anyio.open_process(
                    [sys.executable, "-m", "cactusstile", node.role, str(path)],
                    stdout=subprocess.PIPE,
                    stderr=errors,
                )
            # A signal that came before was for the process before.
            node.signalled_s = None
            node.end_signal = 0
            node.planned = False
            try:
                await self._follow(node, node.process)
            finally:
                self._kill(node)
            node.first_start = False
            if not node.planned and node.restart is None:
                node.restart = histories.InjectedFault(
                    RESTART, name, anyio.current_time()
                )
                self.history.injected_faults.append(node.restart)
            await anyio.sleep(RESTART_DELAY_S)
            while node.restart_blocked:
                await anyio.sleep(0.02)

    async def _follow(self, node: Node, process: anyio.abc.Process) -> None:
        """Records the log of a process until it exits."""
        assert process.stdout is not None
        log_lines = self.history.lines[node.name]
        incomplete_line = b""
        with (self.folder / f"{node.name}.log").open("ab") as log:
            async for data in process.stdout:
                log.write(data)
                *lines, incomplete_line = (incomplete_line + data).split(b"\n")
                log_lines.extend(
                    line.decode("utf-8", "replace") for line in lines
                )
                if node.restart and any(STARTED in line for line in lines):
                    node.restart.to_s = anyio.current_time()
                    node.restart = None
        code = await process.wait()
        now_s = anyio.current_time()
        # A process with a full disk may end itself, and by no signal.
        is_tolerated = node.tolerated_faults > 0 and code >= 0
        expected = node.signalled_s is not None or is_tolerated
        took_s = now_s - (node.signalled_s or now_s)
        number = 0 if is_tolerated else node.end_signal
        self.history.ends.append(
            histories.ProcessEnd(
                node.name,
                code,
                now_s,
                expected or self.closing,
                took_s,
                number,
            )
        )

    def _kill(self, node: Node) -> None:
        node.send(signal.SIGKILL)

    def record_errors(self) -> None:
        """Records what processes wrote to standard error."""
        for name in self.nodes:
            path = self.folder / f"{name}.err"
            self.history.errors[name] = path.read_text()

    async def terminate(self, name: str) -> None:
        """Sends SIGTERM and kills the process after the grace period."""
        node = self.nodes[name]
        process = node.process
        if process is None or process.returncode is not None:
            return
        node.end(signal.SIGTERM, planned=True)
        with anyio.move_on_after(GRACE_PERIOD_S + STOP_MARGIN_S):
            await process.wait()
        signals.send(process, signal.SIGKILL)

    def lose_disk(self, name: str) -> None:
        """Removes the state of a process, which must not run."""
        shutil.rmtree(self.folder / name, ignore_errors=True)

    def tear_tail(self, name: str, garbage: bytes) -> None:
        """Appends bytes to the newest segment, like a truncated write."""
        segments = sorted((self.folder / name / "site").glob("segment-*"))
        if segments:
            with segments[-1].open("ab") as file:
                file.write(garbage)

    def fill_disk(self, name: str, *, full: bool) -> None:
        """Limits files of a process to the largest size, or lifts the limit."""
        node = self.nodes[name]
        if node.process is None or node.process.returncode is not None:
            return
        largest = 0
        for path in (self.folder / name).rglob("*"):
            largest = max(largest, path.stat().st_size)
        limit = largest if full else resource.RLIM_INFINITY
        bounds = (limit, resource.RLIM_INFINITY)
        # It may end at this moment.
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(node.process.pid, resource.RLIMIT_FSIZE, bounds)
