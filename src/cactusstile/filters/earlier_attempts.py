"""Filter that makes a refusal speak for all attempts of a request."""

from __future__ import annotations

import typing

import attrs

from cactusstile import verdict
from cactusstile.filters import chain
from cactusstile.filters import exchange
from cactusstile.filters import request_options

if typing.TYPE_CHECKING:
    import collections.abc

    CloseKey = collections.abc.Callable[
        [str, str], collections.abc.Awaitable[bool]
    ]
    DrawEpoch = collections.abc.Callable[
        [str, str], collections.abc.Awaitable[int]
    ]

MAX_QUESTIONS = 64


async def close_nothing(_workspace: str, _request_key: str) -> bool:
    """Returns that no attempt has run, for entries without control."""
    return False


async def draw_nothing(_workspace: str, _request_key: str) -> int:
    """Returns no epoch, for entries without control."""
    return 0


def cover_earlier_attempts(close_key: CloseKey) -> chain.Filter:
    """Returns a filter that checks "not run" against earlier attempts.

    An entry knows that it did not run this attempt. An earlier attempt with
    the same caller's key may have run through another entry, or may still be
    on its way to a target that is frozen. So the key is closed to all attempts
    that arrived before, unless one of them has claimed it. This costs a quorum
    write, only for refusals of requests that are not repeatable and carry a
    caller's key.

    Args:
      close_key: Closes a workspace's key to the attempts until now; returns
        whether any of them may have run, True when it cannot tell.
    """
    open_questions = 0

    async def filter_exchange(
        passing: exchange.Exchange, proceed: chain.Handler
    ) -> None:
        nonlocal open_questions
        try:
            await proceed(passing)
        except verdict.RefusedError as error:
            if not _needs_check(passing, error.refusal):
                raise
            claimed = True
            if open_questions < MAX_QUESTIONS:
                open_questions += 1
                try:
                    claimed = await close_key(
                        passing.workspace.name, passing.request_key
                    )
                finally:
                    open_questions -= 1
            if not claimed:
                raise
            raise _may_have_run(error.refusal) from error

    return filter_exchange


def _needs_check(passing: exchange.Exchange, refusal: verdict.Refusal) -> bool:
    return (
        refusal.verdict is verdict.Verdict.NOT_RUN
        and refusal.reason is not verdict.Reason.BAD_REQUEST
        and passing.repeatable is not True
        and passing.request_key.startswith(request_options.CALLER_KEY_PREFIX)
    )


def _may_have_run(refusal: verdict.Refusal) -> verdict.RefusedError:
    message = (
        f"{refusal.message}; this attempt was not run, an earlier one with "
        "the same key may have run"
    )
    return verdict.RefusedError(
        attrs.evolve(
            refusal, verdict=verdict.Verdict.MAY_HAVE_RUN, message=message
        )
    )
