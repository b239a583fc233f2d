"""Command that runs an entry process."""

from __future__ import annotations

import collections.abc
import contextlib
import logging
import pathlib
import signal
import sys
import typing

import anyio

from cactusstile.entry import daemon
from cactusstile.observability import http_listener
from cactusstile.observability import logs
from cactusstile.settings import entry as entry_settings
from cactusstile.settings import ini

if typing.TYPE_CHECKING:
    OpenParts = collections.abc.Callable[
        [entry_settings.EntrySettings],
        contextlib.AbstractAsyncContextManager[daemon.Parts],
    ]

logger = logging.getLogger(__name__)

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3
EXIT_CUT_OFF = 4


def run(settings_file: str, open_parts: OpenParts) -> int:
    """Runs an entry until a signal stops it and returns the exit code.

    Args:
      settings_file: Path of the entry's INI file.
      open_parts: Opens what the entry is given, such as its configuration.
    """
    try:
        settings = entry_settings.load(pathlib.Path(settings_file))
    except ini.InvalidFileError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logs.configure("entry", settings.process.name, settings.log_level)
    try:
        return anyio.run(serve, settings, open_parts)
    except* http_listener.CannotListenError as errors:
        for cause in flatten(errors):
            print(f"error: {cause}", file=sys.stderr)
    return EXIT_CANNOT_LISTEN


async def serve(
    settings: entry_settings.EntrySettings, open_parts: OpenParts
) -> int:
    """Serves callers until SIGTERM or SIGINT, then drains.

    A second signal cuts off what is still in flight.

    Returns:
      The exit code: 0 if all requests finished.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with contextlib.AsyncExitStack() as stack:
            parts = await stack.enter_async_context(open_parts(settings))
            running = await stack.enter_async_context(
                daemon.open_entry(settings, parts)
            )
            await signals.__anext__()
            return await _drain_until_signal(running, signals)


async def _drain_until_signal(
    running: daemon.Entry,
    signals: collections.abc.AsyncIterator[signal.Signals],
) -> int:
    code = EXIT_CUT_OFF

    async def wait_for_second(scope: anyio.CancelScope) -> None:
        await signals.__anext__()
        logger.warning("second signal; cutting off what is in flight")
        scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(wait_for_second, group.cancel_scope)
        await running.drain()
        code = 0
        group.cancel_scope.cancel()
    return code


def flatten(
    group: BaseExceptionGroup[typing.Any],
) -> collections.abc.Iterator[BaseException]:
    """Yields the errors inside a group and its nested groups."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from flatten(error)
            continue
        yield error
