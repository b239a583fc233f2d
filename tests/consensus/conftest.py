from __future__ import annotations

import collections.abc
import pathlib

import anyio
import anyio.abc
import attrs
import pytest
from tests.support import group_clock

from cactusstile.consensus import exceptions
from cactusstile.consensus import messages
from cactusstile.consensus import replica
from cactusstile.consensus import replica_settings
from cactusstile.consensus import state as states
from cactusstile.consensus.storage import files as file_access

NAMES = ("a", "b", "c")
CORE_SETTINGS = states.CoreSettings(
    heartbeat_interval_s=0.03, election_timeout_s=0.2
)


class ListMachine:
    """Stores all commands; the result of each is their number so far."""

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
    """Replicas in one process that deliver messages by direct calls."""

    folder: pathlib.Path
    tasks: anyio.abc.TaskGroup
    clock: group_clock.Clock = attrs.field(factory=group_clock.Clock)
    replicas: dict[str, replica.Replica] = attrs.field(factory=dict)
    machines: dict[str, ListMachine] = attrs.field(factory=dict)
    stop_events: dict[str, anyio.Event] = attrs.field(factory=dict)
    stopped_events: dict[str, anyio.Event] = attrs.field(factory=dict)
    partitioned: set[str] = attrs.field(factory=set)
    files: dict[str, file_access.Files] = attrs.field(factory=dict)
    errors: dict[str, BaseException] = attrs.field(factory=dict)

    def settings(self, name: str) -> replica_settings.ReplicaSettings:
        return replica_settings.ReplicaSettings(
            name=name,
            address=name,
            data_folder=self.folder / name,
            founders=tuple(
                replica_settings.Founder(founder, founder) for founder in NAMES
            ),
            snapshot_after_bytes=2000,
            core=CORE_SETTINGS,
        )

    async def start(self, name: str) -> None:
        self.tasks.start_soon(self.clock.run)
        await self.tasks.start(self._run, name)

    async def _run(
        self, name: str, *, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        def send(address: str, message: messages.Message) -> None:
            peer = self.replicas.get(address)
            if peer is not None and not {name, address} & self.partitioned:
                peer.receive(name, message)

        stop = self.stop_events[name] = anyio.Event()
        machine = self.machines[name] = ListMachine()
        opened = replica.open_replica(
            self.settings(name),
            machine,
            send,
            clock=self.clock,
            files=self.files.get(name),
        )
        try:
            async with opened as self.replicas[name]:
                task_status.started()
                await stop.wait()
        except* exceptions.StorageError as group:
            self.errors[name] = group.exceptions[0]
        del self.replicas[name]
        if name in self.stopped_events:
            self.stopped_events[name].set()

    async def stop(self, name: str) -> None:
        stopped = self.stopped_events[name] = anyio.Event()
        self.stop_events[name].set()
        await stopped.wait()

    async def leader(self) -> replica.Replica:
        with anyio.fail_after(5):
            while True:
                for name, candidate in self.replicas.items():
                    if candidate.is_leader and name not in self.partitioned:
                        return candidate
                await anyio.sleep(0.01)


@pytest.fixture
async def group(
    tmp_path: pathlib.Path,
) -> collections.abc.AsyncIterator[Group]:
    async with anyio.create_task_group() as tasks:
        new_group = Group(tmp_path, tasks)
        for name in NAMES:
            await new_group.start(name)
        yield new_group
        tasks.cancel_scope.cancel()
