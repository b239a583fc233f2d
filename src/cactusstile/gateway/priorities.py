"""Priorities of requests at engines, from routes and workspaces."""

from __future__ import annotations

from cactusstile.sites import model

# Engines distinguish the priorities 0 (served first) to 9.
LOWEST_ENGINE_PRIORITY = 9
# Route priorities within each workspace priority.
PRIORITIES_PER_WORKSPACE_PRIORITY = 3


def compute_engine_priority(
    route: model.Route, workspace: model.Workspace | None
) -> int:
    """Returns the priority of a request at engines; 0 is served first.

    Priorities of workspaces take precedence over those of routes.

    >>> route = model.Route("r", "h", "/", model.Kind.ONCE, (), 1.0, priority=1)
    >>> compute_engine_priority(route, None)
    1
    >>> compute_engine_priority(route, model.Workspace("w", (), priority=2))
    7
    """
    lowest = PRIORITIES_PER_WORKSPACE_PRIORITY - 1
    engine_priority = min(max(route.priority, 0), lowest)
    if workspace is not None and workspace.priority is not None:
        engine_priority += PRIORITIES_PER_WORKSPACE_PRIORITY * max(
            workspace.priority, 0
        )
    return min(engine_priority, LOWEST_ENGINE_PRIORITY)


def least_urgent(configuration: model.SiteConfiguration) -> int:
    """Returns the engine priority of a configuration's least urgent streams."""
    lowest = 0
    for route in configuration.routes:
        if route.kind is not model.Kind.STREAM:
            continue
        for workspace in (None, *(configuration.workspaces or ())):
            lowest = max(lowest, compute_engine_priority(route, workspace))
    return lowest
