"""Local copy of the fleet, whose revision never decreases."""

from __future__ import annotations

import logging
import typing

import anyio

from cactusstile.state import model

if typing.TYPE_CHECKING:
    import collections.abc

logger = logging.getLogger(__name__)


class FleetHolder:
    """Holds the newest fleet that this node has received.

    Attributes:
      fleet: Fleet in force on this node.
      confirmed: Set once a quorum has confirmed a revision to this process;
        until then the node serves no requests.
    """

    def __init__(self, fleet: model.Fleet | None = None) -> None:
        """Starts with `fleet`, unconfirmed."""
        self.fleet = fleet or model.Fleet()
        self.confirmed = anyio.Event()
        self._observers: list[
            collections.abc.Callable[[model.Fleet, model.Fleet], None]
        ] = []

    def is_in_force(self) -> bool:
        """Returns whether a fleet was applied and a quorum confirmed it."""
        return self.confirmed.is_set() and self.fleet.revision > 0

    def observe(
        self,
        observer: collections.abc.Callable[[model.Fleet, model.Fleet], None],
    ) -> None:
        """Calls `observer(old, new)` on each later change."""
        self._observers.append(observer)

    def advance(self, fleet: model.Fleet) -> bool:
        """Puts `fleet` in force if it is newer than the present one.

        Returns:
          Whether the fleet changed.
        """
        old = self.fleet
        if fleet.revision <= old.revision:
            return False
        self.fleet = fleet
        logger.info("configuration revision %d is in force", fleet.revision)
        for observer in self._observers:
            observer(old, fleet)
        return True
