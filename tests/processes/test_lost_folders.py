"""A registry whose data folder goes while its process stands still."""

from __future__ import annotations

import pathlib
import shutil
import signal

import anyio
import pytest
from tests.processes import test_crowds
from tests.registry import support
from tests.support import node_site

pytestmark = [pytest.mark.anyio, pytest.mark.processes]


# Guards against a configuration acknowledged into a folder that is gone.
async def test_configuration_is_acknowledged_though_its_folder_is_gone(
    tmp_path: pathlib.Path,
) -> None:
    network = support.draw_network()
    async with node_site.open_site(
        tmp_path, network, support.FIRST_PORT
    ) as site:
        await site.start("registry", "r-1", site.registry_host)
        host, offset = site.registry_host, test_crowds.OPERATOR
        await site.wait_for(host, offset, test_crowds.configuration(7), 200)
        process = site.processes["r-1"]
        process.send_signal(signal.SIGSTOP)
        await anyio.sleep(0.1)
        shutil.rmtree(tmp_path / "r-1")
        process.send_signal(signal.SIGCONT)
        for version in range(8, 12):
            with anyio.fail_after(node_site.STARTUP_TIMEOUT_S):
                status, _ = await site.ask(
                    host, offset, test_crowds.configuration(version)
                )
            assert status in (503, 504)
            await anyio.sleep(0.3)
        # It waits for what an operator does next.
        assert process.returncode is None, site.log("r-1")[-3:]
