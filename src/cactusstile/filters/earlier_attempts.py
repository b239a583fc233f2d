"""Filter that makes a refusal's verdict hold for all attempts of a request."""

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
    AllocateEpoch = collections.abc.Callable[
        [str, str], collections.abc.Awaitable[int]
    ]

# Above this number refusals become "may have run" without a check.
MAX_CONCURRENT_CHECKS = 64


async def close_no_key(_workspace: str, _request_key: str) -> bool:
    """Returns that no attempt may have run, for entries without control."""
    return False


async def allocate_no_epoch(_workspace: str, _request_key: str) -> int:
    """Returns 0, meaning no epoch, for entries without control."""
    return 0


def check_earlier_attempts(close_key: CloseKey) -> chain.Filter:
    """Returns a filter that checks "not run" against earlier attempts.

    An entry can only rule out that it ran this attempt. An earlier attempt
    with the same caller's key may have run through another entry, or its
    message may still be in transit to a frozen target. The filter therefore
    closes the key to all attempts that arrived before, unless one of them has
    claimed it. This costs a quorum write, but only for refusals of requests
    that are not repeatable and carry a caller's key.

    Args:
      close_key: Closes a workspace's key to all attempts so far. Returns
        whether any of them may have run; True if this cannot be determined.
    """
    running_checks = 0

    async def filter_exchange(
        context: exchange.Exchange, call_next: chain.Handler
    ) -> None:
        nonlocal running_checks
        try:
            await call_next(context)
        except verdict.RefusedError as error:
            if not _needs_check(context, error.refusal):
                raise
            claimed = True
            if running_checks < MAX_CONCURRENT_CHECKS:
                running_checks += 1
                try:
                    claimed = await close_key(
                        context.workspace.name, context.request_key
                    )
                finally:
                    running_checks -= 1
            if not claimed:
                raise
            raise _may_have_run(error.refusal) from error

    return filter_exchange


def _needs_check(context: exchange.Exchange, refusal: verdict.Refusal) -> bool:
    return (
        refusal.verdict is verdict.Verdict.NOT_RUN
        and refusal.reason is not verdict.Reason.BAD_REQUEST
        and context.repeatable is not True
        and context.request_key.startswith(request_options.CALLER_KEY_PREFIX)
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
