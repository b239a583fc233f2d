"""Command `control`: runs a control process."""

from __future__ import annotations

import functools
import pathlib

from cactusstile import event_loops
from cactusstile.consensus import exceptions as consensus_exceptions
from cactusstile.console import exceptions
from cactusstile.console import first_settings
from cactusstile.console import signals
from cactusstile.control import process
from cactusstile.control import settings as control_settings
from cactusstile.observability import logs


def run(settings: str) -> None:
    """Runs a control process until a signal stops it.

    Args:
      settings: Path of the settings file.
    """
    loaded = first_settings.load(
        pathlib.Path(settings),
        control_settings.load,
        functools.partial(logs.configure, "control", ""),
    )
    logs.configure("control", loaded.process.name)
    try:
        event_loops.run(_serve, loaded)
    except* consensus_exceptions.StorageError as group:
        raise exceptions.CommandError(
            f"stopped, durable state is unusable: {group.exceptions[0]}; "
            "repair the disk, or replace this replica with `cactusstile "
            "member repair`"
        ) from group


async def _serve(settings: control_settings.ControlSettings) -> None:
    with signals.receive_from_start() as received:
        await process.run(settings, received)
