"""Commit rate, latency and failover time of three replicas on loopback.

Each replica is a process with its own data folder and real syncs. The leader
process generates the load, so that proposals need no extra network hop.

    python -m benchmarks.consensus_commit throughput --group_commit=False
    python -m benchmarks.consensus_commit failover --rounds=5
"""

from __future__ import annotations

import collections.abc
import json
import pathlib
import selectors
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import typing

import anyio
import anyio.abc
import fire

from cactusstile.consensus import exceptions
from cactusstile.consensus import messages
from cactusstile.consensus import replica
from cactusstile.consensus import replica_settings
from cactusstile.consensus.storage import files as file_access
from cactusstile.transport import codec

NAMES = ("a", "b", "c")
COMMAND_BYTES = 100
WARM_UP_S = 1.0
LAG_INTERVAL_S = 0.01
MAX_QUEUED_MESSAGES = 10_000
_HEADER = struct.Struct("<IHI")


class CountingMachine:
    """State machine that counts commands."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Counts a command."""
        del index, command
        self.count += 1
        return b""

    def snapshot(self) -> bytes:
        """Returns the count."""
        return b"%d" % self.count

    def restore(self, data: bytes) -> None:
        """Sets the count."""
        self.count = int(data or b"0")


class SlowFile:
    """A file with an additional delay in each sync."""

    def __init__(self, file: file_access.File, delay_s: float) -> None:
        self.file = file
        self.delay_s = delay_s
        self.write = file.write
        self.close = file.close

    def sync(self) -> None:
        """Syncs the file, then blocks the thread for `delay_s` seconds."""
        self.file.sync()
        time.sleep(self.delay_s)


class SlowFiles(file_access.LocalFiles):
    """A folder whose files have an additional delay in each sync."""

    delay_s = 0.0

    def open_append(self, name: str) -> file_access.File:
        """Opens a file with slow syncs."""
        return SlowFile(super().open_append(name), self.delay_s)


class Links:
    """One outgoing connection to each other replica."""

    def __init__(self, group: anyio.abc.TaskGroup, port: int) -> None:
        self.group = group
        self.port = port
        self.queues: dict[str, list[bytes]] = {}
        self.has_messages: dict[str, anyio.Event] = {}

    def send(self, address: str, message: messages.Message) -> None:
        """Queues a message."""
        data = codec.encode(message)
        number = codec.number_of(type(message))
        if address not in self.queues:
            self.queues[address] = []
            self.has_messages[address] = anyio.Event()
            self.group.start_soon(self._run, address)
        queue = self.queues[address]
        if len(queue) < MAX_QUEUED_MESSAGES:
            queue.append(_HEADER.pack(len(data), number, self.port) + data)
        self.has_messages[address].set()

    async def _run(self, address: str) -> None:
        while True:
            try:
                await self._run_connection(address)
            except (OSError, anyio.BrokenResourceError):
                self.queues[address].clear()
                await anyio.sleep(0.05)

    async def _run_connection(self, address: str) -> None:
        async with await anyio.connect_tcp("127.0.0.1", int(address)) as stream:
            while True:
                await self.has_messages[address].wait()
                self.has_messages[address] = anyio.Event()
                queue = self.queues[address]
                data = b"".join(queue)
                queue.clear()
                await stream.send(data)


async def _serve(stream: anyio.abc.SocketStream, node: replica.Replica) -> None:
    buffer = bytearray()
    async with stream:
        while True:
            try:
                buffer += await stream.receive(1 << 20)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
            while len(buffer) >= _HEADER.size:
                size, number, port = _HEADER.unpack_from(buffer)
                end = _HEADER.size + size
                if len(buffer) < end:
                    break
                data = bytes(buffer[_HEADER.size : end])
                del buffer[:end]
                message = codec.decode(number, data)
                node.receive(
                    str(port), typing.cast("messages.Message", message)
                )


