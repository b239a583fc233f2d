"""Runs three control processes behind relays that can partition them."""

from __future__ import annotations

import contextlib
import pathlib
import resource
import shutil
import signal
import socket
import subprocess
import sys
import typing

import anyio
import attrs
from tests.support import cutting_relay

from cactusstile.control import client
from cactusstile.control import exceptions
from cactusstile.control import operations
from cactusstile.settings import operator
from cactusstile.transport import address
from cactusstile.transport import handshake
from cactusstile.transport import pool

if typing.TYPE_CHECKING:
    import collections.abc

NAMES = cutting_relay.NAMES
FLEET_SECRET = b"fleet-secret-for-tests"
OPERATOR_SECRET = b"operator-secret-for-tests"
SECRETS = handshake.Secrets(FLEET_SECRET, OPERATOR_SECRET)
START_TIMEOUT_S = 10.0
START_POLL_S = 0.05
STOP_TIMEOUT_S = 5.0
REMAINING_FILE_BYTES = 10


@attrs.define
class Cluster:
    """Three control processes on one machine.

    Attributes:
      folder: Folder of settings, logs and data.
      relays: Relay in front of each process.
      partitioned_names: Names of the partitioned processes.
      processes: Running processes by name.
    """

    folder: pathlib.Path
    relays: list[cutting_relay.CuttingRelay]
    partitioned_names: set[str]
    processes: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)

    @property
    def addresses(self) -> list[address.Address]:
        """Addresses of the relays, which clients connect to."""
        return [relay.bound for relay in self.relays]

    def name_of(self, bound: address.Address) -> str:
        """Returns the name of the process behind an address."""
        return NAMES[self.addresses.index(bound)]

    def start(self, name: str) -> None:
        """Starts a process and appends its output to its log file."""
        settings = self.folder / f"{name}.ini"
        command = [sys.executable, "-m", "cactusstile", "control"]
        command += ["--settings", str(settings)]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(  # noqa: S603
                command, stdout=log, stderr=log
            )

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL, also while it is frozen."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait(STOP_TIMEOUT_S)

    def freeze(self, name: str) -> None:
        """Suspends a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a frozen process."""
        self.processes[name].send_signal(signal.SIGCONT)

    def lose_disk(self, name: str) -> None:
        """Kills a process and deletes its data folder."""
        self.kill(name)
        shutil.rmtree(self.folder / "data" / name)

    def fill_disk(self, name: str) -> None:
        """Limits file sizes, so that a write to the largest file fails.

        The limit leaves a few bytes, so that the write fails half-way.
        """
        sizes = [
            path.stat().st_size
            for path in (self.folder / "data" / name).rglob("*")
        ]
        limit = max(sizes) + REMAINING_FILE_BYTES
        pid = self.processes[name].pid
        resource.prlimit(
            pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY)
        )

    def free_disk(self, name: str) -> None:
        """Lifts the limit of file sizes."""
        limits = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        pid = self.processes[name].pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE, limits)

    async def wait_for_log(self, name: str, text: str) -> None:
        """Waits until a process has logged a text."""
        with anyio.fail_after(STOP_TIMEOUT_S):
            while text not in (self.folder / f"{name}.log").read_text():
                await anyio.sleep(0.05)

    def terminate(self, name: str) -> int:
        """Stops a process with SIGTERM and returns its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def close(self) -> None:
        """Kills all processes."""
        for name in list(self.processes):
            self.kill(name)

    def operator_settings(self) -> operator.OperatorSettings:
        """Returns settings with which an operator reaches the cluster."""
        return operator.OperatorSettings(
            "ada", tuple(self.addresses), OPERATOR_SECRET
        )

    @contextlib.asynccontextmanager
    async def open_client(
        self, name: str, role: str = handshake.OPERATOR_ROLE
    ) -> collections.abc.AsyncIterator[client.ControlClient]:
        """Opens a client with its own connection pool."""
        identity = handshake.Identity(role, name)
        async with pool.open_pool(identity, SECRETS) as connections:
            yield client.ControlClient(connections, self.addresses)

    async def repair(self, name: str) -> None:
        """Replaces a replica that lost its disk; retries until accepted."""
        settings = self.operator_settings()
        async with operations.open_session(settings) as opened:
            while True:
                try:
                    await operations.change_member(opened, "repair", name, 8.0)
                except exceptions.CallRefusedError:
                    continue
                return

    async def wait_synced(self, name: str) -> None:
        """Waits until a replica has synced all entries committed by now."""
        settings = self.operator_settings()
        async with operations.open_session(settings) as opened:
            with anyio.fail_after(START_TIMEOUT_S):
                commit_indexes = _find_commit_indexes(
                    await operations.read_control_views(opened)
                )
                while True:
                    views = await operations.read_control_views(opened)
                    if all(
                        _find_synced_index(views, group, name) >= index
                        for group, index in commit_indexes.items()
                    ):
                        return
                    await anyio.sleep(START_POLL_S)


def _find_commit_indexes(views: list[operations.ControlView]) -> dict[str, int]:
    """Returns the highest reported commit index of each group."""
    commit_indexes: dict[str, int] = {}
    for view in views:
        for group in view.groups:
            index = max(commit_indexes.get(group.group, 0), group.commit_index)
            commit_indexes[group.group] = index
    return commit_indexes


def _find_synced_index(
    views: list[operations.ControlView], group: str, name: str
) -> int:
    """Returns the last index that a replica has synced.

    The leader of the group reports it.
    """
    return max(
        (
            member.synced_index
            for view in views
            for group_state in view.groups
            for member in group_state.members
            if group_state.group == group and member.name == name
        ),
        default=0,
    )


def _write_settings(
    folder: pathlib.Path,
    listen_addresses: list[address.Address],
    relays: list[cutting_relay.CuttingRelay],
) -> None:
    (folder / "fleet.secret").write_bytes(FLEET_SECRET)
    (folder / "operator.secret").write_bytes(OPERATOR_SECRET)
    control = ", ".join(str(relay.bound) for relay in relays)
    founders = ", ".join(f"{relay.name}={relay.bound}" for relay in relays)
    for relay, listen in zip(relays, listen_addresses, strict=True):
        text = f"""
