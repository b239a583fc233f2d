"""Recent use by workspace, to detect one that storms."""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    import collections.abc

HALF_LIFE_S = 10.0
STORM_FACTOR = 6.0
_NEGLIGIBLE_USE = 1.0
_MIN_SHARE = 1e-6


class RecentUse:
    """Exponentially decaying work per workspace, divided by its share.

    Instead of decaying all entries on each call, `record` scales new work up as
    time passes, so that its cost is independent of the number of workspaces.
    Once per half-life all entries are scaled down together.
    """

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        """Starts empty; `clock` returns monotonic time in seconds."""
        self._clock = clock
        self._used: dict[str, float] = {}
        self._total = 0.0
        self._rescaled_s = clock()

    def record(self, workspace: str, work: float, share: float = 1.0) -> None:
        """Records requested work.

        Args:
          workspace: Workspace that requests the work.
          work: Amount of work, in any unit that is used for all workspaces.
          share: Weight of the workspace.
        """
        scale = self._rescale()
        added = work / max(share, _MIN_SHARE) * scale
        self._used[workspace] = self._used.get(workspace, 0.0) + added
        self._total += added

    def is_storming(self, workspace: str, factor: float = STORM_FACTOR) -> bool:
        """Returns whether a workspace requests far more than the others.

        True if its use exceeds `factor` times the mean use of the other active
        workspaces; always False if no other workspace is active.
        """
        self._rescale()
        used = self._used.get(workspace, 0.0)
        count = len(self._used) - (workspace in self._used)
        if not count:
            return False
        return used * count > factor * (self._total - used)

    def _rescale(self) -> float:
        """Returns the weight of a unit of new work; rescales if due."""
        half_lives = (self._clock() - self._rescaled_s) / HALF_LIFE_S
        if half_lives < 1:
            return math.exp2(half_lives)
        factor = math.exp2(-half_lives)
        self._rescaled_s += half_lives * HALF_LIFE_S
        self._used = {
            name: used * factor
            for name, used in self._used.items()
            if used * factor > _NEGLIGIBLE_USE
        }
        self._total = sum(self._used.values())
        return 1.0
