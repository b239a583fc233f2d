from __future__ import annotations

import collections.abc
import contextlib
import json
import pathlib
import random
import signal

import anyio
import pytest
from tests.registry import support
from tests.soak import fleet as fleets
from tests.soak import history as histories
from tests.soak import odd_entries
from tests.soak import relay as relays
from tests.soak import stand_ins
from tests.support import node_site

from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.platform import headers

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

STREAM = (
    (headers.TOKENS, b"50,40"),
    (headers.PROMPT_PARTS, b"aa:50"),
)


@contextlib.asynccontextmanager
async def open_target(
    folder: pathlib.Path,
) -> collections.abc.AsyncIterator[tuple[fleets.Fleet, fleets.TargetNode]]:
    """Opens an engine that stands behind no relay."""
    async with anyio.create_task_group() as group:
        fleet = fleets.Fleet(
            folder,
            support.draw_network(),
            support.FIRST_PORT,
            1,
            ("here",),
            histories.History(),
            relays.Links(),
            group,
            opened=1,
        )
        fleet.open(stand_ins.ENGINE)
        with anyio.fail_after(fleets.START_TIMEOUT_S):
            while not fleet.targets:
                await anyio.sleep(0.01)
        yield fleet, fleet.targets[0]
        await fleet.close()
        group.cancel_scope.cancel()


async def ask(
    node: fleets.TargetNode, *fields: tuple[bytes, bytes]
) -> tuple[messages.ResponseHead, bytes]:
    all_fields = (
        (b"host", b"soak"),
        (headers.REQUEST_ID, b"one"),
        *fields,
    )
    request = messages.Request(b"POST", b"/long/one", all_fields, b"body")
    return await node_site.call(node.listed, request)


async def test_journal_shows_a_run_that_a_kill_ended(
    tmp_path: pathlib.Path,
) -> None:
    async with open_target(tmp_path) as (fleet, node):

        async def kill() -> None:
            await anyio.sleep(0.3)
            node.kill()

        async with anyio.create_task_group() as group:
            group.start_soon(kill)
            with pytest.raises(exceptions.HttpError):
                await ask(node, *STREAM)
    (arrival,) = fleet.history.arrivals
    assert (arrival.request_id, arrival.ran) == ("one", True)
    assert arrival.body == b"body"
    assert arrival.ended_s is not None
    assert 0.1 < arrival.ended_s - arrival.began_s < 0.4


async def test_journal_shows_a_run_after_its_caller_has_left(
    tmp_path: pathlib.Path,
) -> None:
    async with open_target(tmp_path) as (fleet, node):
        node.send(signal.SIGSTOP)
        with anyio.move_on_after(0.2):
            await ask(node)
        left_s = anyio.current_time()
        node.send(signal.SIGCONT)
        await anyio.sleep(0.2)
    (arrival,) = fleet.history.arrivals
    assert arrival.ran
    assert arrival.began_s > left_s


async def test_run_goes_on_only_where_its_copy_is(
    tmp_path: pathlib.Path,
) -> None:
    async with open_target(tmp_path) as (fleet, node):
        resumed = (headers.KV_FROM, f"{node.listed}/one".encode())
        head, _ = await ask(node, resumed)
        assert head.status == stand_ins.FULL
        assert head.find(headers.NOT_RUN) == "1"
        await ask(node, (headers.KV_BACKUP, str(node.listed).encode()), *STREAM)
        head, body = await ask(
            node, resumed, (headers.LAST_EVENT_ID, b"39"), *STREAM
        )
        assert body == stand_ins.expected_event("one", 40)
    runs = fleet.history.runs_by_request()["one"]
    assert [run.from_copy for run in runs] == [False, True]


async def test_port_is_closed_and_stalled_while_a_run_goes_on(
    tmp_path: pathlib.Path,
) -> None:
    async with open_target(tmp_path) as (_, node):
        async with anyio.create_task_group() as group:
            group.start_soon(ask, node, *STREAM)
            await anyio.sleep(0.1)
            await node.command(port="closed")
            await anyio.sleep(0.1)
            with pytest.raises(exceptions.RefusedConnectionError):
                await ask(node)
        await node.command(port="stalled")
        await anyio.sleep(0.1)
        with anyio.move_on_after(0.2) as scope:
            await ask(node)
        assert scope.cancelled_caught
        await node.command(port="open")
        head, _ = await ask(node)
        assert head.status == 200


async def test_target_starts_again_at_its_address_born_anew(
    tmp_path: pathlib.Path,
) -> None:
    async with open_target(tmp_path) as (fleet, node):
        before = node.entry()
        node.kill()
        assert node.process is not None
        await node.process.wait()
        await fleet.start(node)
        after = node.entry()
        await ask(node)
        assert after["born"] > before["born"]
        assert {**after, "born": 0} == {**before, "born": 0}


def test_odd_entries_can_be_sent_and_differ_in_one_field() -> None:
    sound = {"id": "a", "slots": 1, "models": [], "address": "127.0.0.1:1"}
    drawn = odd_entries.draw(random.Random(1), sound, "127.0.0.1:2")
    assert json.loads(json.dumps(drawn)) == drawn
    for odd in drawn:
        kept = sum(odd.get(name) == sound[name] for name in ("slots", "models"))
        assert kept >= 1
