"""Remembers that a data folder was made at the first start of the system.

A founder may be started again before the group exists. Its settings do not say
any more that it is the first start of the system.
"""

from __future__ import annotations

import contextlib
import typing

from cactusstile.consensus import exceptions
from cactusstile.consensus.storage import files

if typing.TYPE_CHECKING:
    import pathlib

MARKER = "first-start"
# Name of the group, and of the folder of its replica.
GROUP = "site"


def remember(folder: pathlib.Path) -> None:
    """Marks a folder as made at the first start, durably.

    Raises:
      StorageUnavailableError: The disk refuses the mark.
    """
    try:
        folder.mkdir(parents=True, exist_ok=True)
        with contextlib.closing(files.LocalFiles(folder)) as local:
            if MARKER not in local.names():
                files.replace_atomically(local, MARKER, [])
    except OSError as error:
        raise exceptions.StorageUnavailableError(
            f"the data folder could not be made ({error}); check its disk and"
            " permissions"
        ) from error


def is_remembered(folder: pathlib.Path) -> bool:
    """Returns whether a folder was made at the first start."""
    return (folder / MARKER).exists()
