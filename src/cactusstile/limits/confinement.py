"""Confinement of storming workspaces to a part of a deployment's targets."""

from __future__ import annotations

import typing

from cactusstile.limits import recent_use

if typing.TYPE_CHECKING:
    import collections.abc

WAIT_LIMIT_MS = 500.0
CONFINED_SHARE = 1 / 3
_SMOOTHING = 0.05


class Confinement:
    """Tells which workspaces an entry confines.

    A workspace is confined once it storms while the targets of the deployment
    are busy: one that uses idle targets harms nobody, and keeping it to its
    prompts' homes saves transfers. It is released when it asks for less than
    it could if its callers were waiting for the part that it is left.

    Attributes:
      use: What workspaces asked for lately.
      confined: Deployments and workspaces that are confined to a part.
    """

    def __init__(
        self,
        clock: collections.abc.Callable[[], float],
        storm_factor: float = recent_use.STORM_FACTOR,
    ) -> None:
        """Starts idle.

        Args:
          clock: Returns monotonic seconds.
          storm_factor: Multiple of the others' mean use at which a workspace
            storms; 0 for never.
        """
        self.use = recent_use.RecentUse(clock)
        self.confined: set[tuple[str, str]] = set()
        self._storm_factor = storm_factor
        self._waits_ms: dict[str, float] = {}

    def observe_waits(
        self, deployment: str, waits_ms: collections.abc.Sequence[float]
    ) -> None:
        """Takes the waits that probed agents told for one request."""
        if not waits_ms:
            return
        mean_ms = sum(waits_ms) / len(waits_ms)
        smoothed_ms = self._waits_ms.get(deployment, 0.0)
        smoothed_ms += _SMOOTHING * (mean_ms - smoothed_ms)
        self._waits_ms[deployment] = smoothed_ms

    def smoothed_waits_ms(self) -> dict[str, float]:
        """Returns the smoothed waits in milliseconds by deployment."""
        return {name: round(ms, 1) for name, ms in self._waits_ms.items()}

    def is_confined(self, workspace: str, deployment: str) -> bool:
        """Returns whether a workspace is confined at a deployment now."""
        pair = (deployment, workspace)
        if pair in self.confined:
            released = self._storm_factor * CONFINED_SHARE
            if not self.use.is_storming(workspace, released):
                self.confined.remove(pair)
            return pair in self.confined
        if self._waits_ms.get(deployment, 0.0) < WAIT_LIMIT_MS:
            return False
        storms = self.use.is_storming(workspace, self._storm_factor)
        if storms and self._storm_factor:
            self.confined.add(pair)
        return pair in self.confined


def confined_count(targets: int) -> int:
    """Returns how many of a number of targets a storm may use.

    >>> confined_count(9), confined_count(2)
    (3, 1)
    """
    return max(1, round(targets * CONFINED_SHARE))
