"""Processes of the soak: registries and gateways, each behind a relay."""

from __future__ import annotations

import pathlib
import resource
import shutil
import signal
import subprocess
import sys

import anyio
import anyio.abc
import attrs
from tests.soak import history as histories
from tests.soak import relay as relays
from tests.support import node_site

from cactusstile.transport import address

INTERNAL, FRONT, READINESS, OPERATOR, LIST = 0, 6, 7, 8, 9
# Added to the last number of a relayed host to get where the process listens.
BEHIND_RELAY = 100
FIRST_REGISTRY, FIRST_GATEWAY = 10, 20
RESTART_DELAY_S = 0.3
GRACE_S = 8.0
# Time beyond the grace after which a process that does not stop is killed.
STOP_MARGIN_S = 1.0


@attrs.define
class Node:
    """One process that is started again whenever it ends.

    Attributes:
      name: Its name.
      role: Its role.
      host: Address that others are told.
      first_start: Whether the whole system starts for the first time.
      process: The running process; None between two.
      signalled_s: Time at which the soak signalled its end; None before.
      held_down: Whether it is not started again for now.
      excused: Faults under way for which it may end by itself.
    """

    name: str
    role: str
    host: str
    first_start: bool = True
    process: anyio.abc.Process | None = None
    signalled_s: float | None = None
    held_down: bool = False
    excused: int = 0

    @property
    def bound(self) -> str:
        """Address that it listens on."""
        network, _, last = self.host.rpartition(".")
        return f"{network}.{int(last) + BEHIND_RELAY}"

    def send(self, number: signal.Signals) -> None:
        """Signals the process, if there is one."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def end(self, number: signal.Signals) -> None:
        """Signals the process to end."""
        if self.signalled_s is None:
            self.signalled_s = anyio.current_time()
        self.send(number)


@attrs.define
class Nodes:
    """All processes of one run.

    Attributes:
      folder: Folder for settings, state and logs.
      network: Prefix of all addresses.
      port: First port of all processes.
      history: Takes their lines and ends.
      links: State of the links between them.
      nodes: Processes by name.
      relays: Relays by the process behind them.
      closing: Whether no process is started again.
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
        return [one for one in self.nodes.values() if one.role == role]

    def place(self, node: Node, offset: int) -> address.Address:
        """Returns an address that others are told."""
        return address.Address(node.host, self.port + offset)

    def add(
        self, name: str, role: str, number: int, group: anyio.abc.TaskGroup
    ) -> None:
        """Opens the relays of a process; see `run` for the process."""
        node = Node(name, role, f"{self.network}.{number}")
        self.nodes[name] = node
        self.links.names = (*self.links.names, name)
        offsets = (INTERNAL, OPERATOR) if role == "registry" else (FRONT,)
        self.relays[name] = [
            relays.open_relay(
                name,
                self.place(node, offset),
                address.Address(node.bound, self.port + offset),
                self.links,
                group,
            )
            for offset in offsets
        ]

    def _values(self, node: Node) -> dict[str, str]:
        seeds = [
            str(self.place(one, OPERATOR)) for one in self.of_role("registry")
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
            # Only its callers come by the relay: gateways exchange datagrams.
            filled["listen.front"] = f"{node.bound}:{self.port + FRONT}"
        return filled

    def _write_settings(self, node: Node) -> pathlib.Path:
        bind_host = node.bound if node.role == "registry" else ""
        text = node_site.render(node.role, self._values(node), bind_host)
        path = self.folder / f"{node.name}.ini"
        path.write_text(text)
        return path

    async def run(self, name: str) -> None:
        """Runs a process, and starts it again, until closing."""
        node = self.nodes[name]
        self.history.lines[name] = []
        while not self.closing:
            path = self._write_settings(node)
            node.signalled_s = None
            with (self.folder / f"{name}.err").open("ab") as errors:
                node.process = await anyio.open_process(
                    [sys.executable, "-m", "cactusstile", node.role, str(path)],
                    stdout=subprocess.PIPE,
                    stderr=errors,
                )
            try:
                await self._follow(node, node.process)
            finally:
                self._kill(node)
            node.first_start = False
            await anyio.sleep(RESTART_DELAY_S)
            while node.held_down:
                await anyio.sleep(0.02)

    async def _follow(self, node: Node, process: anyio.abc.Process) -> None:
        """Keeps the log of a process until it ends."""
        assert process.stdout is not None
        kept = self.history.lines[node.name]
        rest = b""
        with (self.folder / f"{node.name}.log").open("ab") as log:
            async for data in process.stdout:
                log.write(data)
                *lines, rest = (rest + data).split(b"\n")
                kept.extend(line.decode("utf-8", "replace") for line in lines)
        code = await process.wait()
        now_s = anyio.current_time()
        expected = node.signalled_s is not None or node.excused > 0
        took_s = now_s - (node.signalled_s or now_s)
        self.history.ends.append(
            histories.ProcessEnd(
                node.name, code, now_s, expected or self.closing, took_s
            )
        )

    def _kill(self, node: Node) -> None:
        if node.process is not None and node.process.returncode is None:
            node.process.kill()

    def note_errors(self) -> None:
        """Notes what processes wrote to standard error."""
        for name in self.nodes:
            path = self.folder / f"{name}.err"
            self.history.errors[name] = path.read_text()

    async def terminate(self, name: str) -> None:
        """Sends SIGTERM, and kills once the grace is over."""
        node = self.nodes[name]
        process = node.process
        if process is None or process.returncode is not None:
            return
        node.end(signal.SIGTERM)
        with anyio.move_on_after(GRACE_S + STOP_MARGIN_S):
            await process.wait()
        if process.returncode is None:
            process.kill()

    def lose_disk(self, name: str) -> None:
        """Removes all that a process has stored; it must not run."""
        shutil.rmtree(self.folder / name, ignore_errors=True)

    def tear_tail(self, name: str, garbage: bytes) -> None:
        """Adds bytes to the newest segment, as a write that was cut short."""
        segments = sorted((self.folder / name / "site").glob("segment-*"))
        if segments:
            with segments[-1].open("ab") as file:
                file.write(garbage)

    def fill_disk(self, name: str, *, full: bool) -> None:
        """Bounds the files of a process at what they hold, or frees them."""
        node = self.nodes[name]
        if node.process is None or node.process.returncode is not None:
            return
        largest = 0
        for path in (self.folder / name).rglob("*"):
            largest = max(largest, path.stat().st_size)
        limit = largest if full else resource.RLIM_INFINITY
        bounds = (limit, resource.RLIM_INFINITY)
        resource.prlimit(node.process.pid, resource.RLIMIT_FSIZE, bounds)
