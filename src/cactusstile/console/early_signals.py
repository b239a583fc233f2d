"""Signals that arrive before a process is able to handle them.

It runs before all other imports, and itself imports only what the interpreter
has loaded: until then, a signal ends the process. The module `signal` and
`typing` are slow to load.
"""

from __future__ import annotations

import os

TYPE_CHECKING = False
if TYPE_CHECKING:
    import signal
    import types
else:
    import _signal as signal

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
