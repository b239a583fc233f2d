from __future__ import annotations

import json
import os
import pathlib
import socket
import time

import anyio
import pytest
from tests.registry import sites
from tests.registry import support

from cactusstile.consensus import bootstrap
from cactusstile.consensus import membership
from cactusstile.gateway import daemon as gateway_daemon
from cactusstile.http import callers
from cactusstile.registry import daemon
from cactusstile.registry import members
from cactusstile.registry import rejoin

pytestmark = pytest.mark.anyio
HOSTS = sites.HOSTS
SLOW_SYNC_S = 0.03


async def test_listeners_stay_open_until_nothing_accepts(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a traceback on shutdown while a caller connects.

    Tasks that accept connections fail if their listener is closed before they
    have ended, as seen in a soak run with seed 62.
    """
    open_at_end = []

    async def serve(
        listener: socket.socket, serving: object, group: object
    ) -> None:
        try:
            await anyio.sleep_forever()
        finally:
            open_at_end.append(listener.fileno() >= 0)

    monkeypatch.setattr(callers, "serve_listener", serve)
    network = support.draw_network()
    settings = support.settings(
        tmp_path, "n", f"{network}.2", support.FIRST_PORT, f"{network}.2"
    )
    async with daemon.open_registry(settings):
        await anyio.sleep(0.05)
    async with gateway_daemon.open_gateway(settings):
        await anyio.sleep(0.05)
    assert open_at_end
    assert all(open_at_end)


async def test_configuration_is_accepted_and_read_back(
    site: sites.Site,
) -> None:
    async with site.open(*HOSTS[:3]):
        await site.leader()
        assert await site.replace(5) == 200
        assert await site.replace(5) == 200
        assert await site.replace(4) == 200
        assert await site.replace(5, tenants=[]) == 409
        assert await site.replace(6, limits=None) == 400
        for host in HOSTS[:3]:
            status, data = await site.ask(host, b"GET", b"/-/Config.Get")
            assert (status, json.loads(data)["version"]) == (200, 5)


async def test_replica_without_quorum_answers_no_read(site: sites.Site) -> None:
    async with site.open(*HOSTS[:3]):
        await site.leader()
        assert await site.replace(5) == 200
    async with site.open(HOSTS[0], first=False):
        await anyio.sleep(1.0)
        status, _ = await site.ask(HOSTS[0], b"GET", b"/-/Config.Get")
        assert status >= 500


async def test_fourth_replica_replaces_a_permanently_lost_voter(
    site: sites.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(members, "LOST_AFTER_S", 0.5)
    async with site.open(*HOSTS[:2]):
        async with site.open(HOSTS[2]):
            await site.wait_for_voters(*HOSTS[:3])
            assert await site.replace(5) == 200
        async with site.open(HOSTS[3]):
            await site.wait_for_voters(HOSTS[0], HOSTS[1], HOSTS[3])
            assert await site.replace(6) == 200


async def test_removed_replica_discards_its_data_and_joins_again(
    site: sites.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rejoin, "LEADERLESS_S", 0.5)
    # Unexpired hello messages of the founders would let the removed replica
    # join again.
    monkeypatch.setattr(bootstrap, "HELLO_EXPIRY_S", 0.3)
    async with site.open(*HOSTS[:2]):
        async with site.open(HOSTS[2]):
            await site.wait_for_voters(*HOSTS[:3])
            lost = site.running[HOSTS[2]].replica.status().member_id
        await anyio.sleep(0.5)
        leader = await site.leader()
        await leader.replica.read_barrier()
        await leader.replica.change_membership(membership.Remove(lost))
        async with site.open(HOSTS[2], first=False):
            with anyio.fail_after(10):
                await site.running[HOSTS[2]].wait_until_removed()
        folder = daemon.build_replica_settings(
            site.settings(HOSTS[2])
        ).data_folder
        rejoin.discard_replica_data(folder)
        assert not folder.exists()
        async with site.open(HOSTS[2], first=False):
            with anyio.fail_after(10):
                while len((await site.leader()).replica.status().members) < 3:
                    await anyio.sleep(0.05)


async def test_new_leader_knows_the_age_of_announced_weights(
    site: sites.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    def sync_slowly(descriptor: int) -> None:
        time.sleep(SLOW_SYNC_S)
        sync(descriptor)

    sync = os.fsync
    async with site.open(*HOSTS[:3]):
        leader = await site.leader()
        body = json.dumps({"model": "m", "version": 2}).encode()
        path = b"/-/version-put"
        status, _ = await site.ask(leader.settings.host, b"POST", path, body)
        assert status == 200
        announced_s = anyio.current_time()
        monkeypatch.setattr(os, "fsync", sync_slowly)
        await leader.step_down()
        with anyio.fail_after(10):
            while (new_leader := await site.leader()) is leader:
                await anyio.sleep(0.02)
        # A new leader applies the last entries once it commits its first one.
        await new_leader.replica.read_barrier()
        newest = new_leader.feed.announcements.newest("m")
    assert newest is not None
    assert newest.version == 2
    assert abs(newest.announced_s - announced_s) < 1.0
