"""Handling of the signals that a process receives while it runs."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
import typing

import anyio

from cactusstile.console import early_signals

if typing.TYPE_CHECKING:
    import collections.abc
    import types

    Signals = collections.abc.AsyncIterator[signal.Signals]
    Drain = collections.abc.Callable[[], collections.abc.Awaitable[object]]

logger = logging.getLogger(__name__)

# Signals that wait to be read; further ones tell nothing new.
MAX_UNREAD = 16


@contextlib.contextmanager
def receive(
    *numbers: signal.Signals,
) -> collections.abc.Iterator[Signals]:
    """Returns a context in which signals are received, each of them once.

    On exit the earlier handlers return. A process whose signals were held at
    its start is about to end then, and ignores those that stop it: the event
    loop's own receivers would let them kill it while it closes.

    Args:
      numbers: Signals to receive; by default those that stop a process.
    """
    loop = asyncio.get_running_loop()
    sender, receiver = anyio.create_memory_object_stream[signal.Signals](
        MAX_UNREAD
    )

    def deliver(number: int) -> None:
        with contextlib.suppress(anyio.WouldBlock, anyio.ClosedResourceError):
            sender.send_nowait(signal.Signals(number))

    def handle(number: int, frame: types.FrameType | None) -> None:
        del frame
        loop.call_soon_threadsafe(deliver, number)

    with contextlib.ExitStack() as stack:
        stack.callback(receiver.close)
        stack.callback(sender.close)
        for number in numbers or early_signals.STOP_SIGNALS:
            previous = signal.signal(number, handle)
            if previous is early_signals.end_process:
                previous = signal.SIG_IGN
            stack.callback(signal.signal, number, previous or signal.SIG_DFL)
        yield receiver


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