def _report(**values: object) -> None:
    print(json.dumps(values), flush=True)


async def _run_replica(
    name: str, folder: str, ports: list[int], options: dict[str, typing.Any]
) -> None:
    port = ports[NAMES.index(name)]
    founders = tuple(
        replica_settings.Founder(founder, str(founder_port))
        for founder, founder_port in zip(NAMES, ports, strict=True)
    )
    settings = replica_settings.ReplicaSettings(
        name=name,
        address=str(port),
        data_folder=pathlib.Path(folder) / name,
        founders=founders,
        sync_in_thread=options["thread"],
        group_commit=options["group_commit"],
    )
    files = SlowFiles(settings.data_folder)
    files.delay_s = options["sync_delay_s"]
    async with anyio.create_task_group() as group:
        links = Links(group, port)
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port
        )
        async with replica.open_replica(
            settings, CountingMachine(), links.send, files=files
        ) as node:

            async def serve(stream: anyio.abc.SocketStream) -> None:
                await _serve(stream, node)

            group.start_soon(listener.serve, serve)
            await _lead(node, options)


async def _lead(node: replica.Replica, options: dict[str, typing.Any]) -> None:
    while True:
        await anyio.sleep(0.005)
        if not node.is_leader:
            continue
        try:
            await node.propose(b"first")
        except exceptions.ConsensusError:
            continue
        _report(event="committed", at=time.monotonic())
        if options["rate"] or options["clients"]:
            await _load(node, options)
        while node.is_leader:  # noqa: ASYNC110
            await anyio.sleep(0.05)


async def _load(node: replica.Replica, options: dict[str, typing.Any]) -> None:
    latencies: list[float] = []
    lags: list[float] = []
    errors: list[str] = []
    command = bytes(COMMAND_BYTES)
    term = node.status().term
    started = time.monotonic() + WARM_UP_S
    end = started + options["duration_s"]

    async def propose(due_s: float) -> None:
        try:
            await node.propose(command)
        except exceptions.ConsensusError as error:
            errors.append(type(error).__name__)
            return
        done = time.monotonic()
        if due_s >= started and done <= end:
            latencies.append(done - due_s)

    async def client() -> None:
        while time.monotonic() < end:
            await propose(time.monotonic())

    async with anyio.create_task_group() as group:
        group.start_soon(_measure_loop_lag, lags, end)
        for _ in range(options["clients"]):
            group.start_soon(client)
        group.start_soon(_start_at_rate, group, propose, options["rate"], end)
    _report(
        event="load",
        commits_per_s=round(len(latencies) / options["duration_s"]),
        p50_ms=_quantile_ms(latencies, 0.5),
        p99_ms=_quantile_ms(latencies, 0.99),
        loop_lag_p99_ms=_quantile_ms(lags, 0.99),
        loop_lag_max_ms=_quantile_ms(lags, 1.0),
        term_changed=node.status().term != term,
        errors=len(errors),
    )


async def _measure_loop_lag(lags: list[float], end: float) -> None:
    """Records by how many seconds the event loop wakes a task too late."""
    while time.monotonic() < end:
        before = time.monotonic()
        await anyio.sleep(LAG_INTERVAL_S)
        lags.append(time.monotonic() - before - LAG_INTERVAL_S)


async def _start_at_rate(
    group: anyio.abc.TaskGroup,
    propose: collections.abc.Callable[
        [float], collections.abc.Coroutine[None, None, None]
    ],
    rate: float,
    end: float,
) -> None:
    """Starts proposals on schedule, independent of earlier ones."""
    due_s = time.monotonic()
    while rate and due_s < end:
        while due_s <= time.monotonic():
            group.start_soon(propose, due_s)
            due_s += 1 / rate
        await anyio.sleep(0.001)


def _quantile_ms(values: list[float], quantile: float) -> float:
    if not values:
        return float("nan")
    ordered = sorted(values)
    position = min(int(len(ordered) * quantile), len(ordered) - 1)
    return round(1000 * ordered[position], 2)


