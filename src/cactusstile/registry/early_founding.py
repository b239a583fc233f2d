"""Marks the data folder of a founder before the slow imports of its process.

A founder that ends before it is marked does not know, at its next start, that
it may found the group, and nobody else does: the system never starts. Reading
the settings takes a fraction of the time of all imports.
"""

from __future__ import annotations

import contextlib

from cactusstile.consensus import exceptions
from cactusstile.platform import paths
from cactusstile.registry import founding
from cactusstile.settings import ini
from cactusstile.settings import node


def remember() -> None:
    """Marks the folder at the first start of the system.

    Settings that are incomplete and a disk that refuses the mark are left to
    the start proper, which waits for them and reports them.
    """
    with contextlib.suppress(
        ini.InvalidFileError, exceptions.StorageUnavailableError
    ):
        settings = node.load(paths.settings_path())
        if settings.first_start and settings.data_folder is not None:
            founding.remember(settings.data_folder / founding.GROUP)
