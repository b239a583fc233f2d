"""Desired state of an engine and the next order that leads to it."""

from __future__ import annotations

import typing

import attrs

from cactusstile.targets import engine

if typing.TYPE_CHECKING:
    from cactusstile.state import model


@attrs.frozen
class DesiredState:
    """State of an engine that the fleet declares.

    Attributes:
      deployment: Name of the deployment.
      model: Model to load.
      version: Weight version.
      adapters: Adapters as "name@version".
      role: Role; empty if the engine keeps its own.
      max_concurrent_loads: Maximum number of the deployment's targets that
        load weights at the same time.
    """

    deployment: str
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = ""
    max_concurrent_loads: int = 1


def find_desired(fleet: model.Fleet, target: str) -> DesiredState | None:
    """Returns the state of `target`; None if the fleet declares none."""
    declared = fleet.targets.get(target)
    if declared is None:
        return None
    deployment = fleet.deployments.get(declared.serves)
    if deployment is None:
        return None
    return DesiredState(
        deployment.name,
        deployment.model,
        deployment.version,
        deployment.adapters,
        declared.role,
        max_concurrent_loads=deployment.max_concurrent_loads,
    )


def next_order(
    desired: DesiredState, status: engine.Status, fence: int
) -> engine.Order | None:
    """Returns the next order; None if the engine has the desired state.

    >>> status = engine.Status("m", "v1", (), "mixed", 8, 1024)
    >>> next_order(DesiredState("chat", "m", "v2"), status, 7)
    Order(fence=7, kind='version', value='v2')
    >>> next_order(DesiredState("chat", "m", "v1"), status, 7) is None
    True
    """
    if status.model != desired.model:
        value = f"{desired.model}@{desired.version}"
        return engine.Order(fence, "model", value)
    if status.version != desired.version:
        return engine.Order(fence, "version", desired.version)
    for adapter in desired.adapters:
        if adapter not in status.adapters:
            return engine.Order(fence, "adapter", adapter)
    if desired.role and status.role != desired.role:
        return engine.Order(fence, "role", desired.role)
    return None


def loads_weights(order: engine.Order) -> bool:
    """Returns whether an order loads weights from the weight store."""
    return order.kind in ("model", "version")
