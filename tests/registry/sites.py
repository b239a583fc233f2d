"""A site of registries within the test process."""

from __future__ import annotations

import collections.abc
import contextlib
import json
import pathlib

import anyio
import anyio.abc
import attrs
from tests.platform import test_configurations
from tests.registry import support

from cactusstile.http import messages
from cactusstile.http import targets
from cactusstile.registry import daemon
from cactusstile.settings import node
from cactusstile.transport import address

NETWORK = support.draw_network()
HOSTS = tuple(f"{NETWORK}.{number}" for number in range(2, 8))


@attrs.define
class Site:
    """Registries within the test process, each on its own address.

    Attributes:
      folder: Folder of their data.
      port: First of the ports that each of them uses.
      running: Running registries, by host.
      stops: Ends the registries that `run` started, by host.
    """

    folder: pathlib.Path
    port: int = support.FIRST_PORT
    running: dict[str, daemon.Registry] = attrs.field(factory=dict)
    stops: dict[str, anyio.Event] = attrs.field(factory=dict)

    def settings(self, host: str, *, first: bool = True) -> node.NodeSettings:
        settings = support.settings(
            self.folder, host, host, self.port, *HOSTS[:3]
        )
        return attrs.evolve(settings, first_start=first)

    @contextlib.asynccontextmanager
    async def open(
        self, *hosts: str, first: bool = True
    ) -> collections.abc.AsyncIterator[None]:
        async with contextlib.AsyncExitStack() as stack:
            for host in hosts:
                settings = self.settings(host, first=first)
                opened = daemon.open_registry(settings)
                self.running[host] = await stack.enter_async_context(opened)
            try:
                yield
            finally:
                for host in hosts:
                    del self.running[host]

    async def run(
        self,
        host: str,
        *,
        first: bool = True,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs one registry until `stops[host]` is set."""
        stop = self.stops[host] = anyio.Event()
        async with self.open(host, first=first):
            task_status.started()
            await stop.wait()

    async def lose(self, host: str) -> None:
        """Ends a registry that `run` started; it does not step down."""
        self.stops.pop(host).set()
        while host in self.running:
            await anyio.sleep(0.01)

    async def leader(self) -> daemon.Registry:
        with anyio.fail_after(10):
            while True:
                for registry in self.running.values():
                    if registry.replica.is_leader:
                        return registry
                await anyio.sleep(0.02)

    async def wait_until_followed(self) -> None:
        """Waits until all running registries know the same leader."""
        with anyio.fail_after(10):
            while True:
                leader = (await self.leader()).replica.leader
                running = self.running.values()
                if all(one.replica.leader == leader for one in running):
                    return
                await anyio.sleep(0.02)

    async def ask(
        self, host: str, method: bytes, path: bytes, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Makes an operator call and follows redirects."""
        for _ in range(3):
            pool = targets.Pool()
            operator_address = address.Address(host, self.port + 2)
            connection = await pool.take(operator_address, 1.0)
            request = messages.Request(method, path, ((b"host", b"x"),), body)
            head = await connection.ask(request, lambda _: True)
            data = await connection.read_full_body(1 << 20)
            connection.close()
            if head.status != 307:
                return head.status, data
            host = (head.find(b"location") or "").split("/")[2].split(":")[0]
        return head.status, data

    async def replace(self, version: int, **changes: object) -> int:
        document = test_configurations.document(version=version, **changes)
        body = json.dumps(document).encode()
        host = next(iter(self.running))
        status, _ = await self.ask(host, b"POST", b"/-/Config.Replace", body)
        return status

    async def wait_for_voters(self, *hosts: str) -> None:
        """Waits until these and no others vote, and all of them are active."""
        with anyio.fail_after(15):
            while True:
                status = (await self.leader()).replica.status()
                voters = {
                    peer.member.name: peer.active
                    for peer in status.members
                    if peer.member.voter
                }
                if voters == dict.fromkeys(hosts, True):
                    return
                await anyio.sleep(0.05)
