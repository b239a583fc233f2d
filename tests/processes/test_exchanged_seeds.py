"""Registries whose seeds are exchanged while they run."""

from __future__ import annotations

import os
import pathlib
import sys

import anyio
import pytest
from tests.processes import test_crowds
from tests.registry import support
from tests.support import node_site

pytestmark = [pytest.mark.anyio, pytest.mark.processes]
JOIN_S = 12.0


def _write(site: node_site.NodeSite, host: str, seed: str) -> pathlib.Path:
    filled = node_site.values(
        name="r-2",
        host=host,
        port=site.port,
        seeds=f"{seed}:{site.port + 8}",
        platform=str(site.platform),
        folder=site.folder / "r-2",
        first_start=False,
    )
    path = site.folder / "r-2.ini"
    path.write_text(node_site.render("registry", filled))
    return path


# Guards against an empty replica that announces itself to seeds of its start.
async def test_registry_without_a_group_ignores_the_seeds_of_changed_settings(
    tmp_path: pathlib.Path,
) -> None:
    network = support.draw_network()
    async with node_site.open_site(
        tmp_path, network, support.FIRST_PORT
    ) as site:
        await site.start("registry", "r-1", site.registry_host)
        await site.wait_for(
            site.registry_host,
            test_crowds.OPERATOR,
            test_crowds.configuration(7),
            200,
        )
        host = f"{network}.4"
        path = _write(site, host, f"{network}.9")
        with (tmp_path / "r-2.log").open("ab") as log:
            site.processes["r-2"] = await anyio.open_process(
                [sys.executable, "-m", "cactusstile", "registry", str(path)],
                stdout=log,
                stderr=log,
                env={**os.environ},
            )
        await anyio.sleep(2.0)
        _write(site, host, site.registry_host)
        followed = "leadership changed"
        with anyio.move_on_after(JOIN_S):
            while not any(
                followed in line and site.registry_host in line
                for line in site.log("r-2")
            ):
                await anyio.sleep(0.1)
        log_lines = site.log("r-2")
        assert any("settings changed" in line for line in log_lines)
        assert any(
            followed in line and site.registry_host in line
            for line in log_lines
        ), log_lines[-5:]
