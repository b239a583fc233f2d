"""Signals that arrive before a process is able to handle them.

Imports only what loads at once: it runs before all other imports.
"""

from __future__ import annotations

import os
import signal
import typing

if typing.TYPE_CHECKING:
    import types

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def hold() -> None:
    """Keeps signals from killing the process while it starts.

    SIGHUP is ignored: settings that are not read yet need no reload. A signal
    to stop ends the process, successfully, since it serves nothing yet.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in STOP_SIGNALS:
        signal.signal(number, end_process)


def end_process(number: int, frame: types.FrameType | None) -> None:
    """Handles a signal to stop by ending the process at once."""
    del number, frame
    os._exit(0)
