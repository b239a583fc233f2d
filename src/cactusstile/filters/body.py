"""Filters that hold requests within bounds on size and memory."""

from __future__ import annotations

import typing

import anyio
import attrs

from cactusstile import verdict
from cactusstile.filters import chain
from cactusstile.filters import exceptions
from cactusstile.filters import exchange
from cactusstile.http import messages
from cactusstile.limits import connections

if typing.TYPE_CHECKING:
    import collections.abc

BODY_TIMEOUT_S = 30.0
RETRY_AFTER_MEMORY_FULL_S = 1.0
STALL_LIMIT_S = 30.0


@attrs.define(eq=False)
class Reading:
    """A body that is being read.

    Attributes:
      scope: Cancelled to have it give way to others.
      begun_s: Event loop time at which it began.
      held_bytes: Bytes that it has reserved.
      gave_way: Whether it was told to give way.
    """

    scope: anyio.CancelScope
    begun_s: float = attrs.field(factory=anyio.current_time)
    held_bytes: int = 0
    gave_way: bool = False

    def weight(self) -> float:
        """Returns how much it has held for how long; 0 if it must stay."""
        age_s = anyio.current_time() - self.begun_s
        is_usual = age_s < connections.MIN_WAIT_S
        return 0.0 if self.gave_way or is_usual else self.held_bytes * age_s


@attrs.define
class BodyMemory:
    """Memory that the requests of one process occupy.

    Attributes:
      max_bytes: Maximum over all requests.
      held_bytes: Bytes that are currently reserved.
      readings: Bodies that are being read.
    """

    max_bytes: int
    held_bytes: int = 0
    readings: set[Reading] = attrs.field(factory=set)

    def take(self, size: int) -> bool:
        """Reserves bytes; the slowest body gives way if there are too few."""
        if self.held_bytes + size <= self.max_bytes:
            self.held_bytes += size
            return True
        slowest = max(self.readings, key=Reading.weight, default=None)
        if slowest is not None and slowest.weight():
            slowest.gave_way = True
            slowest.scope.cancel()
        return False


def hold_head(memory: BodyMemory) -> chain.Filter:
    """Returns a filter that counts the header fields towards `memory`."""

    async def filter_exchange(
        context: exchange.Exchange, call_next: chain.Handler
    ) -> None:
        size = messages.memory_bytes(context.scope["headers"])
        if not memory.take(size):
            raise _memory_full()
        try:
            await call_next(context)
        finally:
            memory.held_bytes -= size

    return filter_exchange


def check_declared_size(max_body_bytes: int) -> chain.Filter:
    """Returns a filter that refuses a body whose declared size is too large."""

    async def filter_exchange(
        context: exchange.Exchange, call_next: chain.Handler
    ) -> None:
        declared = context.headers.get("content-length", "0")
        if declared.isdecimal() and int(declared[:20]) > max_body_bytes:
            raise _too_large(max_body_bytes)
        await call_next(context)

    return filter_exchange


def read_body(max_body_bytes: int, memory: BodyMemory) -> chain.Filter:
    """Returns a filter that reads the body within the size and memory bounds.

    The body counts towards `memory` until the rest of the chain has finished.
    """

    async def filter_exchange(
        context: exchange.Exchange, call_next: chain.Handler
    ) -> None:
        reading = Reading(anyio.CancelScope())
        memory.readings.add(reading)
        try:
            try:
                context.body = await _read(
                    context, max_body_bytes, memory, reading
                )
            finally:
                memory.readings.discard(reading)
            await call_next(context)
        finally:
            memory.held_bytes -= reading.held_bytes

    return filter_exchange


async def _read(
    context: exchange.Exchange,
    max_body_bytes: int,
    memory: BodyMemory,
    reading: Reading,
) -> bytes:
    """Returns the body of a request.

    Raises:
      RefusedError: It is too large, too slow, or there is no memory for it.
    """
    body = bytearray()
    reading.scope.deadline = reading.begun_s + BODY_TIMEOUT_S
    with reading.scope:
        async for chunk in _receive_chunks(context):
            if len(body) + len(chunk) > max_body_bytes:
                raise _too_large(max_body_bytes)
            if not memory.take(len(chunk)):
                raise _memory_full()
            reading.held_bytes += len(chunk)
            body += chunk
    if reading.gave_way:
        raise _memory_full()
    if reading.scope.cancelled_caught:
        raise verdict.refuse(
            verdict.Reason.BAD_REQUEST,
            f"the body did not arrive within {BODY_TIMEOUT_S:.0f} s",
        )
    return bytes(body)


async def cancel_when_caller_leaves(
    context: exchange.Exchange, call_next: chain.Handler
) -> None:
    """Cancels the rest of the chain when the caller disconnects.

    A caller that blocks a write for longer than `STALL_LIMIT_S` is treated as
    disconnected. This filter must come after the one that reads the body.

    Raises:
      CallerLeftError: If the caller disconnected.
    """
    failure: Exception | None = None
    has_left = False

    async def watch(scope: anyio.CancelScope) -> None:
        nonlocal has_left
        await _wait_until_caller_left(context)
        has_left = not context.finished
        scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(watch, group.cancel_scope)
        try:
            await call_next(context)
        except (verdict.RefusedError, exceptions.CallerLeftError) as error:
            failure = error
        group.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if has_left:
        raise exceptions.CallerLeftError


async def _wait_until_caller_left(context: exchange.Exchange) -> None:
    while True:
        with anyio.move_on_after(STALL_LIMIT_S / 2):
            message = await context.receive()
            if message["type"] == "http.disconnect":
                return
        stalled_s = anyio.current_time() - context.write_started_s
        if stalled_s > STALL_LIMIT_S:
            return


async def _receive_chunks(
    context: exchange.Exchange,
) -> collections.abc.AsyncIterator[bytes]:
    more = True
    while more:
        message = await context.receive()
        if message["type"] == "http.disconnect":
            raise exceptions.CallerLeftError
        more = message.get("more_body", False)
        yield message.get("body", b"")


def _memory_full() -> verdict.RefusedError:
    return verdict.refuse(
        verdict.Reason.OVERLOADED,
        "requests fill the memory",
        retry_after_s=RETRY_AFTER_MEMORY_FULL_S,
    )


def _too_large(max_body_bytes: int) -> verdict.RefusedError:
    return verdict.refuse(
        verdict.Reason.TOO_LARGE,
        f"the body is larger than {max_body_bytes} bytes; shorten it",
    )
