"""Filters that bound and read the request body."""

from __future__ import annotations

import typing

import anyio
import attrs

from cactusstile import verdict
from cactusstile.filters import chain
from cactusstile.filters import exceptions
from cactusstile.filters import exchange

if typing.TYPE_CHECKING:
    import collections.abc

BODY_TIMEOUT_S = 30.0
RETRY_AFTER_FULL_S = 1.0
STALL_LIMIT_S = 30.0


@attrs.define
class BodyMemory:
    """Bytes of request bodies that one process holds.

    Attributes:
      max_bytes: Bound over all requests.
      held_bytes: Bytes reserved now.
    """

    max_bytes: int
    held_bytes: int = 0


def bound_size(max_body_bytes: int) -> chain.Filter:
    """Returns a filter that refuses a body declared larger than the bound."""

    async def filter_exchange(
        passing: exchange.Exchange, proceed: chain.Handler
    ) -> None:
        declared = passing.headers.get("content-length", "0")
        if declared.isdecimal() and int(declared[:20]) > max_body_bytes:
            raise _too_large(max_body_bytes)
        await proceed(passing)

    return filter_exchange


def read_body(max_body_bytes: int, memory: BodyMemory) -> chain.Filter:
    """Returns a filter that reads the body within the bounds."""

    async def filter_exchange(
        passing: exchange.Exchange, proceed: chain.Handler
    ) -> None:
        reserved = 0
        chunks: list[bytes] = []
        try:
            with anyio.move_on_after(BODY_TIMEOUT_S) as scope:
                async for chunk in _receive_chunks(passing):
                    reserved += len(chunk)
                    memory.held_bytes += len(chunk)
                    if reserved > max_body_bytes:
                        raise _too_large(max_body_bytes)
                    if memory.held_bytes > memory.max_bytes:
                        raise verdict.refuse(
                            verdict.Reason.OVERLOADED,
                            "too many request bodies are being read",
                            retry_after_s=RETRY_AFTER_FULL_S,
                        )
                    chunks.append(chunk)
            if scope.cancelled_caught:
                raise verdict.refuse(
                    verdict.Reason.BAD_REQUEST,
                    f"the body did not arrive within {BODY_TIMEOUT_S:.0f} s",
                )
            passing.body = b"".join(chunks)
            chunks.clear()
            await proceed(passing)
        finally:
            memory.held_bytes -= reserved

    return filter_exchange


async def cancel_when_caller_leaves(
    passing: exchange.Exchange, proceed: chain.Handler
) -> None:
    """Cancels the rest of the chain when the caller leaves.

    A caller that takes nothing of a write for `STALL_LIMIT_S` counts as one
    that left. Must come after the body was read.

    Raises:
      CallerLeftError: If the caller left.
    """
    failure: Exception | None = None
    left = False

    async def watch(scope: anyio.CancelScope) -> None:
        nonlocal left
        await _wait_until_left(passing)
        left = not passing.finished
        scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(watch, group.cancel_scope)
        try:
            await proceed(passing)
        except (verdict.RefusedError, exceptions.CallerLeftError) as error:
            failure = error
        group.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if left:
        raise exceptions.CallerLeftError


async def _wait_until_left(passing: exchange.Exchange) -> None:
    while True:
        with anyio.move_on_after(STALL_LIMIT_S / 2):
            message = await passing.receive()
            if message["type"] == "http.disconnect":
                return
        stalled_s = anyio.current_time() - passing.write_started_s
        if stalled_s > STALL_LIMIT_S:
            return


async def _receive_chunks(
    passing: exchange.Exchange,
) -> collections.abc.AsyncIterator[bytes]:
    more = True
    while more:
        message = await passing.receive()
        if message["type"] == "http.disconnect":
            raise exceptions.CallerLeftError
        more = message.get("more_body", False)
        yield message.get("body", b"")


def _too_large(max_body_bytes: int) -> verdict.RefusedError:
    return verdict.refuse(
        verdict.Reason.TOO_LARGE,
        f"the body is larger than {max_body_bytes} bytes; shorten it",
    )
