"""Filter that authenticates callers by their API key."""

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
    """Returns a filter that sets the workspace of an exchange.

    Args:
      fleet: The configuration in force; callers of a workspace that is not in
        it are refused.
      find_workspace: Returns the name of the workspace that owns a key.
    """

    async def filter_exchange(
        context: exchange.Exchange, call_next: chain.Handler
    ) -> None:
        scheme, _, key = context.headers.get("authorization", "").partition(" ")
        key = key.strip()
        if scheme.lower() != "bearer" or not key:
            raise _unauthenticated("send 'Authorization: Bearer <key>'")
        if len(key) > MAX_KEY_CHARACTERS or not key.isascii():
            raise _unauthenticated("the key is not known")
        name = find_workspace(key)
        workspace = fleet.fleet.workspaces.get(name) if name else None
        if workspace is None:
            raise _unauthenticated("the key is not known")
        context.workspace = workspace
        await call_next(context)

    return filter_exchange


def _unauthenticated(message: str) -> verdict.RefusedError:
    return verdict.refuse(verdict.Reason.UNAUTHENTICATED, message)
