"""What a gateway knows that follows a registry within the test process."""

from __future__ import annotations

import contextlib
import pathlib
import typing

import anyio
import pytest
from tests.registry import sites

from cactusstile.gateway import control_watch
from cactusstile.gateway import site_view
from cactusstile.platform import configurations
from cactusstile.sites import documents
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.transport import handshake
from cactusstile.transport import pool as pools

if typing.TYPE_CHECKING:
    import collections.abc

pytestmark = pytest.mark.anyio


@contextlib.asynccontextmanager
async def follow(
    site: sites.Site,
) -> collections.abc.AsyncIterator[site_view.SiteView]:
    """Lets a gateway's view follow the registries of a site."""
    settings = site.settings(sites.HOSTS[0])
    view = site_view.SiteView()
    view.view_age.limit_s, view.view_age.cut_off_s = 1.9, 3.0
    async with (
        pools.open_pool(
            handshake.Identity("gateway", "g"),
            handshake.Secrets(settings.secret.encode()),
        ) as pool,
        anyio.create_task_group() as group,
    ):
        watch = control_watch.ControlWatch(
            pool,
            view,
            settings.internal_seeds,
            messages.GatewayMember("127.0.0.1:1", "d", 100.0),
        )
        group.start_soon(watch.run)
        yield view
        group.cancel_scope.cancel()


async def wait_for(view: site_view.SiteView, version: int) -> None:
    with anyio.fail_after(5):
        while view.version != version or not view.view_age.is_current():
            await anyio.sleep(0.02)


async def test_configuration_that_could_not_be_applied_is_missing_for_good(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    site = sites.Site(tmp_path)
    async with site.open(*sites.HOSTS[:3]):
        await site.leader()
        assert await site.replace(1) == 200
        async with follow(site) as view:
            await wait_for(view, 1)
            seen: list[bool] = []

            def decode_once_in_vain(document: bytes) -> model.SiteConfiguration:
                monkeypatch.undo()
                raise MemoryError

            assert await site.replace(2) == 200
            await wait_for(view, 2)
            content = configurations.decode
            assert await _replace_failing(
                site, monkeypatch, decode_once_in_vain
            )
            with anyio.fail_after(5):
                while view.version != 3:
                    seen.append(view.view_age.is_superseded)
                    await anyio.sleep(0.02)
            assert configurations.decode is content
            assert any(seen)
            await wait_for(view, 3)


async def _replace_failing(
    site: sites.Site,
    monkeypatch: pytest.MonkeyPatch,
    fail: collections.abc.Callable[[bytes], model.SiteConfiguration],
) -> bool:
    """Puts version 3 in force; the gateway's first decoding of it fails."""
    original = documents.decompress

    def decompress(data: bytes) -> bytes:
        document = original(data)
        monkeypatch.setattr(configurations, "decode", fail)
        return document

    monkeypatch.setattr(documents, "decompress", decompress)
    return await site.replace(3) == 200


async def test_old_view_stays_unconfirmed_although_control_answers(
    tmp_path: pathlib.Path,
) -> None:
    site = sites.Site(tmp_path)
    async with site.open(*sites.HOSTS[:3]):
        await site.leader()
        assert await site.replace(1) == 200
        async with follow(site) as view:
            await wait_for(view, 1)
            view.view_age.confirmed_s -= 2.0
            assert not view.view_age.is_current()
            assert await view.view_age.wait_until_current(1.0)
