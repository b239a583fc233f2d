"""Signals that ask a process to stop."""

from __future__ import annotations

import signal

import anyio


async def wait_for_stop() -> None:
    """Returns at the first SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            return
