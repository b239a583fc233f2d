"""Recent use by workspace, to tell one that storms."""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    import collections.abc

HALF_LIFE_S = 10.0
STORM_FACTOR = 6.0
_FORGOTTEN_USE = 1.0
_MIN_SHARE = 1e-6


class RecentUse:
    """Work that workspaces asked for lately, divided by their shares.

    Instead of decaying all uses, a note counts new work for more as time goes
    by, so that it costs the same with ten workspaces and with thousands. Once
    a half-life all are scaled down together.
    """

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        """Starts without any; `clock` returns monotonic seconds."""
        self._clock = clock
        self._used: dict[str, float] = {}
        self._total = 0.0
        self._rescaled_s = clock()

    def record(self, workspace: str, work: float, share: float = 1.0) -> None:
        """Counts work that a workspace asks for."""
        scale = self._rescale()
        added = work / max(share, _MIN_SHARE) * scale
        self._used[workspace] = self._used.get(workspace, 0.0) + added
        self._total += added

    def is_storming(self, workspace: str, factor: float = STORM_FACTOR) -> bool:
        """Returns whether a workspace asks for far more than the others.

        That is `factor` times the mean of the others that are active; one
        that is alone never storms.
        """
        self._rescale()
        used = self._used.get(workspace, 0.0)
        count = len(self._used) - (workspace in self._used)
        if not count:
            return False
        return used * count > factor * (self._total - used)

    def _rescale(self) -> float:
        """Returns what a unit of work counts now; rescales when due."""
        half_lives = (self._clock() - self._rescaled_s) / HALF_LIFE_S
        if half_lives < 1:
            return math.exp2(half_lives)
        factor = math.exp2(-half_lives)
        self._rescaled_s += half_lives * HALF_LIFE_S
        self._used = {
            name: used * factor
            for name, used in self._used.items()
            if used * factor > _FORGOTTEN_USE
        }
        self._total = sum(self._used.values())
        return 1.0
