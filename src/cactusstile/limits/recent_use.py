"""Recent use by workspace, to tell one that storms.

An entry confines a storming workspace to a few targets, so that the others
find the rest free. The same few are computed by every entry.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import collections.abc

HALF_LIFE_S = 10.0
STORM_FACTOR = 6.0
CONFINED_SHARE = 1 / 3
_FORGOTTEN_USE = 1.0


class RecentUse:
    """Work that workspaces asked for lately, divided by their shares."""

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        """Starts without any; `clock` returns monotonic seconds."""
        self._clock = clock
        self._used: dict[str, float] = {}
        self._updated_s = clock()

    def note(self, workspace: str, work: float, share: float = 1.0) -> None:
        """Counts work that a workspace asks for."""
        self._decay()
        used = self._used.get(workspace, 0.0)
        self._used[workspace] = used + work / max(share, 1e-6)

    def is_storming(self, workspace: str) -> bool:
        """Returns whether a workspace asks for far more than the others.

        That is `STORM_FACTOR` times the mean of the others that are active;
        one that is alone never storms.
        """
        self._decay()
        used = self._used.get(workspace, 0.0)
        count = len(self._used) - (workspace in self._used)
        if not count:
            return False
        return used > STORM_FACTOR * (sum(self._used.values()) - used) / count

    def _decay(self) -> None:
        now_s = self._clock()
        factor = 0.5 ** ((now_s - self._updated_s) / HALF_LIFE_S)
        self._updated_s = now_s
        self._used = {
            name: used * factor
            for name, used in self._used.items()
            if used * factor > _FORGOTTEN_USE
        }


def confined_count(targets: int) -> int:
    """Returns how many of a number of targets a storm may use.

    >>> confined_count(9), confined_count(2)
    (3, 1)
    """
    return max(1, round(targets * CONFINED_SHARE))
