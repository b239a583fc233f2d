"""Counts of requests that an entry has under way."""

from __future__ import annotations

import collections
import collections.abc
import contextlib

import attrs


@attrs.frozen
class RunningRequests:
    """Requests at agents.

    The load bound of a prompt's homes reads the counts of its own workspace,
    so that the queue of one workspace drives no other one away.

    Attributes:
      by_target: Requests by target, only those with any.
      by_workspace: The same by workspace and target.
    """

    by_target: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    by_workspace: dict[str, collections.Counter[str]] = attrs.field(
        factory=dict
    )

    def of_workspace(self, workspace: str) -> collections.abc.Mapping[str, int]:
        """Returns a workspace's requests by target."""
        return self.by_workspace.get(workspace, {})

    @contextlib.contextmanager
    def count(
        self, workspace: str, target: str
    ) -> collections.abc.Iterator[None]:
        """Counts a request while the context is open."""
        own = self.by_workspace.setdefault(workspace, collections.Counter())
        for counts in (self.by_target, own):
            counts[target] += 1
        try:
            yield
        finally:
            for counts in (self.by_target, own):
                counts[target] -= 1
                if not counts[target]:
                    del counts[target]
            if not own:
                self.by_workspace.pop(workspace, None)
