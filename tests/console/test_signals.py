"""Signals that wait while a process stands still."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time

import pytest

pytestmark = pytest.mark.processes
PAUSE_S = 1.0
PROCESS = """
import asyncio, os, signal
from cactusstile import event_loops
from cactusstile.console import signals

async def tick():
    while True:
        await asyncio.sleep(0.1)

async def main():
    loop = asyncio.get_running_loop()
    ticking = asyncio.create_task(tick())
    with signals.receive() as received:
        loop.call_later(0.05, lambda: {first})
        await anext(received)
        print(received.late_s())

event_loops.run(main)
"""
FIRST = {
    "between-waits": "os.kill(os.getpid(), signal.SIGSTOP)",
    "within-a-wait": "print('waits', flush=True)",
}


# Guards against a stop that outlasts its time, wherever its process stood.
@pytest.mark.parametrize("place", FIRST)
def test_signal_that_came_in_a_pause_counts_as_new(place: str) -> None:
    process = subprocess.Popen(  # noqa: S603
        [sys.executable, "-c", PROCESS.format(first=FIRST[place])],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    with process:
        if place == "within-a-wait":
            assert process.stdout.readline() == "waits\n"
            time.sleep(0.2)
            process.send_signal(signal.SIGSTOP)
        os.waitpid(process.pid, os.WUNTRACED)
        process.send_signal(signal.SIGTERM)
        time.sleep(PAUSE_S)
        process.send_signal(signal.SIGCONT)
        late_s = float(process.stdout.readline())
    assert late_s > 0.8 * PAUSE_S
