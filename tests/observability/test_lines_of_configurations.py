"""Lines by which hypotheses on old configurations can be told apart."""

from __future__ import annotations

import json
import logging
import pathlib
import time
import typing

import anyio
import anyio.abc
import anyio.lowlevel
import pytest
from tests.gateway import support
from tests.platform import test_configurations
from tests.registry import sites

from cactusstile import clocks
from cactusstile.gateway import control_watch
from cactusstile.gateway import site_view
from cactusstile.registry import feed as feeds
from cactusstile.registry import state
from cactusstile.registry import watch_state
from cactusstile.sites import documents
from cactusstile.sites import messages
from cactusstile.transport import address
from cactusstile.transport import handshake
from cactusstile.transport import incoming
from cactusstile.transport import outbox
from cactusstile.transport import pool
from cactusstile.transport import server

pytestmark = pytest.mark.anyio
OWN = messages.GatewayMember("127.0.0.1:1", "d", 1.0)
SECRETS = handshake.Secrets(b"s" * 16)


def find_line(caplog: pytest.LogCaptureFixture, text: str) -> dict[str, object]:
    (found,) = [line for line in caplog.records if line.message == text]
    return vars(found)


@pytest.mark.parametrize("age_s", [None, 3.0])
async def test_refusal_hides_the_version_and_the_age_of_its_view(
    age_s: float | None,
) -> None:
    config = support.configuration(support.route(), version=7)
    async with support.open_harness(config) as harness:
        if age_s is not None:
            harness.site.view_age.record(clocks.boot_s() - age_s)
        other = support.request().replace(b"/a/x", b"/b/x")
        assert support.status(await harness.ask(other)) == 404
        assert support.status(await harness.ask(support.request())) == 503
    for record in harness.records:
        logged = record.fields()
        assert logged["configuration"] == 7
        if age_s is None:
            assert logged["view_age_ms"] == -1
        else:
            assert 3000 <= logged["view_age_ms"] < 5000


async def test_configuration_waits_unseen_behind_other_items(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    caplog.set_level(logging.INFO, "cactusstile")
    document = json.dumps(test_configurations.document(version=2)).encode()
    compressed = documents.compress(document)

    async def serve(responder: incoming.Responder, _: object) -> object:
        await responder.send(messages.TargetList(()))
        await responder.send(messages.ConfigurationInForce(2, compressed))
        await anyio.sleep_forever()
        return None

    identity = handshake.Identity("gateway", "g")
    handlers = incoming.Handlers({messages.Watch: serve})
    local = address.Address("127.0.0.1", 0)
    async with (
        server.open_server(local, identity, SECRETS, handlers) as opened,
        pool.open_pool(identity, SECRETS) as peers,
        anyio.create_task_group() as group,
    ):
        site = site_view.SiteView()
        watch = control_watch.ControlWatch(peers, site, (opened.bound,), OWN)
        monkeypatch.setattr(watch, "apply_targets", lambda *_: time.sleep(0.3))
        group.start_soon(watch.run)
        with anyio.fail_after(5):
            await site.configured.wait()
        group.cancel_scope.cancel()
    line = find_line(caplog, "applied a new configuration")
    assert 300 <= typing.cast("float", line["waited_ms"]) < 3000
    assert 0 <= typing.cast("float", line["took_ms"]) < 3000


async def test_write_that_a_peer_delays_leaves_no_line(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    caplog.set_level(logging.INFO, "cactusstile")
    monkeypatch.setattr(outbox, "LATE_WRITE_S", 0.05)
    delays_s = [0.0, 0.1]

    class SlowStream:
        async def send(self, _: bytes) -> None:
            await anyio.sleep(delays_s.pop(0))

    frames = outbox.Outbox("gateway g")
    async with anyio.create_task_group() as group:
        stream = typing.cast("anyio.abc.ByteStream", SlowStream())
        group.start_soon(frames.write_to, stream)
        for _ in range(2):
            frames.put(b"frame")
            await anyio.sleep(0.2)
        group.cancel_scope.cancel()
    line = find_line(caplog, "a peer was slow to take what was sent")
    assert line["peer"] == "gateway g"
    assert 100 <= typing.cast("int", line["took_ms"]) < 3000


async def test_items_wait_unseen_for_the_credit_of_a_gateway(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    caplog.set_level(logging.INFO, "cactusstile")
    monkeypatch.setattr(watch_state, "LATE_ITEMS_S", 0.05)
    replica = typing.cast("typing.Any", type("Leader", (), {"is_leader": True}))
    feed = feeds.Feed(state.SiteState(), replica)
    monkeypatch.setattr(feed, "_check_leadership", anyio.lowlevel.checkpoint)

    async def send(_: object, sent: watch_state.WatchState) -> None:
        await anyio.sleep(0.1 if sent.version == 5 else 0.0)

    monkeypatch.setattr(feed, "_send_changes", send)
    peer = typing.cast("typing.Any", type("Peer", (), {"name": "g"}))
    responder = typing.cast("typing.Any", type("Call", (), {"peer": peer}))
    async with anyio.create_task_group() as group:
        for version in (4, 5):
            group.start_soon(
                feed.serve_watch, responder, messages.Watch(version, OWN)
            )
        await anyio.sleep(0.3)
        group.cancel_scope.cancel()
    line = find_line(caplog, "items waited for a gateway")
    assert (line["gateway"], line["configuration"]) == ("g", 5)


async def test_commit_of_a_configuration_takes_a_time_that_nobody_sees(
    caplog: pytest.LogCaptureFixture, tmp_path: pathlib.Path
) -> None:
    caplog.set_level(logging.INFO, "cactusstile")
    site = sites.Site(tmp_path)
    async with site.open(*sites.HOSTS[:3]):
        leader = await site.leader()
        assert await site.replace(1) == 200
        assert leader.dump()["loop"]["pauses"] >= 0
    line = find_line(caplog, "configuration processed")
    assert 0 < typing.cast("float", line["commit_ms"]) < 3000
