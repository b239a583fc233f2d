"""Startup of the processes that run on a platform's nodes."""

from __future__ import annotations

import logging
import os
import pathlib
import time
import typing

import anyio

from cactusstile.consensus import exceptions as consensus_exceptions
from cactusstile.console import exceptions
from cactusstile.observability import rate_limited_logs
from cactusstile.platform import paths
from cactusstile.settings import ini
from cactusstile.settings import node

if typing.TYPE_CHECKING:
    import collections.abc

    Main = collections.abc.Callable[
        [node.NodeSettings, pathlib.Path], collections.abc.Awaitable[None]
    ]


logger = logging.getLogger(__name__)

# The platform may still be writing the settings file.
SETTINGS_TIMEOUT_S = 5.0
SETTINGS_PAUSE_S = 0.1


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
    loaded = load_settings(role, path)
    rate_limited_logs.configure(role, loaded.name)
    try:
        anyio.run(main, loaded, path)
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
    # All is closed. On a busy machine, the clean-up of the interpreter can take
    # longer than what is left until the platform kills the process.
    os._exit(exceptions.ExitCode.OK)


def load_settings(role: str, path: pathlib.Path) -> node.NodeSettings:
    """Reads the settings; a file that is incomplete gets time to be written.

    Args:
      role: Role of the process, for its log lines.
      path: Path of the settings file.

    Raises:
      InvalidFileError: The file is still invalid after `SETTINGS_TIMEOUT_S`.
    """
    give_up_s = time.monotonic() + SETTINGS_TIMEOUT_S
    is_logged = False
    while True:
        try:
            return node.load(path)
        except ini.InvalidFileError as error:
            if time.monotonic() >= give_up_s:
                raise
            if not is_logged:
                rate_limited_logs.configure(role, "")
                logger.warning(
                    "cannot load the settings; reading them again for a while",
                    extra={"error": str(error), "limit_s": SETTINGS_TIMEOUT_S},
                )
            is_logged = True
        time.sleep(SETTINGS_PAUSE_S)
