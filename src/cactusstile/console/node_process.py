"""Start of a process on a platform's node."""

from __future__ import annotations

import logging
import pathlib
import typing

import anyio

from cactusstile.consensus import exceptions as consensus_exceptions
from cactusstile.console import exceptions
from cactusstile.observability import rate_limited_logs
from cactusstile.platform import places
from cactusstile.settings import node

if typing.TYPE_CHECKING:
    import collections.abc

    Main = collections.abc.Callable[
        [node.NodeSettings, pathlib.Path], collections.abc.Awaitable[None]
    ]


logger = logging.getLogger(__name__)


def run(role: str, settings: str, main: Main) -> None:
    """Reads the settings, sets up the log and runs `main`.

    Raises:
      InvalidFileError: The settings have faults.
      CommandError: The durable state cannot be used.
    """
    path = pathlib.Path(settings) if settings else places.settings_path()
    loaded = node.load(path)
    rate_limited_logs.configure(role, loaded.name)
    try:
        anyio.run(main, loaded, path)
    except* consensus_exceptions.StorageError as group:
        logger.critical(
            "stopped: the durable state cannot be used; repair the disk, or"
            " empty the data folder to have the VM join anew",
            extra={"error": str(group.exceptions[0])},
        )
        raise exceptions.CommandError(
            "stopped: the durable state cannot be used"
        ) from group
