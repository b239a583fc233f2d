"""Claims and configuration changes per second on three real processes.

    python -m benchmarks.control_commits --clients 64 --seconds 5

Three control processes and the clients share this machine; the processes write
and sync their data in the folder given by --folder.
"""

from __future__ import annotations

import argparse
import contextlib
import pathlib
import random
import socket
import subprocess
import sys
import tempfile

import anyio
import attrs
from hdrh import histogram

from cactusstile.control import client
from cactusstile.control import exceptions
from cactusstile.state import model
from cactusstile.transport import address
from cactusstile.transport import handshake
from cactusstile.transport import pool

REPLICA_COUNT = 3
CLIENT_POOL_COUNT = 4
SECRET = b"secret-of-the-benchmark"
MAX_LATENCY_US = 60_000_000


@attrs.frozen
class Arguments:
    """Arguments of the benchmark."""

    clients: int
    seconds: float
    folder: pathlib.Path
    group_commit: bool


def start(
    folder: pathlib.Path, group_commit: bool
) -> tuple[list[subprocess.Popen[bytes]], list[address.Address]]:
    """Starts the control processes and returns them with their addresses."""
    sockets = [
        socket.create_server(("127.0.0.1", 0)) for _ in range(REPLICA_COUNT)
    ]
    ports = [reserved.getsockname()[1] for reserved in sockets]
    for reserved in sockets:
        reserved.close()
    (folder / "secret").write_bytes(SECRET)
    control = ", ".join(f"127.0.0.1:{port}" for port in ports)
    founders = ", ".join(
        f"c{number}=127.0.0.1:{port}" for number, port in enumerate(ports)
    )
    processes = []
    for number, port in enumerate(ports):
        settings = folder / f"c{number}.ini"
        settings.write_text(
            f"[process]\nname = c{number}\ndata_centre = a\n"
            f"listen = 127.0.0.1:{port}\ncontrol = {control}\n"
            f"secret_file = {folder}/secret\n"
            f"operator_secret_file = {folder}/secret\n"
            f"[control]\ndata_folder = {folder}/data/{number}\n"
            f"founders = {founders}\n"
            f"group_commit = {'yes' if group_commit else 'no'}\n"
        )
        command = [sys.executable, "-m", "cactusstile", "control"]
        command += ["--settings", str(settings)]
        with (folder / f"c{number}.log").open("wb") as log:
            processes.append(
                subprocess.Popen(command, stdout=log, stderr=log)  # noqa: S603
            )
    return processes, [address.Address("127.0.0.1", port) for port in ports]


def report(
    label: str, latencies: histogram.HdrHistogram, seconds: float
) -> None:
    """Prints the rate and percentiles of the latencies."""
    count = latencies.get_total_count()
    p50 = latencies.get_value_at_percentile(50) / 1000
    p99 = latencies.get_value_at_percentile(99) / 1000
    print(
        f"{label}: {count / seconds:.0f}/s, p50 {p50:.2f} ms, p99 {p99:.2f} ms"
    )


async def measure_claims(
    controls: list[client.ControlClient], arguments: Arguments
) -> None:
    """Claims new keys in a closed loop of concurrent clients."""
    latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    end_s = anyio.current_time() + arguments.seconds

    async def claim(number: int) -> None:
        control = controls[number % len(controls)]
        sequence = 0
        while anyio.current_time() < end_s:
            sequence += 1
            started_s = anyio.current_time()
            key = f"{arguments.clients}-{number}-{sequence}"
            workspace = f"w{number % 8}"
            grant = await control.claim(workspace, key, b"digest", 1)
            assert grant.granted
            elapsed_s = anyio.current_time() - started_s
            latencies.record_value(max(1, round(elapsed_s * 1e6)))

    async with anyio.create_task_group() as group:
        for number in range(arguments.clients):
            group.start_soon(claim, number)
    report(f"claims, {arguments.clients} clients", latencies, arguments.seconds)


async def measure_changes(
    control: client.ControlClient, seconds: float
) -> None:
    """Applies configuration changes sequentially."""
    latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    base = await control.read_fleet()
    end_s = anyio.current_time() + seconds
    while anyio.current_time() < end_s:
        workspace = model.Workspace("w", (), share=random.uniform(1, 2))
        fleet = model.Fleet("benchmark", base.revision + 1, {"w": workspace})
        started_s = anyio.current_time()
        await control.apply(base, fleet)
        elapsed_s = anyio.current_time() - started_s
        latencies.record_value(max(1, round(elapsed_s * 1e6)))
        base = fleet
    report("changes, one operator", latencies, seconds)


async def measure_failover(
    control: client.ControlClient,
    processes: list[subprocess.Popen[bytes]],
    addresses: list[address.Address],
) -> None:
    """Kills the leader and prints the time to the next commit."""
    await control.take_fence("t")
    processes[addresses.index(control.leader)].kill()
    started_s = anyio.current_time()
    while True:
        try:
            await control.take_fence("t")
        except exceptions.ControlError:
            continue
        break
    elapsed_s = anyio.current_time() - started_s
    print(f"next commit after kill -9 of the leader: {elapsed_s:.2f} s")


async def run(arguments: Arguments) -> None:
    """Runs the benchmark."""
    processes, addresses = start(arguments.folder, arguments.group_commit)
    secrets = handshake.Secrets(SECRET, SECRET)
    identity = handshake.Identity("operator", "benchmark")
    async with contextlib.AsyncExitStack() as stack:
        for process in processes:
            stack.callback(process.wait)
            stack.callback(process.kill)
        controls = []
        for _ in range(CLIENT_POOL_COUNT):
            connections = await stack.enter_async_context(
                pool.open_pool(identity, secrets)
            )
            control = client.ControlClient(connections, addresses)
            await control.read_revision(timeout_s=15)
            controls.append(control)
        await measure_claims(controls, attrs.evolve(arguments, clients=1))
        await measure_claims(controls, arguments)
        await measure_changes(controls[0], arguments.seconds)
        await measure_failover(controls[0], processes, addresses)


def main() -> None:
    """Parses the arguments and runs in a temporary folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--clients", type=int, default=64)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--folder", default=None)
    parser.add_argument("--no-group-commit", action="store_true")
    parsed = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=parsed.folder) as name:
        folder = pathlib.Path(name)
        arguments = Arguments(
            parsed.clients, parsed.seconds, folder, not parsed.no_group_commit
        )
        anyio.run(run, arguments)


if __name__ == "__main__":
    main()
