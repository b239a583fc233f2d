"""Confinement of overloading workspaces to a fraction of the targets.

A workspace storms while it requests far more work than the other workspaces,
see `recent_use`.
"""

from __future__ import annotations

import typing

from cactusstile.limits import recent_use

if typing.TYPE_CHECKING:
    import collections.abc

BUSY_THRESHOLD_MS = 500.0
CONFINED_FRACTION = 1 / 3
_SMOOTHING = 0.05


class Confinement:
    """Decides which workspaces an entry confines.

    A workspace is confined when it storms while the targets of the deployment
    are busy. On idle targets it affects no other workspace, and leaving its
    prompts at their home targets saves transfers.

    Callers that wait for responses from `CONFINED_FRACTION` of the targets
    request only that fraction of the work. A workspace is therefore released
    when its use falls below that fraction of the storm threshold.

    Attributes:
      use: Work that each workspace requested recently.
      confined: Pairs of deployment and workspace that are confined.
    """

    def __init__(
        self,
        clock: collections.abc.Callable[[], float],
        storm_factor: float = recent_use.STORM_FACTOR,
    ) -> None:
        """Starts with no confined workspace.

        Args:
          clock: Returns monotonic time in seconds.
          storm_factor: Multiple of the mean use of the other workspaces above
            which a workspace storms; 0 disables confinement.
        """
        self.use = recent_use.RecentUse(clock)
        self.confined: set[tuple[str, str]] = set()
        self._storm_factor = storm_factor
        self._waits_ms: dict[str, float] = {}

    def observe_waits(
        self, deployment: str, waits_ms: collections.abc.Sequence[float]
    ) -> None:
        """Records the waits that probed agents reported for one request."""
        if not waits_ms:
            return
        mean_ms = sum(waits_ms) / len(waits_ms)
        smoothed_ms = self._waits_ms.get(deployment, 0.0)
        smoothed_ms += _SMOOTHING * (mean_ms - smoothed_ms)
        self._waits_ms[deployment] = smoothed_ms

    def smoothed_waits_ms(self) -> dict[str, float]:
        """Returns the smoothed wait in milliseconds of each deployment."""
        return {name: round(ms, 1) for name, ms in self._waits_ms.items()}

    def is_confined(self, workspace: str, deployment: str) -> bool:
        """Returns whether a workspace is confined at a deployment now.

        Updates `confined` accordingly.
        """
        pair = (deployment, workspace)
        if pair in self.confined:
            release_factor = self._storm_factor * CONFINED_FRACTION
            if not self.use.is_storming(workspace, release_factor):
                self.confined.remove(pair)
            return pair in self.confined
        if self._waits_ms.get(deployment, 0.0) < BUSY_THRESHOLD_MS:
            return False
        storms = self.use.is_storming(workspace, self._storm_factor)
        if storms and self._storm_factor:
            self.confined.add(pair)
        return pair in self.confined


def confined_count(targets: int) -> int:
    """Returns how many of `targets` targets a confined workspace may use.

    >>> confined_count(9), confined_count(2)
    (3, 1)
    """
    return max(1, round(targets * CONFINED_FRACTION))
