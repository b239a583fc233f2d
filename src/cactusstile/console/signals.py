"""Handling of the signals that a process receives while it runs."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import signal
import typing

import anyio
import attrs

from cactusstile import clocks
from cactusstile import event_loops
from cactusstile.console import early_signals

if typing.TYPE_CHECKING:
    import collections.abc
    import types

    Signals = collections.abc.AsyncIterator[signal.Signals]
    Drain = collections.abc.Callable[[], collections.abc.Awaitable[object]]

logger = logging.getLogger(__name__)

# Signals that wait to be read; further ones tell nothing new.
MAX_UNREAD = 16


@attrs.define
class Received:
    """Signals that a process received.

    Attributes:
      stream: Stream of the signals.
      is_awaited: Whether the first signal was or is awaited.
      first_s: Earliest boot time at which the first one may have been sent.
    """

    stream: Signals
    is_awaited: bool = False
    first_s: float = math.inf

    def record(self, stood_still_s: float) -> None:
        """Records a signal; it may have waited for `stood_still_s`."""
        self.first_s = min(self.first_s, clocks.boot_s() - stood_still_s)

    def late_s(self) -> float:
        """Returns how long ago the first signal may have been sent.

        It can have waited while the process stood still.
        """
        return max(0.0, clocks.boot_s() - self.first_s)

    def __aiter__(self) -> Received:
        """Returns the iterator itself."""
        return self

    async def __anext__(self) -> signal.Signals:
        """Returns the next signal."""
        self.is_awaited = True
        return await anext(self.stream)


@contextlib.contextmanager
def receive(
    *numbers: signal.Signals,
    on_early: collections.abc.Callable[[], None] = lambda: None,
) -> collections.abc.Iterator[Received]:
    """Returns a context in which signals are received.

    On exit the earlier handlers return. A process whose signals were held at
    its start is about to end then, and ignores those that stop it: the event
    loop's own receivers would let them kill it while it closes.

    Args:
      numbers: Signals to receive; by default those that stop a process.
      on_early: Called for a signal that comes before the first is awaited.
    """
    loop = asyncio.get_running_loop()
    sender, receiver = anyio.create_memory_object_stream[signal.Signals](
        MAX_UNREAD
    )
    received = Received(receiver)

    def deliver(number: int) -> None:
        if not received.is_awaited:
            on_early()
        with contextlib.suppress(anyio.WouldBlock, anyio.ClosedResourceError):
            sender.send_nowait(signal.Signals(number))

    def handle(number: int, frame: types.FrameType | None) -> None:
        del frame
        received.record(event_loops.stood_still_s(loop))
        loop.call_soon_threadsafe(deliver, number)

    with contextlib.ExitStack() as stack:
        stack.callback(receiver.close)
        stack.callback(sender.close)
        for number in numbers or early_signals.STOP_SIGNALS:
            previous = signal.signal(number, handle)
            if previous is early_signals.end_process:
                previous = signal.SIG_IGN
            stack.callback(signal.signal, number, previous or signal.SIG_DFL)
        yield received


@contextlib.contextmanager
def receive_from_start() -> collections.abc.Iterator[Received]:
    """Receives the signals that stop a process; see `receive`.

    One that comes before the first is awaited cancels the context: what starts
    there may have to wait for long.
    """
    with (
        anyio.CancelScope() as scope,
        receive(on_early=scope.cancel) as received,
    ):
        yield received


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
