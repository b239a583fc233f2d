from __future__ import annotations

import logging
import pathlib
import typing

import anyio
import anyio.lowlevel
import pytest
from tests.consensus import conftest as replicas

from cactusstile import guards
from cactusstile.consensus import core
from cactusstile.consensus import driver
from cactusstile.consensus import messages as consensus_messages
from cactusstile.consensus import replica
from cactusstile.control import sender
from cactusstile.gateway import control_watch
from cactusstile.gateway import site_view
from cactusstile.registry import commands
from cactusstile.registry import leader_lookup
from cactusstile.sites import messages
from cactusstile.transport import address
from cactusstile.transport import handshake
from cactusstile.transport import incoming
from cactusstile.transport import messages as transport_messages
from cactusstile.transport import pool
from cactusstile.transport import server

pytestmark = pytest.mark.anyio
SECRETS = handshake.Secrets(b"s" * 16)
OWN = messages.GatewayMember("127.0.0.1:1", "d", 1.0)


def fail(*_: object) -> None:
    raise RuntimeError("a fault of the program")


async def test_fault_ends_a_loop_for_ever(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(guards, "RESTART_DELAY_S", 0.0)
    runs: list[int] = []

    async def loop(limit: int) -> None:
        await anyio.lowlevel.checkpoint()
        runs.append(limit)
        if len(runs) < limit:
            fail()

    with caplog.at_level(logging.ERROR):
        await guards.keep_running("loop", loop, 12)
    assert len(runs) == 12
    # The 1st and the 10th.
    assert len(caplog.records) == 2


async def test_fault_in_one_notice_ends_the_process() -> None:
    """Guards against the end of either side of a connection."""
    handlers = incoming.Handlers(
        notices={transport_messages.CallError: fail},
        calls={transport_messages.CallError: typing.cast("typing.Any", fail)},
    )
    message = transport_messages.CallError("x", "")
    local = address.Address("127.0.0.1", 0)
    identity = handshake.Identity("control", "c")
    async with (
        server.open_server(local, identity, SECRETS, handlers) as opened,
        pool.open_pool(identity, SECRETS, handlers) as peers,
    ):
        for _ in range(2):
            connection = await peers.connect(opened.bound)
            connection.notify(message)
            with anyio.fail_after(2):
                await connection.closed.wait()
            await anyio.sleep(pool.REDIAL_INTERVAL_S)
        # The same from the accepting side.
        connection = await peers.connect(opened.bound)
        for accepted in opened.connections:
            accepted.notify(message)
        with anyio.fail_after(2):
            await connection.closed.wait()


@pytest.mark.parametrize("part", ["receive", "tick"])
async def test_contained_fault_of_a_replica_leaves_it_running(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, part: str
) -> None:
    """Guards against durable state that half of a message was applied to."""
    group = replicas.Group(tmp_path, typing.cast("typing.Any", None))
    machine = replicas.ListMachine()
    hello = consensus_messages.Hello("", "b", 1, "b")
    effect: typing.Any = None

    async def run() -> None:
        async with replica.open_replica(
            group.settings("a"), machine, lambda *_: None
        ) as opened:
            opened.receive("b", hello)
            if part == "receive":
                monkeypatch.setattr(core, "receive", fail)
            else:
                # An effect of a tick that a call of an operator causes.
                monkeypatch.setattr(driver.Driver, "_execute", fail)
            with guards.Guard("connection").contain():
                if part == "receive":
                    opened.receive("b", effect)
                opened.driver._dispatch([effect])
            await anyio.sleep_forever()

    with anyio.fail_after(5), pytest.raises(ExceptionGroup):
        await run()


async def test_address_that_cannot_be_parsed_ends_a_process() -> None:
    """Guards against faults outside the loops that follow a leader."""
    unused: typing.Any = None
    watch = control_watch.ControlWatch(
        unused, site_view.SiteView(), (address.Address("127.0.0.1", 9),), OWN
    )
    watch._apply_item(messages.Confirmation(1, ("somewhere", "")))
    assert watch._next_candidate(0) == address.Address("127.0.0.1", 9)
    own_sender = sender.Sender(unused, unused)
    own_sender.notify("somewhere", transport_messages.CallError("x", ""))
    assert own_sender.dropped == 1

    class Peers:
        async def call(self, *_: object, **__: object) -> object:
            await anyio.lowlevel.checkpoint()
            return commands.LeaderFound("nowhere", ("x",))

    lookup = leader_lookup.LeaderLookup(
        typing.cast("pool.Pool", Peers()), (address.Address("127.0.0.1", 9),)
    )
    assert await lookup._ask_once() is None


async def test_item_that_cannot_be_applied_ends_a_gateway(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    unused: typing.Any = None
    site = site_view.SiteView()
    watch = control_watch.ControlWatch(unused, site, (), OWN)
    monkeypatch.setattr(watch, "apply_targets", fail)
    watch._apply_item(messages.TargetList(()))
    assert watch._guard.faults == 1
