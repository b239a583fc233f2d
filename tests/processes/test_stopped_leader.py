"""A leading registry that stands still while another one takes over."""

from __future__ import annotations

import collections.abc
import json
import os
import pathlib
import signal
import sys

import anyio
import attrs
import pytest
from tests.platform import test_configurations
from tests.registry import support
from tests.support import node_site

from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.transport import address

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
OPERATOR = 8
ROUNDS = 4
CHANGE_TIMEOUT_S = 20.0
READS = 4
OK = 200
REDIRECTED = 307
MAY_ANSWER = {REDIRECTED, 503, 504}
READ = messages.Request(b"GET", b"/-/Config.Get", ((b"host", b"x"),))


@attrs.define
class Core:
    """Three registries, each a process on its own address."""

    site: node_site.NodeSite
    version: int = 0

    @property
    def hosts(self) -> list[str]:
        return [f"{self.site.network}.{number}" for number in (2, 3, 4)]

    async def start(self, host: str) -> None:
        seeds = ",".join(f"{one}:{self.site.port + 8}" for one in self.hosts)
        filled = node_site.values(
            name=host,
            host=host,
            port=self.site.port,
            seeds=seeds,
            platform=str(self.site.platform),
            folder=self.site.folder / host,
        )
        path = self.site.folder / f"{host}.ini"
        path.write_text(node_site.render("registry", filled))
        with (self.site.folder / f"{host}.log").open("ab") as log:
            self.site.processes[host] = await anyio.open_process(
                [sys.executable, "-m", "cactusstile", "registry", str(path)],
                stdout=log,
                stderr=log,
                env={**os.environ},
            )

    async def change(self, hosts: collections.abc.Sequence[str]) -> str:
        """Sends the next version until it is acknowledged; returns by whom."""
        self.version += 1
        document = test_configurations.document(version=self.version)
        body = json.dumps(document).encode()
        headers = ((b"host", b"x"),)
        request = messages.Request(b"POST", b"/-/Config.Replace", headers, body)
        with anyio.fail_after(CHANGE_TIMEOUT_S):
            while True:
                for host in hosts:
                    if await self.ask(host, request) == OK:
                        return host
                await anyio.sleep(0.02)

    async def ask(self, host: str, request: messages.Request) -> int:
        """Returns the status of an answer; 0 without one."""
        try:
            with anyio.fail_after(1.0):
                status, _ = await self.site.ask(host, OPERATOR, request)
        except (exceptions.HttpError, TimeoutError):
            return 0
        return status


async def _stop_and_read(core: Core) -> list[tuple[int, int]]:
    """Returns the statuses and versions that a stopped leader answers."""
    leader = await core.change(core.hosts)
    process = core.site.processes[leader]
    where = address.Address(leader, core.site.port + OPERATOR)
    answers: list[tuple[int, int]] = []

    async def read() -> None:
        head, body = await node_site.call(where, READ)
        version = 0
        if head.status == OK:
            version = json.loads(body)["version"]
        answers.append((head.status, version))

    process.send_signal(signal.SIGSTOP)
    try:
        async with anyio.create_task_group() as group:
            await core.change([one for one in core.hosts if one != leader])
            for _ in range(READS):
                group.start_soon(read)
            await anyio.sleep(0.2)
            assert not answers
            process.send_signal(signal.SIGCONT)
    finally:
        process.send_signal(signal.SIGCONT)
    return answers


async def test_stopped_leader_reads_back_what_it_knew_before_its_pause(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against reads that waited and are answered by an old lease."""
    async with node_site.open_site(
        tmp_path, support.draw_network(), support.FIRST_PORT
    ) as site:
        core = Core(site)
        for host in core.hosts:
            await core.start(host)
        for _ in range(ROUNDS):
            answers = await _stop_and_read(core)
            assert len(answers) == READS
            for status, version in answers:
                assert status in MAY_ANSWER or version == core.version
