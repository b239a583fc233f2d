"""Filter that finds the workspace of a caller's key."""

from __future__ import annotations

import typing

from cactusstile import verdict
from cactusstile.filters import chain
from cactusstile.filters import exchange

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.state import holder

MAX_KEY_CHARACTERS = 512


def authenticate(
    fleet: holder.FleetHolder,
    find_workspace: collections.abc.Callable[[str], str | None],
) -> chain.Filter:
    """Returns a filter that sets the exchange's workspace.

    Args:
      fleet: The configuration; a workspace that is not in it is refused.
      find_workspace: Returns the name of the workspace that owns a key.
    """

    async def filter_exchange(
        passing: exchange.Exchange, proceed: chain.Handler
    ) -> None:
        kind, _, key = passing.headers.get("authorization", "").partition(" ")
        key = key.strip()
        if kind.lower() != "bearer" or not key:
            raise _unauthenticated("send 'Authorization: Bearer <key>'")
        if len(key) > MAX_KEY_CHARACTERS or not key.isascii():
            raise _unauthenticated("the key is not known")
        name = find_workspace(key)
        workspace = fleet.fleet.workspaces.get(name) if name else None
        if workspace is None:
            raise _unauthenticated("the key is not known")
        passing.workspace = workspace
        await proceed(passing)

    return filter_exchange


def _unauthenticated(message: str) -> verdict.RefusedError:
    return verdict.refuse(verdict.Reason.UNAUTHENTICATED, message)
