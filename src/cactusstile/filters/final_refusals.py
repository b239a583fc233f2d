"""Filter that confirms refusals which callers take for final."""

from __future__ import annotations

import collections.abc
import typing

from cactusstile import verdict
from cactusstile.filters import chain
from cactusstile.filters import exchange
from cactusstile.filters import request_options

if typing.TYPE_CHECKING:
    from cactusstile.state import holder

ReadRevision: typing.TypeAlias = collections.abc.Callable[
    [], collections.abc.Awaitable[int | None]
]

# A configuration that this process lacks may allow the request.
REASONS = (
    verdict.Reason.UNAUTHENTICATED,
    verdict.Reason.UNKNOWN_MODEL,
    verdict.Reason.UNKNOWN_ROUTE,
)


def confirm_refusals(
    fleet: holder.FleetHolder, read_revision: ReadRevision | None
) -> chain.Filter:
    """Returns a filter that refuses finally by the newest configuration only.

    Args:
      fleet: The configuration in force in this process.
      read_revision: Returns the newest revision at some time after the call;
        None if it cannot be known. There is none if `fleet` is the newest.
    """

    async def filter_exchange(
        context: exchange.Exchange, call_next: chain.Handler
    ) -> None:
        known = fleet.fleet.revision
        try:
            await call_next(context)
        except verdict.RefusedError as error:
            refusal = error.refusal
            if read_revision is None or refusal.reason not in REASONS:
                raise
            if refusal.verdict is not verdict.Verdict.NOT_RUN:
                raise
            newest = await read_revision()
            if newest is not None and newest <= known:
                raise
            raise request_options.unconfirmed(
                context, "this entry lacks the newest configuration; retry"
            ) from error

    return filter_exchange
