from __future__ import annotations

import collections.abc
import contextlib
import pathlib
import typing

import anyio
import pytest
from tests.registry import sites
from tests.support import group_clock

from cactusstile.consensus import replica


@pytest.fixture(autouse=True)
def clock(monkeypatch: pytest.MonkeyPatch) -> group_clock.Clock:
    """Returns the clock of the replicas that run in the test's process."""
    clock = group_clock.Clock()
    open_replica = replica.open_replica

    @contextlib.asynccontextmanager
    async def open_with_clock(
        *arguments: typing.Any, **options: typing.Any
    ) -> collections.abc.AsyncIterator[replica.Replica]:
        async with anyio.create_task_group() as group:
            group.start_soon(clock.run)
            opened = open_replica(*arguments, clock=clock, **options)
            async with opened as own_replica:
                yield own_replica
            group.cancel_scope.cancel()

    monkeypatch.setattr(replica, "open_replica", open_with_clock)
    return clock


@pytest.fixture
def site(tmp_path: pathlib.Path) -> sites.Site:
    return sites.Site(tmp_path)
