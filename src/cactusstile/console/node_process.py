"""Startup of the processes that run on a platform's nodes."""

from __future__ import annotations

import functools
import logging
import os
import pathlib
import typing

from cactusstile import event_loops
from cactusstile.consensus import exceptions as consensus_exceptions
from cactusstile.console import exceptions
from cactusstile.console import first_settings
from cactusstile.observability import rate_limited_logs
from cactusstile.platform import paths
from cactusstile.settings import node

if typing.TYPE_CHECKING:
    import collections.abc

    Main = collections.abc.Callable[
        [node.NodeSettings, pathlib.Path], collections.abc.Awaitable[None]
    ]


logger = logging.getLogger(__name__)


def run(role: str, settings: str, main: Main) -> None:
    """Reads the settings, configures logging, runs `main` and exits.

    Args:
      role: Role of the process, for its log lines.
      settings: Path of the settings file; empty for the platform's default.
      main: Runs the process until it stops.

    Raises:
      InvalidFileError: If the settings file is invalid.
      CommandError: If the durable state cannot be used.
    """
    path = pathlib.Path(settings) if settings else paths.settings_path()
    configure = functools.partial(rate_limited_logs.configure, role)
    loaded = first_settings.load(
        path, node.load, functools.partial(configure, "")
    )
    configure(loaded.name)

    async def run_and_exit() -> None:
        await main(loaded, path)
        # All is closed. On a busy machine, the clean-up of the event loop (it
        # waits for threads) and of the interpreter can outlast the time left.
        os._exit(exceptions.ExitCode.OK)

    try:
        event_loops.run(run_and_exit)
    except* consensus_exceptions.StorageError as group:
        logger.critical(
            "stopped: the durable state cannot be used; repair the disk, or"
            " empty the data folder so that the VM rejoins",
            extra={"error": str(group.exceptions[0])},
        )
        raise exceptions.CommandError(
            "stopped: the durable state cannot be used"
        ) from group
    except* Exception:
        logger.critical("ended by a fault of the program", exc_info=True)
        raise
