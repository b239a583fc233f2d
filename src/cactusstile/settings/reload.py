"""Settings that change while a process runs."""

from __future__ import annotations

import logging
import pathlib
import signal
import typing

import anyio

from cactusstile.settings import ini
from cactusstile.settings import node

if typing.TYPE_CHECKING:
    import collections.abc

logger = logging.getLogger(__name__)

# The file may change without a signal.
LOOK_INTERVAL_S = 1.0


async def watch(
    path: pathlib.Path,
    current: node.NodeSettings,
    take: collections.abc.Callable[[node.NodeSettings], None],
) -> None:
    """Reads the settings again when the file changed, or after SIGHUP.

    A file that cannot be read, or is torn, leaves the settings as they are.
    """
    failed = ""
    with anyio.open_signal_receiver(signal.SIGHUP) as received:
        while True:
            with anyio.move_on_after(LOOK_INTERVAL_S):
                await anext(received)
                logger.info("signal to read the settings again")
            try:
                read = node.load(path)
            except ini.InvalidFileError as error:
                if str(error) != failed:
                    logger.warning(
                        "the settings cannot be read; the former ones hold",
                        extra={"error": str(error)},
                    )
                failed = str(error)
                continue
            failed = ""
            if read == current:
                continue
            logger.info(
                "settings changed",
                extra={"seeds": [str(one) for one in read.seeds]},
            )
            current = read
            take(read)
