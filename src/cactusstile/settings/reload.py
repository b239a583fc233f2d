"""Reloads the settings of a running process."""

from __future__ import annotations

import logging
import pathlib
import signal
import typing

import anyio

from cactusstile.console import signals
from cactusstile.settings import ini
from cactusstile.settings import node

if typing.TYPE_CHECKING:
    import collections.abc

logger = logging.getLogger(__name__)

# The file may change without a SIGHUP, so it is also polled.
POLL_INTERVAL_S = 1.0


async def watch(
    path: pathlib.Path,
    current: node.NodeSettings,
    apply: collections.abc.Callable[[node.NodeSettings], None],
) -> None:
    """Reloads the settings when the file changes, or after SIGHUP.

    Calls `apply` after each change. An invalid file, such as one that is only
    partly written, leaves the settings as they are.
    """
    last_error = ""
    with signals.receive(signal.SIGHUP) as received:
        while True:
            # The first time, for a change since the start read the file.
            try:
                loaded = node.load(path)
                last_error = ""
            except ini.InvalidFileError as error:
                loaded = current
                if str(error) != last_error:
                    logger.warning(
                        "cannot load the settings; keeping the current ones",
                        extra={"error": str(error)},
                    )
                last_error = str(error)
            if loaded != current:
                logger.info(
                    "settings changed",
                    extra={"seeds": [str(seed) for seed in loaded.seeds]},
                )
                current = loaded
                apply(loaded)
            with anyio.move_on_after(POLL_INTERVAL_S):
                await anext(received)
                logger.info("SIGHUP received; reloading the settings")
