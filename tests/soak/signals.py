"""Sends signals to processes."""

from __future__ import annotations

import contextlib
import os
import typing

if typing.TYPE_CHECKING:
    import signal

    import anyio.abc


def send(process: anyio.abc.Process, number: signal.Signals) -> None:
    """Sends a signal to a process if it runs.

    The method of the process itself may reap it, and its exit code is then lost
    for whoever waits for it.
    """
    if process.returncode is not None:
        return
    with contextlib.suppress(ProcessLookupError):
        os.kill(process.pid, number)