def _find_free_ports() -> list[int]:
    sockets = [socket.socket() for _ in NAMES]
    ports = []
    for opened in sockets:
        opened.bind(("127.0.0.1", 0))
        ports.append(int(opened.getsockname()[1]))
    for opened in sockets:
        opened.close()
    return ports


def _start(
    name: str, folder: str, ports: list[int], options: dict[str, typing.Any]
) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "benchmarks.consensus_commit", "serve"]
    command += [name, folder, json.dumps(ports), json.dumps(options)]
    return subprocess.Popen(  # noqa: S603
        command,
        stdout=subprocess.PIPE,
        text=True,
    )


class Benchmark:
    """Benchmarks of the replicated log."""

    def serve(self, name: str, folder: str, ports: str, options: str) -> None:
        """Runs one replica; the other commands start it as a child process."""
        anyio.run(
            _run_replica, name, folder, json.loads(ports), json.loads(options)
        )

    def throughput(
        self,
        *,
        clients: int = 256,
        rate: float = 0,
        duration_s: float = 5,
        thread: bool = True,
        group_commit: bool = True,
        sync_delay_s: float = 0,
    ) -> None:
        """Prints commit rate and latency; open loop if `rate` is not 0."""
        options = {
            "clients": 0 if rate else clients,
            "rate": rate,
            "duration_s": duration_s,
            "thread": thread,
            "group_commit": group_commit,
            "sync_delay_s": sync_delay_s,
        }
        with tempfile.TemporaryDirectory(dir=".") as folder:
            ports = _find_free_ports()
            processes = [_start(name, folder, ports, options) for name in NAMES]
            try:
                print(options, _wait_for(processes, "load", duration_s + 20)[1])
            finally:
                _kill_all(processes)

    def failover(self, rounds: int = 5) -> None:
        """Prints the seconds from SIGKILL of the leader to the next commit."""
        options = {
            "clients": 0,
            "rate": 0,
            "thread": True,
            "group_commit": True,
            "sync_delay_s": 0,
        }
        with tempfile.TemporaryDirectory(dir=".") as folder:
            ports = _find_free_ports()
            processes = [_start(name, folder, ports, options) for name in NAMES]
            try:
                leader = _wait_for(processes, "committed", 20)[0]
                for _ in range(rounds):
                    killed_at_s = time.monotonic()
                    processes[leader].send_signal(signal.SIGKILL)
                    processes[leader].wait()
                    lost = leader
                    leader, report = _wait_for(processes, "committed", 20)
                    taken = typing.cast("float", report["at"]) - killed_at_s
                    print(f"next commit after {taken:.3f} s")
                    processes[lost] = _start(
                        NAMES[lost], folder, ports, options
                    )
                    time.sleep(2)
            finally:
                _kill_all(processes)


def _wait_for(
    processes: list[subprocess.Popen[str]], event: str, timeout_s: float
) -> tuple[int, dict[str, object]]:
    """Returns the index of the process that reports `event`, and the report."""
    selector = selectors.DefaultSelector()
    for position, process in enumerate(processes):
        if process.poll() is None and process.stdout is not None:
            selector.register(process.stdout, selectors.EVENT_READ, position)
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        for key, _ in selector.select(0.1):
            line = typing.cast("typing.TextIO", key.fileobj).readline()
            if not line:
                selector.unregister(key.fileobj)
                continue
            report = json.loads(line)
            if report["event"] == event:
                return key.data, report
    raise TimeoutError(f"no {event} within {timeout_s} s")


def _kill_all(processes: list[subprocess.Popen[str]]) -> None:
    for process in processes:
        process.kill()
        process.wait()


if __name__ == "__main__":
    if sys.argv[1] == "serve":
        Benchmark().serve(*sys.argv[2:])
    else:
        fire.Fire(Benchmark)
