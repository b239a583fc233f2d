"""What outlives all gateways: since when which builds have been listed."""

from __future__ import annotations

import pathlib

import anyio
import attrs
import pytest
from tests.registry import sites

from cactusstile.consensus import exceptions
from cactusstile.control import commands
from cactusstile.registry import build_records
from cactusstile.registry import state
from cactusstile.sites import builds
from cactusstile.sites import model
from cactusstile.transport import address

pytestmark = pytest.mark.anyio


def listed(*named: str) -> tuple[model.Target, ...]:
    """Returns a list with one target for each "service build"."""
    targets = []
    for number, name in enumerate(named):
        service, build = name.split()
        where = address.Address("127.0.0.1", number + 1)
        target = model.Target(str(number), service, where, "d", 1, build=build)
        targets.append(target)
    return tuple(targets)


def test_service_counts_as_changed_although_its_builds_are_known() -> None:
    known = builds.find_changes((), listed("s v1", "t v1"), 5_000)
    assert {one.since_ms for one in known} == {builds.SINCE_EVER_MS}
    # A service without targets may return with those it had.
    assert builds.find_changes(known, listed("t v1"), 6_000) == ()
    (changed,) = builds.find_changes(known, listed("s v2", "s v1"), 6_000)
    assert changed == builds.ServiceBuilds("s", ("v1", "v2"), 6_000)
    assert builds.merge(known, (changed,))[1] == known[1]


def test_builds_are_lost_with_the_processes_that_were_told() -> None:
    site = state.SiteState()
    changes = builds.find_changes((), listed("s v1"), 5_000)
    site.apply(1, commands.pack(builds.RecordBuilds(changes)))
    restored = state.SiteState()
    restored.restore(site.snapshot())
    assert restored.image.builds == changes


class FailingReplica:
    is_leader = True

    async def propose(self, _: bytes) -> bytes:
        raise exceptions.NotLeaderError("")


@attrs.define
class SlowReplica:
    """A replica whose commits take a moment.

    Attributes:
      site: The state that it changes.
    """

    site: state.SiteState
    is_leader: bool = True

    async def propose(self, command: bytes) -> bytes:
        await anyio.sleep(0.05)
        return self.site.apply(1, command)


async def test_list_is_published_before_its_builds_are_recorded() -> None:
    """Gateways may begin streams at a new build once they know it."""
    site = state.SiteState()
    recorded: list[tuple[builds.ServiceBuilds, ...]] = []
    await build_records.record_and_publish(
        site,
        SlowReplica(site),  # type: ignore[arg-type]
        listed("s v1"),
        lambda _: recorded.append(site.image.builds),
    )
    assert recorded == [builds.find_changes((), listed("s v1"), 0)]


async def test_list_is_withheld_while_its_builds_cannot_be_recorded() -> None:
    published: list[tuple[model.Target, ...]] = []
    targets = listed("s v1")
    await build_records.record_and_publish(
        state.SiteState(),
        FailingReplica(),  # type: ignore[arg-type]
        targets,
        published.append,
    )
    assert published == [targets]


async def record_until_kept(
    site: sites.Site, targets: tuple[model.Target, ...]
) -> tuple[builds.ServiceBuilds, ...]:
    """Reads the same list again and again; a leader may change meanwhile."""
    with anyio.fail_after(30):
        while True:
            leader = await site.leader()
            await build_records.record_and_publish(
                leader.site, leader.replica, targets, lambda _: None
            )
            kept = leader.site.image.builds
            if kept and not builds.find_changes(kept, targets, 0):
                return kept
            await anyio.sleep(0.05)


async def test_restart_of_all_registries_forgets_when_builds_changed(
    tmp_path: pathlib.Path,
) -> None:
    site = sites.Site(tmp_path)
    hosts = sites.HOSTS[:3]
    async with site.open(*hosts):
        for named in (("s v1",), ("s v1", "s v2"), ("s v2",)):
            before = await record_until_kept(site, listed(*named))
    async with site.open(*hosts, first=False):
        leader = await site.leader()
        await leader.replica.read_barrier()
        assert leader.site.image.builds == before
        assert before[0].since_ms > builds.SINCE_EVER_MS
