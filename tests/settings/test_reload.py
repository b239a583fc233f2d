from __future__ import annotations

import os
import pathlib
import signal

import anyio
import attrs
import pytest
from tests.registry import support
from tests.support import node_site

from cactusstile.settings import node
from cactusstile.settings import reload

pytestmark = pytest.mark.anyio
HOST = "127.0.0.1"


def write(path: pathlib.Path, seeds: str) -> node.NodeSettings:
    filled = node_site.values(
        name="vm",
        host=HOST,
        port=support.FIRST_PORT,
        seeds=seeds,
        platform=f"{HOST}:1",
        folder=path.parent,
    )
    path.write_text(node_site.render("gateway", filled))
    return node.load(path)


async def test_change_signalled_before_watch_is_applied_at_once(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reload, "POLL_INTERVAL_S", 60.0)
    path = tmp_path / "settings.ini"
    applied: list[node.NodeSettings] = []
    old = write(path, f"{HOST}:1")
    new = write(path, f"{HOST}:2")
    async with anyio.create_task_group() as group:
        group.start_soon(reload.watch, path, old, applied.append)
        with anyio.fail_after(5):
            while not applied:
                await anyio.sleep(0.01)
            newest = write(path, f"{HOST}:3")
            os.kill(os.getpid(), signal.SIGHUP)
            while len(applied) < 2:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert applied == [new, newest]
    assert attrs.evolve(newest, seeds=new.seeds) == new
