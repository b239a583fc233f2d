"""What was sent on one watch, and items that all watches send."""

from __future__ import annotations

import logging
import typing

import attrs

from cactusstile.registry import holds
from cactusstile.transport import codec

if typing.TYPE_CHECKING:
    from cactusstile.registry import evacuations
    from cactusstile.sites import builds
    from cactusstile.sites import messages

logger = logging.getLogger(__name__)

# Time that items wait for credit or room until it is logged.
LATE_ITEMS_S = 0.5


@attrs.define
class WatchState:
    """Revisions that were sent on one watch.

    Attributes:
      version: Version of the configuration.
      weights: Newest versions of all models' weights.
      list_revision: Revision of the target list.
      confirmation_number: Number of the last confirmation.
      answered: Newest question that was answered; see `sites.messages`.
      store_revision: Revision of the store contents; -1 before the first.
      gateways: The list of gateways; None before the first.
      holds: Holds in force, and those that were released.
      builds: Builds of all services; None before the first.
      evacuations: Evacuated data centres; None before the first.
    """

    version: int
    weights: tuple[messages.NamedWeights, ...] = ()
    list_revision: int = 0
    confirmation_number: int = 0
    answered: int = 0
    store_revision: int = -1
    gateways: messages.GatewayList | None = None
    holds: holds.HoldTable = attrs.field(factory=holds.HoldTable)
    builds: tuple[builds.ServiceBuilds, ...] | None = None
    evacuations: evacuations.EvacuationTable | None = None

    def log_if_late(self, gateway: str, took_s: float) -> None:
        """Logs that items waited until a gateway was ready to take them."""
        if took_s <= LATE_ITEMS_S:
            return
        logger.info(
            "items waited for a gateway",
            extra={
                "gateway": gateway,
                "took_ms": round(took_s * 1000),
                "configuration": self.version,
            },
        )


class EncodedItems:
    """Encodes items that all watches send once, instead of once a watch."""

    def __init__(self) -> None:
        self._newest: dict[type, tuple[object, bytes]] = {}

    def payload(self, item: object) -> bytes:
        """Returns the encoded item; the newest of each type is retained."""
        newest = self._newest.get(type(item))
        if newest is not None and newest[0] is item:
            return newest[1]
        payload = codec.encode(item)
        self._newest[type(item)] = (item, payload)
        return payload
