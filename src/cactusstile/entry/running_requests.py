"""Counts of the requests that an entry has sent to agents."""

from __future__ import annotations

import collections
import collections.abc
import contextlib

import attrs


@attrs.frozen
class RunningRequests:
    """Counts of running requests at agents.

    The load bound on the home targets of a prompt uses the counts of its own
    workspace only, so that the queue of one workspace does not displace the
    prompts of another workspace from their home targets.

    Attributes:
      by_target: Number of requests by target; targets without requests are
        left out.
      by_workspace: Number of requests by workspace and target.
    """

    by_target: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    by_workspace: dict[str, collections.Counter[str]] = attrs.field(
        factory=dict
    )

    def for_workspace(
        self, workspace: str
    ) -> collections.abc.Mapping[str, int]:
        """Returns the number of requests of a workspace by target."""
        return self.by_workspace.get(workspace, {})

    @contextlib.contextmanager
    def count(
        self, workspace: str, target: str
    ) -> collections.abc.Iterator[None]:
        """Counts a request while the context is open."""
        workspace_counts = self.by_workspace.setdefault(
            workspace, collections.Counter()
        )
        for counts in (self.by_target, workspace_counts):
            counts[target] += 1
        try:
            yield
        finally:
            for counts in (self.by_target, workspace_counts):
                counts[target] -= 1
                if not counts[target]:
                    del counts[target]
            if not workspace_counts:
                self.by_workspace.pop(workspace, None)
