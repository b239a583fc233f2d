"""Checks histories of non-repeatable calls over real processes.

The outcomes that callers received are compared with the ledger of the fake
service, which has all runs.
"""

from __future__ import annotations

import collections.abc
import contextlib
import json
import os
import random
import signal
import typing

import anyio
import anyio.to_thread
import httpcore
import pytest
from tests.support import site_processes

from cactusstile.agent import messages as agent_messages
from cactusstile.controllers import fencing
from cactusstile.transport import address
from cactusstile.transport import exceptions as transport_exceptions
from cactusstile.transport import handshake
from cactusstile.transport import pool

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
# A frozen agent does not reply; its connection may also close before the call.
NO_REPLY_ERRORS = (TimeoutError, transport_exceptions.ConnectionLostError)

AGENT = "service-1"
CALLS = 60
ATTEMPTS = 5
RETRY_S = 30.0
HTTP_OK = 200
RUN_S = 6.0
REQUESTS_SENT_TWICE = 20
REPLY_TIMEOUT_S = 5.0
FENCE_TIMEOUT_S = 5.0
# Longer than the sleep after which an agent checks its fence at once.
FROZEN_S = 2 * (fencing.TICK_S + fencing.FREEZE_LIMIT_S)
DELIVERY_TIME_S = 0.3
SHORT_DEADLINE_MS = 300
SEEDS = range(int(os.environ.get("CACTUSSTILE_HISTORY_SEEDS", "1")))


class _Callers:
    """Callers that retry through either entry and record the outcomes.

    A caller gives up after `ATTEMPTS` attempts that may have run, or after
    `RETRY_S`.
    """

    def __init__(self, site: site_processes.Site, seed: int) -> None:
        self.outcomes_by_key: dict[str, list[str]] = {}
        self._site = site
        self._random = random.Random(seed)

    async def call(
        self, connections: httpcore.AsyncConnectionPool, key: str
    ) -> None:
        await anyio.sleep(self._random.uniform(0, RUN_S))
        outcomes = self.outcomes_by_key.setdefault(key, [])
        give_up_s = anyio.current_time() + RETRY_S
        uncertain = 0
        while uncertain < ATTEMPTS and anyio.current_time() < give_up_s:
            outcome = await self._attempt(connections, key)
            outcomes.append(outcome)
            if outcome == "done":
                return
            # An attempt that was not run only waits for the agent to restart.
            uncertain += outcome != "not_run"
            await anyio.sleep(self._random.uniform(0.1, 1.0))

    async def _attempt(
        self, connections: httpcore.AsyncConnectionPool, key: str
    ) -> str:
        entry = self._random.choice(("entry-1", "entry-2"))
        delay_s = self._random.choice((0, 0, 0.1, 0.4))
        return await self.send(connections, entry, key, delay_s)

    async def send(
        self,
        connections: httpcore.AsyncConnectionPool,
        entry: str,
        key: str,
        delay_s: float,
        deadline_ms: int = 20_000,
    ) -> str:
        """Sends one attempt; returns "done" or the verdict of a refusal."""
        port = self._site.port(f"{entry}-callers")
        headers: dict[bytes | str, bytes | str] = {
            "authorization": f"Bearer {self._site.keys['bank']}",
            "idempotency-key": key,
            "x-fake-delay-s": f"{delay_s}",
            "cactusstile-deadline-ms": f"{deadline_ms}",
        }
        response = await connections.request(
            "POST",
            f"http://{self._site.host}:{port}/services/inventory/stock",
            headers=headers,
            content=key.encode(),
            extensions={"timeout": {"read": 20.0}},
        )
        if response.status == HTTP_OK:
            return "done"
        fields = {name.lower(): value for name, value in response.headers}
        return fields[b"cactusstile-verdict"].decode()


async def _kill_and_restart(site: site_processes.Site) -> None:
    site.kill(AGENT)
    await anyio.sleep(0.2)
    site_processes.start_agent(site, AGENT, "service")


async def _freeze_and_resume(site: site_processes.Site) -> None:
    frozen = site.processes[AGENT]
    frozen.send_signal(signal.SIGSTOP)
    await anyio.sleep(1.5)
    frozen.send_signal(signal.SIGCONT)


