"""The cache scope of all workspaces that are not isolated.

KV cache does not tell whose request made it. Once a workspace that shared it
becomes isolated, the others may not use any of it, so that a new scope begins.
The registries decide this in their log: a gateway may have missed the
configuration in which the workspace was not isolated.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.sites import model

# Names that are remembered; with more of them a new scope begins.
MAX_SHARERS = 100_000


@attrs.frozen
class SharedScope:
    """The scope in force.

    Attributes:
      number: Version of the configuration with which it began; 0 for the first.
      sharers: Sorted names of the workspaces that have shared it.
    """

    number: int = 0
    sharers: tuple[str, ...] = ()

    def after(
        self,
        version: int,
        sharing: collections.abc.Collection[str],
        isolated: collections.abc.Collection[str],
    ) -> SharedScope:
        """Returns the scope under a newer configuration.

        Args:
          version: Version of the configuration.
          sharing: Names of the workspaces that are not isolated in it.
          isolated: Names of those that are.

        >>> scope = SharedScope().after(3, {"a", "b"}, {"c"})
        >>> scope.number
        0
        >>> scope.after(4, {"a"}, {"b", "c"})
        SharedScope(number=4, sharers=('a',))
        """
        sharers = {*self.sharers, *sharing}
        if len(sharers) > MAX_SHARERS or not sharers.isdisjoint(isolated):
            return SharedScope(version, tuple(sorted(sharing)))
        return SharedScope(self.number, tuple(sorted(sharers)))


def find_sharers(
    workspaces: collections.abc.Iterable[model.Workspace], *, isolated: bool
) -> tuple[str, ...]:
    """Returns the names of the workspaces that are isolated, or are not."""
    return tuple(
        workspace.name
        for workspace in workspaces
        if workspace.isolated is isolated
    )
