"""Command `entry`: runs an entry process."""

from __future__ import annotations

import collections.abc
import contextlib
import errno
import functools
import pathlib
import typing

from cactusstile import event_loops
from cactusstile.console import exceptions
from cactusstile.console import first_settings
from cactusstile.console import signals
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


def run(settings: str) -> None:
    """Runs an entry process until a signal stops it.

    Args:
      settings: Path of the settings file.

    Raises:
      InvalidFileError: If the settings file is invalid.
      CommandError: If an address cannot be bound, or requests were aborted.
    """
    loaded = first_settings.load(
        pathlib.Path(settings),
        entry_settings.load,
        functools.partial(logs.configure, "entry", ""),
    )
    logs.configure("entry", loaded.process.name, loaded.log_level)
    try:
        event_loops.run(serve, loaded, wiring.open_parts)
    except* http_listener.CannotListenError as errors:
        raise _to_command_error(next(_flatten(errors))) from None


def _to_command_error(cause: BaseException) -> exceptions.CommandError:
    if getattr(cause, "errno", None) == errno.EADDRINUSE:
        advice = "stop the process that uses it or set another address"
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
      CommandError: If a second signal aborted requests in flight.
    """
    with signals.receive_from_start() as received:
        async with contextlib.AsyncExitStack() as stack:
            parts = await stack.enter_async_context(open_parts(settings))
            running = await stack.enter_async_context(
                daemon.open_entry(settings, parts)
            )
            if not await signals.drain_at_signal(received, running.drain):
                raise exceptions.CommandError(
                    "a second signal aborted requests in flight"
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