@pytest.fixture(scope="module")
def site(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[site_processes.Site]:
    folder = tmp_path_factory.mktemp("at-most-once")
    with site_processes.open_site(folder) as opened:
        text = site_processes.fleet_text(opened)
        opened.write("fleet.ini", text)
        opened.write("operator.ini", _operator_text(opened))
        applied = opened.run_command("apply", "fleet.ini")
        assert applied.returncode == 0, applied.stderr
        for name in ("entry-1", "entry-2", AGENT):
            opened.wait_ready(name)
        yield opened


def _operator_text(site: site_processes.Site) -> str:
    control = ", ".join(
        f"{site.host}:{site.port(f'control-{number}')}" for number in (1, 2, 3)
    )
    secret = site.folder / "operator.secret"
    return (
        f"[operator]\nname = ada\ncontrol = {control}\n"
        f"operator_secret_file = {secret}\n"
    )


async def _read_ledger(site: site_processes.Site) -> dict[str, int]:
    port = site.port(f"{AGENT}-target")
    async with httpcore.AsyncConnectionPool() as connections:
        response = await connections.request(
            "GET", f"http://{site.host}:{port}/_ledger"
        )
    return typing.cast("dict[str, int]", json.loads(response.content))


@pytest.mark.parametrize("seed", SEEDS)
async def test_history_with_killed_and_frozen_agent(
    site: site_processes.Site, seed: int
) -> None:
    callers = _Callers(site, seed)
    async with (
        httpcore.AsyncConnectionPool(max_connections=200) as connections,
        anyio.create_task_group() as group,
    ):
        for number in range(CALLS):
            key = f"s{seed}-k{number}"
            group.start_soon(callers.call, connections, key)
        await anyio.sleep(1.0)
        await _kill_and_restart(site)
        await anyio.sleep(1.5)
        await _freeze_and_resume(site)
        await _kill_and_restart(site)
    ledger = await _read_ledger(site)
    done = 0
    for key, outcomes in callers.outcomes_by_key.items():
        count = ledger.get(f"bank/c:{key}", 0)
        done += "done" in outcomes
        assert count <= 1, (key, outcomes)
        if "done" in outcomes or "has_run" in outcomes:
            assert count == 1, (key, outcomes)
        if outcomes[-1] == "not_run":
            assert count == 0, (key, outcomes)
    assert done > CALLS // 2, callers.outcomes_by_key


# Attempts through one entry wait in the socket of a frozen agent while the same
# keys are refused through the other entry. The waiting attempts must not run
# once the agent resumes.
async def test_refusal_as_not_run_holds_for_an_attempt_still_on_its_way(
    site: site_processes.Site,
) -> None:
    """Guards against a run of an attempt whose key was refused as not run."""
    site.kill("entry-2")
    path = str(site.folder / "entry-2.ini")
    site.start("entry-2", "cactusstile", "entry", "--settings", path)
    site.wait_ready("entry-2")
    callers = _Callers(site, 0)
    keys = [f"way-{number}" for number in range(REQUESTS_SENT_TWICE)]
    outcomes: list[str] = []
    frozen = site.processes[AGENT]
    async with httpcore.AsyncConnectionPool(max_connections=100) as connections:

        async def send(entry: str, key: str, deadline_ms: int) -> None:
            result = await callers.send(connections, entry, key, 0, deadline_ms)
            if entry == "entry-2":
                outcomes.append(result)

        await send("entry-1", "way-connected", 20_000)
        frozen.send_signal(signal.SIGSTOP)
        try:
            async with anyio.create_task_group() as group:
                for key in keys:
                    group.start_soon(send, "entry-1", key, 20_000)
                await anyio.sleep(DELIVERY_TIME_S)
                async with anyio.create_task_group() as late:
                    for key in keys:
                        late.start_soon(send, "entry-2", key, SHORT_DEADLINE_MS)
                frozen.send_signal(signal.SIGCONT)
        finally:
            frozen.send_signal(signal.SIGCONT)
        ledger = await _read_ledger(site)
        assert outcomes == ["not_run"] * REQUESTS_SENT_TWICE
        assert not {f"bank/c:{key}" for key in keys} & set(ledger)
        for key in keys:
            result = await callers.send(connections, "entry-2", key, 0, 20_000)
            assert result == "done"
        ledger = await _read_ledger(site)
    assert {ledger[f"bank/c:{key}"] for key in keys} == {1}


def _build_call(name: str, number: int) -> agent_messages.Run | object:
    """Returns a non-repeatable request for a target."""
    if name == AGENT:
        return agent_messages.ServiceCall(
            request_key=f"{name}-{number}",
            attempt=0,
            workspace="bank",
            service="inventory",
            method="POST",
            path="/two",
            headers=(),
            body=b"",
            repeatable=False,
        )
    return agent_messages.Run(
        request_key=f"{name}-{number}",
        attempt=0,
        workspace="bank",
        deployment="chat",
        version="",
        adapter="",
        tokens=(number, 1),
        max_tokens=4,
        repeatable=False,
    )


async def _count_runs(site: site_processes.Site, name: str) -> list[int]:
    """Returns the number of runs of each request of `_build_call`."""
    if name == AGENT:
        ledger = await _read_ledger(site)
        keys = [
            f"bank/{name}-{number}" for number in range(REQUESTS_SENT_TWICE)
        ]
        return [ledger.get(key, 0) for key in keys]
    path = site.folder / f"{name}-ledger.json"
    entries = path.read_text().splitlines()
    prompts = [json.loads(entry)[1] for entry in entries]
    return [prompts.count(number) for number in range(REQUESTS_SENT_TWICE)]


async def _wait_fenced(site: site_processes.Site, name: str) -> None:
    with anyio.fail_after(FENCE_TIMEOUT_S):
        while site.get(name, "/readyz")[0] == HTTP_OK:
            await anyio.sleep(0.05)


# When the frozen older agent resumes, its sockets hold requests that the newer
# agent has run.
@pytest.mark.parametrize(
    ("name", "kind"), [(AGENT, "service"), ("engine-1", "engine")]
)
async def test_second_agent_of_a_target_fences_the_one_that_wakes(
    site: site_processes.Site, name: str, kind: str
) -> None:
    """Guards against a second run by an agent that a newer one replaced."""
    site.wait_ready(name)
    secrets = handshake.Secrets(b"fleet-secret-of-the-tests")
    newer = f"{name}-newer"
    refusals: list[object] = []

    async def send(agent_name: str, number: int) -> None:
        bound = address.Address(site.host, site.port(agent_name))
        with contextlib.suppress(*NO_REPLY_ERRORS):
            reply = await peers.call(
                bound, _build_call(name, number), timeout_s=REPLY_TIMEOUT_S
            )
            if isinstance(reply, agent_messages.Refused):
                refusals.append(reply)

    identity = handshake.Identity("entry", "test")
    async with (
        pool.open_pool(identity, secrets) as peers,
        anyio.create_task_group() as group,
    ):
        await peers.connect(address.Address(site.host, site.port(name)))
        site.processes[name].send_signal(signal.SIGSTOP)
        site_processes.start_agent(site, newer, kind, name)
        for number in range(REQUESTS_SENT_TWICE):
            group.start_soon(send, name, number)
        await anyio.to_thread.run_sync(site.wait_ready, newer)
        for number in range(REQUESTS_SENT_TWICE // 2):
            group.start_soon(send, newer, number)
        await anyio.sleep(FROZEN_S)
        site.processes[name].send_signal(signal.SIGCONT)
    runs = await _count_runs(site, name)
    assert max(runs) == 1, (runs, refusals)
    await _wait_fenced(site, name)
    assert site.get(newer, "/readyz")[0] == HTTP_OK
    site.kill(newer)
    site.kill(name)
    site_processes.start_agent(site, name, kind)


def test_drain_command_stops_and_resumes_service(
    site: site_processes.Site,
) -> None:
    site.wait_ready(AGENT)
    drained = site.run_command("drain", AGENT, "--wait_s", "5")
    assert drained.returncode == 0, drained.stderr
    assert "leaves" in drained.stdout
    status, _ = site.get(AGENT, "/readyz")
    assert status != HTTP_OK
    undone = site.run_command("drain", AGENT, "--undo")
    assert "takes work" in undone.stdout
    site.wait_ready(AGENT)
