"""Signals that ask a process to stop."""

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
    """Waits for a signal and then drains, until a second signal.

    Args:
      received: Signals of the process, see `receive`.
      drain: Returns once nothing is in flight.

    Returns:
      Whether the drain ended; False if a second signal cut it short.
    """
    number = await anext(received)
    logger.info("signal %d: draining", number)
    drained = False

    async def cut_short(scope: anyio.CancelScope) -> None:
        second = await anext(received)
        logger.warning("signal %d: cutting off what is in flight", second)
        scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(cut_short, group.cancel_scope)
        await drain()
        drained = True
        group.cancel_scope.cancel()
    return drained
