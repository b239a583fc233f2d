"""Old views that decide since nobody leads any more; see `test_old_views`."""

from __future__ import annotations

import pathlib
import signal

import anyio
import pytest
from tests.processes import test_old_views

pytestmark = [pytest.mark.anyio, pytest.mark.processes]


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
async def test_paused_gateway_runs_a_dropped_route_once_its_registry_has_ended(
    tmp_path: pathlib.Path, number: signal.Signals
) -> None:
    """A change that came before the loss of the leader is in force, too."""
    async with test_old_views.open_site(tmp_path, "/a/", "/b/") as site:
        before = len(site.target.requests)
        site.signal("g-1", signal.SIGSTOP)
        # The gateway does not watch the leader that accepts the change.
        await site.processes.stop("r-1", number)
        await site.processes.start(
            "registry", "r-1", site.processes.registry_host, first_start=False
        )
        await site.acknowledge(2, "/a/")
        await anyio.sleep(test_old_views.APPLY_S)
        await site.processes.stop("r-1", number)
        statuses: list[int] = []

        async def ask(one: int) -> None:
            statuses.append(await site.ask(b"/b/x", f"paused-{one}"))

        async with anyio.create_task_group() as group:
            for one in range(3):
                group.start_soon(ask, one)
            await anyio.sleep(0.2)
            site.signal("g-1", signal.SIGCONT)
        statuses += [
            await site.ask(b"/b/x", f"later-{one}") for one in range(3)
        ]
        assert len(site.target.requests) == before, statuses
        assert statuses == [503] * 6
