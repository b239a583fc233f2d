"""The first reading of a process's settings file."""

from __future__ import annotations

import logging
import pathlib
import time
import typing

from cactusstile.settings import ini

if typing.TYPE_CHECKING:
    import collections.abc

logger = logging.getLogger(__name__)

# The file may still be written while the process starts.
TIMEOUT_S = 5.0
PAUSE_S = 0.1

Settings = typing.TypeVar("Settings")


def load(
    path: pathlib.Path,
    read: collections.abc.Callable[[pathlib.Path], Settings],
    configure_logs: collections.abc.Callable[[], object],
) -> Settings:
    """Reads the settings; a file that is incomplete gets time to be written.

    Args:
      path: Path of the settings file.
      read: Reads the file; raises InvalidFileError if it is invalid.
      configure_logs: Called before the first log line, if there is one.

    Raises:
      InvalidFileError: The file is still invalid after `TIMEOUT_S`.
    """
    give_up_s = time.monotonic() + TIMEOUT_S
    is_logged = False
    while True:
        try:
            return read(path)
        except ini.InvalidFileError as error:
            if time.monotonic() >= give_up_s:
                raise
            if not is_logged:
                configure_logs()
                logger.warning(
                    "cannot load the settings; reading them again for a while",
                    extra={"error": str(error), "limit_s": TIMEOUT_S},
                )
            is_logged = True
        time.sleep(PAUSE_S)
