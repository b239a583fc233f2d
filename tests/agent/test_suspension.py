"""A process whose VM was suspended."""

from __future__ import annotations

import inspect
import time
import types
import typing

import anyio
import anyio.abc
import pytest

from cactusstile import clocks
from cactusstile import event_loops
from cactusstile.agent import claims
from cactusstile.console import agent
from cactusstile.console import control
from cactusstile.console import entry
from cactusstile.console import node_process
from cactusstile.control import claim_messages
from cactusstile.control import client

SUSPENDED_S = 60.0
KEY = claims.ClaimKey("w", "k", b"")


class Control:
    """Test double of control that grants every claim."""

    def __init__(self) -> None:
        self.claim_id = b""
        self.reads = 0

    async def claim(self, *_: object, **options: typing.Any) -> object:
        self.claim_id = options["claim_id"]
        return self._grant()

    async def read_claim(self, *_: object, **__: object) -> object:
        self.reads += 1
        return self._grant()

    def _grant(self) -> client.ClaimGrant:
        running = claim_messages.ClaimState.RUNNING
        return client.ClaimGrant(True, running, 1, self.claim_id, "", b"")


def test_run_begins_by_a_claim_from_before_its_vm_was_suspended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    suspended_s = 0.0
    monkeypatch.setattr(
        clocks, "boot_s", lambda: time.monotonic() + suspended_s
    )
    granting = Control()

    async def main() -> None:
        nonlocal suspended_s
        async with anyio.create_task_group() as group:
            unchecked: typing.Any = granting
            claimer = claims.Claimer(unchecked, 1, group)
            claim = await claimer.claim(KEY)
            assert isinstance(claim, claims.HeldClaim)
            await claimer.confirm(claim)
            assert granting.reads == 0
            suspended_s = SUSPENDED_S
            await claimer.confirm(claim)

    event_loops.run(main)
    assert granting.reads == 1


@pytest.mark.parametrize("role", [agent, control, entry, node_process])
def test_process_runs_on_a_clock_that_stands_still_in_suspension(
    role: types.ModuleType,
) -> None:
    source = inspect.getsource(role)
    assert "event_loops.run(" in source
    assert "anyio.run(" not in source
