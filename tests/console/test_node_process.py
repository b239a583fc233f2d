from __future__ import annotations

import os
import pathlib
import subprocess
import sys

import pytest
from tests.support import node_site

PROGRAM = """
import atexit, sys, time
from cactusstile.console import node_process

async def main(settings, path):
    pass

atexit.register(time.sleep, 60)
node_process.run("gateway", sys.argv[1], main)
"""
PROGRAM_WITH_THREAD = """
import asyncio, sys, time
from cactusstile.console import node_process

async def main(settings, path):
    asyncio.get_running_loop().run_in_executor(None, time.sleep, 60)

node_process.run("gateway", sys.argv[1], main)
"""
TIMEOUT_S = 20


@pytest.mark.parametrize("program", [PROGRAM, PROGRAM_WITH_THREAD])
def test_clean_up_of_the_interpreter_does_not_delay_a_stop(
    tmp_path: pathlib.Path, program: str
) -> None:
    """Guards against a stopped process that is still there to be killed."""
    filled = node_site.values(
        name="vm",
        host="127.0.0.1",
        port=20_000,
        seeds="127.0.0.1:20008",
        platform="127.0.0.1:20009",
        folder=tmp_path,
    )
    path = tmp_path / "gateway.ini"
    path.write_text(node_site.render("gateway", filled))
    done = subprocess.run(  # noqa: S603
        [sys.executable, "-c", program, str(path)],
        check=False,
        timeout=TIMEOUT_S,
    )
    assert done.returncode == 0


def test_signals_are_held_before_anything_slow_is_imported() -> None:
    """Guards against SIGHUP that ends a process in its first moments."""
    program = (
        "import importlib, runpy, sys\n"
        "before = set(sys.modules)\n"
        "from cactusstile.console import early_signals\n"
        "early_signals.hold()\n"
        "print(*sorted(set(sys.modules) - before))\n"
    )
    done = subprocess.run(  # noqa: S603
        [sys.executable, "-S", "-c", program],
        check=True,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert done.stdout.split() == [
        "__future__",
        "cactusstile",
        "cactusstile.console",
        "cactusstile.console.early_signals",
    ]
