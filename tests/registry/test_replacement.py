"""A VM of the registries is lost for good, an empty one takes its place."""

from __future__ import annotations

import collections.abc
import contextlib
import json
import typing

import anyio
import anyio.abc
import pytest
from tests.registry import sites

from cactusstile.http import exceptions
from cactusstile.registry import members

pytestmark = pytest.mark.anyio
HOSTS = sites.HOSTS
OK = 200
CONFLICT = 409
UNAVAILABLE = 503
READ_TIMEOUT_S = 5.0
TEST_TIMEOUT_S = 60.0


@pytest.fixture(autouse=True)
def _short_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(members, "LOST_AFTER_S", 0.5)


@contextlib.asynccontextmanager
async def _open_core(
    site: sites.Site,
) -> collections.abc.AsyncIterator[anyio.abc.TaskGroup]:
    async with anyio.create_task_group() as group:
        for host in HOSTS[:3]:
            await group.start(site.run, host)
        await site.wait_for_voters(*HOSTS[:3])
        try:
            with anyio.fail_after(TEST_TIMEOUT_S):
                yield group
        finally:
            for stop in site.stops.values():
                stop.set()


async def _read(site: sites.Site) -> dict[str, typing.Any]:
    """Returns the configuration in force; repeats a 503, as operators do."""
    host = next(iter(site.running))
    status = UNAVAILABLE
    with anyio.fail_after(READ_TIMEOUT_S):
        while status == UNAVAILABLE:
            status, data = await site.ask(host, b"GET", b"/-/Config.Get")
    assert status == OK
    return typing.cast("dict[str, typing.Any]", json.loads(data))


async def _change(site: sites.Site, version: int, key: str) -> int:
    """Repeats a change until the site decides on it; returns the status."""
    workspace = {"name": "w", "apiKeys": [key], "priority": 1}
    while True:
        # Followers redirect to a lost leader until they have elected another.
        with contextlib.suppress(exceptions.UnreachableError):
            status = await site.replace(version, tenants=[workspace])
            if status in (OK, CONFLICT):
                return status
        await anyio.sleep(0.05)


async def _race(site: sites.Site, version: int) -> dict[str, int]:
    """Makes two changes to one version at once; returns their statuses."""
    statuses: dict[str, int] = {}

    async def change(key: str) -> None:
        statuses[key] = await _change(site, version, key)

    async with anyio.create_task_group() as group:
        group.start_soon(change, "ada")
        group.start_soon(change, "bob")
    return statuses


async def _find_host(site: sites.Site, *, leads: bool) -> str:
    """Returns the host of the leader, or of a follower."""
    leader = (await site.leader()).settings.host
    if leads:
        return leader
    return next(host for host in site.running if host != leader)


@pytest.mark.parametrize("leads", [True, False], ids=["leader", "follower"])
async def test_group_bears_a_loss_again_after_each_replacement(
    site: sites.Site, leads: bool
) -> None:
    async with _open_core(site) as group:
        version = 1
        for replacement in HOSTS[3:5]:
            assert await site.replace(version) == OK
            await site.lose(await _find_host(site, leads=leads))
            await group.start(site.run, replacement)
            await site.wait_for_voters(*site.running)
            assert (await _read(site))["version"] == version
            version += 1
        await site.lose(await _find_host(site, leads=leads))
        assert await _change(site, version, "ada") == OK
        assert (await _read(site))["version"] == version


async def test_planned_replacement_never_lacks_a_leader_for_long(
    site: sites.Site,
) -> None:
    """Checks the order of an operator: first the new VM, then the old one."""
    async with _open_core(site) as group:
        assert await site.replace(1) == OK
        await group.start(site.run, HOSTS[3])
        old = await site.leader()
        await old.step_down()
        await site.lose(old.settings.host)
        with anyio.fail_after(2.0):
            assert await _change(site, 2, "ada") == OK
        await site.wait_for_voters(*site.running)
        assert (await _read(site))["version"] == 2


async def test_race_of_two_operators_during_a_replacement_has_one_winner(
    site: sites.Site,
) -> None:
    async with _open_core(site) as group:
        await site.lose(await _find_host(site, leads=True))
        await group.start(site.run, HOSTS[3])
        for version in range(1, 20):
            outcomes = await _race(site, version)
            document = await _read(site)
            assert document["version"] == version
            winner = document["tenants"][0]["apiKeys"][0]
            assert outcomes.pop(winner) == OK
            assert list(outcomes.values()) == [CONFLICT]
        await site.wait_for_voters(*site.running)
