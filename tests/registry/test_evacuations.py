from __future__ import annotations

import json
import pathlib

import anyio
import anyio.to_thread
import pytest
from tests.registry import sites

from cactusstile.console import application
from cactusstile.console import exceptions
from cactusstile.control import commands
from cactusstile.registry import evacuations
from cactusstile.registry import state
from cactusstile.sites import evacuation_messages

pytestmark = pytest.mark.anyio
BEGIN = b"/-/Evacuations.Start/ikeja-hall"
END = b"/-/Evacuations.Finish/ikeja-hall"


def test_evacuation_is_lost_with_the_process_that_acknowledged_it() -> None:
    site = state.SiteState()
    for command in (
        evacuation_messages.BeginEvacuation("a"),
        evacuation_messages.BeginEvacuation("b"),
        evacuation_messages.EndEvacuation("a"),
    ):
        site.apply(1, commands.pack(command))
    restored = state.SiteState()
    restored.restore(site.snapshot())
    expected = evacuations.EvacuationTable(("b",), ("a",))
    assert restored.evacuation_table() == expected


def test_evacuations_grow_without_bound() -> None:
    table = evacuations.EvacuationTable()
    for number in range(evacuations.MAX_DATA_CENTRES):
        begun = table.after(evacuation_messages.BeginEvacuation(f"d{number}"))
        assert begun is not None
        table = begun
    assert table.after(evacuation_messages.BeginEvacuation("more")) is None
    assert table.after(evacuation_messages.BeginEvacuation("d1")) == table


def test_age_of_an_end_begins_anew_with_other_changes() -> None:
    known = evacuations.EvacuationAges()
    known.update(evacuations.EvacuationTable((), ("a",)), 10.0)
    table = evacuations.EvacuationTable(("c",), ("a", "b"))
    known.update(table, 15.0)
    item = known.in_force(table, 16.0)
    assert item.data_centres == ("c",)
    assert [one.age_ms for one in item.ended] == [6_000, 1_000]


async def test_operator_cannot_evacuate_by_any_registry(
    tmp_path: pathlib.Path,
) -> None:
    site = sites.Site(tmp_path)
    async with site.open(*sites.HOSTS[:3]):
        leader = await site.leader()
        for host in sites.HOSTS[:3]:
            status, _ = await site.ask(host, b"POST", BEGIN)
            assert status == 200
        commits = leader.replica.status().commit_index
        status, _ = await site.ask(sites.HOSTS[1], b"POST", BEGIN)
        assert status == 200
        assert leader.replica.status().commit_index == commits
        status, body = await site.ask(sites.HOSTS[0], b"GET", b"/evacuations")
        assert json.loads(body) == {"evacuated": ["ikeja-hall"], "ended": []}
        status, _ = await site.ask(sites.HOSTS[2], b"POST", END)
        assert status == 200
        assert leader.site.image.evacuated == ()
        for path in (b"/-/Evacuations.Start/", b"/-/Evacuations.Start/a%2fb"):
            status, _ = await site.ask(sites.HOSTS[0], b"POST", path)
            assert status == 400


async def test_evacuation_is_lost_when_all_registries_restart(
    tmp_path: pathlib.Path,
) -> None:
    site = sites.Site(tmp_path)
    async with site.open(*sites.HOSTS[:3]):
        await site.leader()
        status, _ = await site.ask(sites.HOSTS[0], b"POST", BEGIN)
        assert status == 200
    async with site.open(*sites.HOSTS[:3], first=False):
        leader = await site.leader()
        await leader.replica.read_barrier()
        assert leader.site.image.evacuated == ("ikeja-hall",)


async def test_command_neither_begins_nor_ends_an_evacuation(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    site = sites.Site(tmp_path)
    async with site.open(*sites.HOSTS[:3]):
        await site.leader()
        registry = f"{sites.HOSTS[1]}:{site.port + 2}"

        async def run(*options: str) -> exceptions.ExitCode:
            arguments = ["evacuations", registry, *options]
            return await anyio.to_thread.run_sync(application.run, arguments)

        assert await run("--begin", "north") == exceptions.ExitCode.OK
        assert await run() == exceptions.ExitCode.OK
        assert '"evacuated": ["north"]' in capsys.readouterr().out
        assert await run("--end", "north") == exceptions.ExitCode.OK
        assert await run("--begin", "a/b") == exceptions.ExitCode.REFUSED
        both = await run("--begin", "a", "--end", "b")
        assert both == exceptions.ExitCode.USAGE
