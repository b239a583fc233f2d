"""Filter that limits the requests in flight."""

from __future__ import annotations

import attrs

from cactusstile import verdict
from cactusstile.filters import chain
from cactusstile.filters import exchange

RETRY_AFTER_S = 1.0


@attrs.define
class InFlight:
    """Numbers of requests in flight in this process.

    Attributes:
      max_total: Maximum over all workspaces.
      total: Number of requests in flight.
      by_workspace: Number of requests in flight by workspace; workspaces
        without requests are left out.
    """

    max_total: int
    total: int = 0
    by_workspace: dict[str, int] = attrs.field(factory=dict)


def limit_in_flight(state: InFlight) -> chain.Filter:
    """Returns a filter that refuses excess requests without queueing them."""

    async def filter_exchange(
        context: exchange.Exchange, call_next: chain.Handler
    ) -> None:
        workspace = context.workspace
        running = state.by_workspace.get(workspace.name, 0)
        if running >= workspace.max_running:
            raise _overloaded(
                f"workspace {workspace.name} has {running} requests in flight "
                "at this entry, its bound"
            )
        if state.total >= state.max_total:
            raise _overloaded("this entry has too many requests in flight")
        state.total += 1
        state.by_workspace[workspace.name] = running + 1
        try:
            await call_next(context)
        finally:
            state.total -= 1
            remaining = state.by_workspace[workspace.name] - 1
            state.by_workspace[workspace.name] = remaining
            if not remaining:
                del state.by_workspace[workspace.name]

    return filter_exchange


def _overloaded(message: str) -> verdict.RefusedError:
    return verdict.refuse(
        verdict.Reason.OVERLOADED, message, retry_after_s=RETRY_AFTER_S
    )
