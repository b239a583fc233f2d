"""Start of a process on a platform's node."""

from __future__ import annotations

import pathlib
import typing

import anyio

from cactusstile.observability import lines
from cactusstile.platform import places
from cactusstile.settings import node

if typing.TYPE_CHECKING:
    import collections.abc

    Main = collections.abc.Callable[
        [node.NodeSettings, pathlib.Path], collections.abc.Awaitable[None]
    ]


def run(role: str, settings: str, main: Main) -> None:
    """Reads the settings, sets up the log and runs `main`.

    Raises:
      InvalidFileError: The settings have faults.
    """
    path = pathlib.Path(settings) if settings else places.settings_path()
    loaded = node.load(path)
    lines.configure(role, loaded.name)
    anyio.run(main, loaded, path)
