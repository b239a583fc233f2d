"""Command that runs an entry process."""

from __future__ import annotations

import collections.abc
import contextlib
import errno
import logging
import pathlib
import signal
import typing

import anyio

from cactusstile.console import exceptions
from cactusstile.entry import daemon
from cactusstile.entry import wiring
from cactusstile.observability import http_listener
from cactusstile.observability import logs
from cactusstile.settings import entry as entry_settings

if typing.TYPE_CHECKING:
    OpenParts = collections.abc.Callable[
        [entry_settings.EntrySettings],
        contextlib.AbstractAsyncContextManager[daemon.Parts],
    ]

logger = logging.getLogger(__name__)


def run(settings: str) -> None:
    """Runs an entry process until a signal stops it.

    Args:
      settings: Path of the settings file.

    Raises:
      InvalidFileError: If the settings have faults.
      CommandError: If an address cannot be bound, or requests were cut off.
    """
    loaded = entry_settings.load(pathlib.Path(settings))
    logs.configure("entry", loaded.process.name, loaded.log_level)
    try:
        anyio.run(serve, loaded, wiring.open_parts)
    except* http_listener.CannotListenError as errors:
        raise _report_address(next(_flatten(errors))) from None


def _report_address(cause: BaseException) -> exceptions.CommandError:
    if getattr(cause, "errno", None) == errno.EADDRINUSE:
        advice = "stop its owner or set another address"
        code = exceptions.ExitCode.ADDRESS_IN_USE
    else:
        advice = "check the address in the settings"
        code = exceptions.ExitCode.FAILED
    text = getattr(cause, "strerror", str(cause))
    return exceptions.CommandError(f"{text}; {advice}", code)


async def serve(
    settings: entry_settings.EntrySettings, open_parts: OpenParts
) -> None:
    """Serves callers until SIGTERM or SIGINT, then drains.

    Raises:
      CommandError: If a second signal cut off requests in flight.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with contextlib.AsyncExitStack() as stack:
            parts = await stack.enter_async_context(open_parts(settings))
            running = await stack.enter_async_context(
                daemon.open_entry(settings, parts)
            )
            await signals.__anext__()
            await _drain_until_signal(running, signals)


async def _drain_until_signal(
    running: daemon.Entry,
    signals: collections.abc.AsyncIterator[signal.Signals],
) -> None:
    cut_off = False

    async def wait_for_second(scope: anyio.CancelScope) -> None:
        nonlocal cut_off
        await signals.__anext__()
        cut_off = True
        logger.warning("second signal; cutting off what is in flight")
        scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(wait_for_second, group.cancel_scope)
        await running.drain()
        group.cancel_scope.cancel()
    if cut_off:
        raise exceptions.CommandError(
            "a second signal cut off requests in flight"
        )


def _flatten(
    group: BaseExceptionGroup[typing.Any],
) -> collections.abc.Iterator[BaseException]:
    """Yields the errors inside a group and its nested groups."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _flatten(error)
            continue
        yield error