[process]
name = {relay.name}
data_centre = ikeja
listen = {listen}
control = {control}
secret_file = {folder}/fleet.secret
operator_secret_file = {folder}/operator.secret

[control]
data_folder = {folder}/data/{relay.name}
founders = {founders}
advertise = {relay.bound}
"""
        (folder / f"{relay.name}.ini").write_text(text)
    (folder / "operator.ini").write_text(
        f"[operator]\nname = ada\ncontrol = {control}\n"
        f"operator_secret_file = {folder}/operator.secret\n"
    )


def _reserve_address(stack: contextlib.ExitStack) -> address.Address:
    """Returns a free local address, reserved until the stack closes."""
    reserved = stack.enter_context(socket.socket())
    reserved.bind(("127.0.0.1", 0))
    return address.Address("127.0.0.1", reserved.getsockname()[1])


@contextlib.asynccontextmanager
async def open_cluster(
    folder: pathlib.Path,
) -> collections.abc.AsyncIterator[Cluster]:
    """Runs three control processes and waits until all have joined."""
    async with contextlib.AsyncExitStack() as stack:
        with contextlib.ExitStack() as reserved:
            listen_addresses = [_reserve_address(reserved) for _ in NAMES]
        partitioned_names: set[str] = set()
        relays = [
            await stack.enter_async_context(
                cutting_relay.open_relay(listen, name, partitioned_names)
            )
            for name, listen in zip(NAMES, listen_addresses, strict=True)
        ]
        _write_settings(folder, listen_addresses, relays)
        cluster = Cluster(folder, relays, partitioned_names)
        stack.callback(cluster.close)
        for name in NAMES:
            cluster.start(name)
        async with cluster.open_client("starter") as control:
            await control.read_revision(timeout_s=START_TIMEOUT_S)
        await _wait_until_all_joined(cluster)
        yield cluster


async def _wait_until_all_joined(cluster: Cluster) -> None:
    async with operations.open_session(cluster.operator_settings()) as opened:
        with anyio.fail_after(START_TIMEOUT_S):
            while True:
                views = await operations.read_control_views(opened)
                if all(map(_has_joined, views)):
                    return
                await anyio.sleep(START_POLL_S)


def _has_joined(view: operations.ControlView) -> bool:
    return bool(view.groups) and not any(
        member.joining for group in view.groups for member in group.members
    )
