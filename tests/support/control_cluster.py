"""Three real control processes behind relays that can be cut."""

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
FREE_BYTES = 10


@attrs.define
class Cluster:
    """Three control processes.

    Attributes:
      folder: Folder of settings and data.
      relays: Relay in front of each process.
      cut_names: Names of the processes that are cut off.
      processes: The process under each name, while it runs.
    """

    folder: pathlib.Path
    relays: list[cutting_relay.CuttingRelay]
    partitioned_names: set[str]
    processes: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)

    @property
    def addresses(self) -> list[address.Address]:
        """Addresses that clients use."""
        return [relay.bound for relay in self.relays]

    def name_of(self, bound: address.Address) -> str:
        """Returns the name of the process behind an address."""
        return NAMES[self.addresses.index(bound)]

    def start(self, name: str) -> None:
        """Starts a process; its log goes to a file beside its settings."""
        settings = self.folder / f"{name}.ini"
        command = [sys.executable, "-m", "cactusstile", "control"]
        command += ["--settings", str(settings)]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(  # noqa: S603
                command, stdout=log, stderr=log
            )

    def kill(self, name: str) -> None:
        """Kills a process at once."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait(STOP_TIMEOUT_S)

    def freeze(self, name: str) -> None:
        """Stops a process without ending it."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Lets a frozen process go on."""
        self.processes[name].send_signal(signal.SIGCONT)

    def lose_disk(self, name: str) -> None:
        """Kills a process and deletes its data folder."""
        self.kill(name)
        shutil.rmtree(self.folder / "data" / name)

    def fill_disk(self, name: str) -> None:
        """Lets the next write that grows the largest file fail half-way."""
        sizes = [
            path.stat().st_size
            for path in (self.folder / "data" / name).rglob("*")
        ]
        limit = max(sizes) + FREE_BYTES
        pid = self.processes[name].pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (limit, limit))

    def wait_for_exit(self, name: str) -> tuple[int, str]:
        """Returns the exit code of a process that ends, and its log."""
        code = self.processes[name].wait(STOP_TIMEOUT_S)
        del self.processes[name]
        return code, (self.folder / f"{name}.log").read_text()

    def terminate(self, name: str) -> int:
        """Asks a process to stop and returns its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def close(self) -> None:
        """Kills all processes."""
        for name in list(self.processes):
            self.kill(name)

    def operator_settings(self) -> operator.OperatorSettings:
        """Returns the settings of an operator."""
        return operator.OperatorSettings(
            "ada", tuple(self.addresses), OPERATOR_SECRET
        )

    @contextlib.asynccontextmanager
    async def open_client(
        self, name: str, role: str = handshake.OPERATOR_ROLE
    ) -> collections.abc.AsyncIterator[client.ControlClient]:
        """Opens a client with connections of its own."""
        identity = handshake.Identity(role, name)
        async with pool.open_pool(identity, SECRETS) as connections:
            yield client.ControlClient(connections, self.addresses)

    async def repair(self, name: str) -> None:
        """Replaces a replica that lost its disk; retries until it is known."""
        settings = self.operator_settings()
        async with operations.open_operator(settings) as opened:
            while True:
                try:
                    await operations.change_member(opened, "repair", name, 8.0)
                except exceptions.CallRefusedError:
                    continue
                return

    async def wait_synced(self, name: str) -> None:
        """Returns once a replica has synced what is committed now."""
        settings = self.operator_settings()
        async with operations.open_operator(settings) as opened:
            with anyio.fail_after(START_TIMEOUT_S):
                wanted = _committed(await operations.view_members(opened))
                while True:
                    views = await operations.view_members(opened)
                    if all(
                        _synced(views, group, name) >= index
                        for group, index in wanted.items()
                    ):
                        return
                    await anyio.sleep(START_POLL_S)


def _committed(views: list[operations.ControlView]) -> dict[str, int]:
    """Returns the highest index known to be committed in each group."""
    found: dict[str, int] = {}
    for view in views:
        for group in view.groups:
            index = max(found.get(group.group, 0), group.commit_index)
            found[group.group] = index
    return found


def _synced(views: list[operations.ControlView], group: str, name: str) -> int:
    """Returns what a replica has synced, as its leader says."""
    return max(
        (
            member.synced_index
            for view in views
            for told in view.groups
            for member in told.members
            if told.group == group and member.name == name
        ),
        default=0,
    )


def _write_settings(
    folder: pathlib.Path,
    listens: list[address.Address],
    relays: list[cutting_relay.CuttingRelay],
) -> None:
    (folder / "fleet.secret").write_bytes(FLEET_SECRET)
    (folder / "operator.secret").write_bytes(OPERATOR_SECRET)
    control = ", ".join(str(relay.bound) for relay in relays)
    founders = ", ".join(f"{relay.name}={relay.bound}" for relay in relays)
    for relay, listen in zip(relays, listens, strict=True):
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


def _free_address(stack: contextlib.ExitStack) -> address.Address:
    """Returns a free local address, held until the stack closes."""
    held = stack.enter_context(socket.socket())
    held.bind(("127.0.0.1", 0))
    return address.Address("127.0.0.1", held.getsockname()[1])


@contextlib.asynccontextmanager
async def open_cluster(
    folder: pathlib.Path,
) -> collections.abc.AsyncIterator[Cluster]:
    """Runs three control processes and waits until they answer."""
    async with contextlib.AsyncExitStack() as stack:
        with contextlib.ExitStack() as reserved:
            listens = [_free_address(reserved) for _ in NAMES]
        partitioned_names: set[str] = set()
        relays = [
            await stack.enter_async_context(
                cutting_relay.open_relay(listen, name, partitioned_names)
            )
            for name, listen in zip(NAMES, listens, strict=True)
        ]
        _write_settings(folder, listens, relays)
        cluster = Cluster(folder, relays, partitioned_names)
        stack.callback(cluster.close)
        for name in NAMES:
            cluster.start(name)
        async with cluster.open_client("starter") as control:
            await control.read_revision(timeout_s=START_TIMEOUT_S)
        await _wait_until_all_joined(cluster)
        yield cluster


async def _wait_until_all_joined(cluster: Cluster) -> None:
    async with operations.open_operator(cluster.operator_settings()) as opened:
        with anyio.fail_after(START_TIMEOUT_S):
            while True:
                views = await operations.view_members(opened)
                if all(map(_has_joined, views)):
                    return
                await anyio.sleep(START_POLL_S)


def _has_joined(view: operations.ControlView) -> bool:
    return bool(view.groups) and not any(
        member.joining for group in view.groups for member in group.members
    )
