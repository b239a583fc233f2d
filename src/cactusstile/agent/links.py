"""Connections of an agent to the rest of the system."""

from __future__ import annotations

import typing

import attrs

from cactusstile.agent import claims
from cactusstile.controllers import fencing

if typing.TYPE_CHECKING:
    from cactusstile.state import holder
    from cactusstile.transport import pool


class Control(claims.ClaimControl, fencing.FenceControl, typing.Protocol):
    """Subset of `control.client.ControlClient` that agents require."""


@attrs.frozen
class Links:
    """Connections of an agent to the rest of the system.

    Attributes:
      control: Client of the control VMs.
      peers: Connections to other agents.
      fleet_holder: Configuration in force; its creator keeps it up to date.
    """

    control: Control
    peers: pool.Pool
    fleet_holder: holder.FleetHolder
