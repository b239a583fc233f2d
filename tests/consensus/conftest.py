from __future__ import annotations

import collections.abc
import pathlib

import anyio
import anyio.abc
import attrs
import pytest

from cactusstile.consensus import exceptions
from cactusstile.consensus import messages
from cactusstile.consensus import replica
from cactusstile.consensus import replica_settings
from cactusstile.consensus import state as states
from cactusstile.consensus.storage import files as file_access

NAMES = ("a", "b", "c")
TIMES = states.CoreSettings(heartbeat_interval_s=0.03, election_timeout_s=0.2)


class ListMachine:
    """Keeps all commands; the result is their count."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> bytes:
        self.commands.append(command)
        return b"%d" % len(self.commands)

    def snapshot(self) -> bytes:
        return b"\n".join(self.commands)

    def restore(self, data: bytes) -> None:
        self.commands = data.split(b"\n") if data else []


@attrs.define
class Group:
    """Replicas in one process that pass messages directly."""

    folder: pathlib.Path
    tasks: anyio.abc.TaskGroup
    replicas: dict[str, replica.Replica] = attrs.field(factory=dict)
    machines: dict[str, ListMachine] = attrs.field(factory=dict)
    stops: dict[str, anyio.Event] = attrs.field(factory=dict)
    stopped: dict[str, anyio.Event] = attrs.field(factory=dict)
    cut: set[str] = attrs.field(factory=set)
    files: dict[str, file_access.Files] = attrs.field(factory=dict)
    errors: dict[str, BaseException] = attrs.field(factory=dict)

    def settings(self, name: str) -> replica_settings.ReplicaSettings:
        return replica_settings.ReplicaSettings(
            name=name,
            address=name,
            data_folder=self.folder / name,
            founders=tuple(replica_settings.Founder(one, one) for one in NAMES),
            snapshot_after_bytes=2000,
            core=TIMES,
        )

    async def start(self, name: str) -> None:
        await self.tasks.start(self._run, name)

    async def _run(
        self, name: str, *, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        def send(address: str, message: messages.Message) -> None:
            other = self.replicas.get(address)
            if other is not None and not {name, address} & self.cut:
                other.receive(name, message)

        stop = self.stops[name] = anyio.Event()
        machine = self.machines[name] = ListMachine()
        opened = replica.open_replica(
            self.settings(name), machine, send, files=self.files.get(name)
        )
        try:
            async with opened as self.replicas[name]:
                task_status.started()
                await stop.wait()
        except* exceptions.StorageError as group:
            self.errors[name] = group.exceptions[0]
        del self.replicas[name]
        if name in self.stopped:
            self.stopped[name].set()

    async def stop(self, name: str) -> None:
        stopped = self.stopped[name] = anyio.Event()
        self.stops[name].set()
        await stopped.wait()

    async def leader(self) -> replica.Replica:
        with anyio.fail_after(5):
            while True:
                for name, one in self.replicas.items():
                    if one.is_leader and name not in self.cut:
                        return one
                await anyio.sleep(0.01)


@pytest.fixture
async def group(
    tmp_path: pathlib.Path,
) -> collections.abc.AsyncIterator[Group]:
    async with anyio.create_task_group() as tasks:
        made = Group(tmp_path, tasks)
        for name in NAMES:
            await made.start(name)
        yield made
        tasks.cancel_scope.cancel()
