"""Handling of the signals that stop a process."""

from __future__ import annotations

import logging
import signal
import typing

import anyio

if typing.TYPE_CHECKING:
    import collections.abc
    import contextlib

    Signals = collections.abc.AsyncIterator[signal.Signals]
    Drain = collections.abc.Callable[[], collections.abc.Awaitable[object]]

logger = logging.getLogger(__name__)


def receive() -> contextlib.AbstractContextManager[Signals]:
    """Returns a context in which SIGTERM and SIGINT are received."""
    return anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT)


async def wait_for_stop() -> None:
    """Returns at the first SIGTERM or SIGINT."""
    with receive() as received:
        await anext(received)


async def drain_at_signal(received: Signals, drain: Drain) -> bool:
    """Drains after the first signal; a second signal aborts the drain.

    Args:
      received: Signals received by the process; see `receive`.
      drain: Waits until no request is in flight.

    Returns:
      Whether the drain completed; False if a second signal aborted it.
    """
    number = await anext(received)
    logger.info("signal %d: draining", number)
    drained = False

    async def abort_at_second_signal(scope: anyio.CancelScope) -> None:
        second = await anext(received)
        logger.warning("signal %d: aborting requests in flight", second)
        scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(abort_at_second_signal, group.cancel_scope)
        await drain()
        drained = True
        group.cancel_scope.cancel()
    return drained
