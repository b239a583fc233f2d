"""Command `control`: runs a control process."""

from __future__ import annotations

import logging
import pathlib
import signal

import anyio

from cactusstile.consensus import exceptions as consensus_exceptions
from cactusstile.console import exceptions
from cactusstile.control import daemon
from cactusstile.control import settings as control_settings


def run(settings: str) -> None:
    """Runs a control process until it is told to stop.

    Args:
      settings: Path of the settings file.
    """
    loaded = control_settings.load(pathlib.Path(settings))
    logging.basicConfig(level=logging.INFO)
    try:
        anyio.run(_serve, loaded)
    except* consensus_exceptions.StorageError as group:
        raise exceptions.CommandError(
            f"stopped, durable state is unusable: {group.exceptions[0]}; "
            "repair the disk, or replace this replica by `cactusstile member "
            "repair`"
        ) from group


async def _serve(settings: control_settings.ControlSettings) -> None:
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_wait_for_signal, stop)
        await daemon.run_control(settings, stop)
        group.cancel_scope.cancel()


async def _wait_for_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            stop.set()
            return
