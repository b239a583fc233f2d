"""Another disk is lost as soon as a lost VM's successor has caught up."""

from __future__ import annotations

import contextlib
import json
import shutil
import typing

import anyio
import pytest
from tests.registry import sites

from cactusstile.http import exceptions
from cactusstile.registry import daemon

if typing.TYPE_CHECKING:
    from tests.support import group_clock

pytestmark = pytest.mark.anyio
HOSTS = sites.HOSTS
OK = 200
# A successor counts as lost for so long after its start.
CATCH_UP_S = 4.0
RECOVERY_S = 12.0


async def _others(site: sites.Site) -> list[str]:
    leader = (await site.leader()).settings.host
    return [host for host in site.running if host != leader]


async def _wait_until(clock: group_clock.Clock, time_s: float) -> None:
    """Waits for a time of the registries, which stand still in a pause."""
    while clock() < time_s:
        await anyio.sleep(0.02)


async def _read_version(site: sites.Site) -> int:
    """Returns the version in force; 0 if it does not come in time."""
    with anyio.move_on_after(RECOVERY_S):
        while True:
            for host in list(site.running):
                with contextlib.suppress(exceptions.HttpError, OSError):
                    status, data = await site.ask(
                        host, b"GET", b"/-/Config.Get"
                    )
                    if status == OK:
                        return int(json.loads(data)["version"])
            await anyio.sleep(0.1)
    return 0


# Guards against an acknowledged configuration that is lost for good.
@pytest.mark.parametrize("delay_s", [0.0, 1.0])
@pytest.mark.parametrize("first_loss", ["leader", "follower", "leader changes"])
async def test_second_lost_disk_after_a_replacement_loses_no_configuration(
    site: sites.Site,
    clock: group_clock.Clock,
    first_loss: str,
    delay_s: float,
) -> None:
    async with anyio.create_task_group() as group:
        for host in HOSTS[:3]:
            await group.start(site.run, host)
        await site.wait_for_voters(*HOSTS[:3])
        lost = (await _others(site))[0]
        if first_loss == "leader":
            lost = (await site.leader()).settings.host
        await site.lose(lost)
        await anyio.sleep(delay_s)
        await group.start(site.run, HOSTS[3])
        started_s = clock()
        if first_loss == "leader changes":
            await (await site.leader()).step_down()
        await _wait_until(clock, started_s + CATCH_UP_S)
        assert await site.replace(5) == OK
        second = await site.leader()
        await _lose_disk(site, second)
        await group.start(_run_later, site, second.settings.host)
        assert await _read_version(site) == 5
        for stop in site.stops.values():
            stop.set()


# Guards against two lost voters of five that count on beside two more.
@pytest.mark.parametrize("with_leader", [False, True])
async def test_two_lost_disks_after_two_replacements_lose_no_configuration(
    site: sites.Site, clock: group_clock.Clock, with_leader: bool
) -> None:
    hosts = [f"{sites.NETWORK}.{number}" for number in range(2, 9)]
    async with anyio.create_task_group() as group:
        for host in hosts[:5]:
            await group.start(site.run, host)
        await site.wait_for_voters(*hosts[:5])
        first = (await _others(site))[:2]
        if with_leader:
            first[0] = (await site.leader()).settings.host
        for host in first:
            await site.lose(host)
        await anyio.sleep(1.0)
        for host in hosts[5:]:
            await group.start(site.run, host)
        await _wait_until(clock, clock() + CATCH_UP_S)
        assert await site.replace(5) == OK
        leader = await site.leader()
        others = [one for one in site.running.values() if one is not leader]
        for registry in (leader, others[0]):
            await _lose_disk(site, registry)
        for registry in (leader, others[0]):
            await group.start(_run_later, site, registry.settings.host)
        assert await _read_version(site) == 5
        for stop in site.stops.values():
            stop.set()


async def _lose_disk(site: sites.Site, registry: daemon.Registry) -> None:
    await site.lose(registry.settings.host)
    folder = registry.settings.data_folder
    assert folder is not None
    shutil.rmtree(folder)


async def _run_later(
    site: sites.Site,
    host: str,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    await anyio.sleep(1.0)
    await site.run(host, first=False, task_status=task_status)
