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

if typing.TYPE_CHECKING:
    import collections.abc

BODY_TIMEOUT_S = 30.0
RETRY_AFTER_MEMORY_FULL_S = 1.0
STALL_LIMIT_S = 30.0


@attrs.define
class BodyMemory:
    """Memory that the requests of one process occupy.

    Attributes:
      max_bytes: Maximum over all requests.
      held_bytes: Bytes that are currently reserved.
    """

    max_bytes: int
    held_bytes: int = 0


def hold_head(memory: BodyMemory) -> chain.Filter:
    """Returns a filter that counts the header fields towards `memory`."""

    async def filter_exchange(
        context: exchange.Exchange, call_next: chain.Handler
    ) -> None:
        size = messages.memory_bytes(context.scope["headers"])
        if memory.held_bytes + size > memory.max_bytes:
            raise _memory_full()
        memory.held_bytes += size
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
        reserved = 0
        chunks: list[bytes] = []
        try:
            with anyio.move_on_after(BODY_TIMEOUT_S) as scope:
                async for chunk in _receive_chunks(context):
                    reserved += len(chunk)
                    memory.held_bytes += len(chunk)
                    if reserved > max_body_bytes:
                        raise _too_large(max_body_bytes)
                    if memory.held_bytes > memory.max_bytes:
                        raise _memory_full()
                    chunks.append(chunk)
            if scope.cancelled_caught:
                raise verdict.refuse(
                    verdict.Reason.BAD_REQUEST,
                    f"the body did not arrive within {BODY_TIMEOUT_S:.0f} s",
                )
            context.body = b"".join(chunks)
            chunks.clear()
            await call_next(context)
        finally:
            memory.held_bytes -= reserved

    return filter_exchange


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
