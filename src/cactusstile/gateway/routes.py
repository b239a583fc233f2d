"""Finds the route, the workspace and the service of a request."""

from __future__ import annotations

import hashlib
import hmac
import os

import attrs

from cactusstile.gateway import priorities
from cactusstile.sites import model

_DIGEST_BYTES = 16


@attrs.frozen
class RoutingTable:
    """Lookup tables of a configuration.

    Keys are stored as keyed digests, so that the duration of a lookup reveals
    nothing about a key.

    Attributes:
      configuration: The configuration.
      by_host: Routes of each host, the longest prefix first.
      by_key: Workspace of each key, by the key's digest.
      by_name: Workspace of each name; an isolated one if there are several.
      least_urgent: Priority at engines of the least urgent requests.
      salt: Random key of the digests.
    """

    configuration: model.SiteConfiguration
    by_host: dict[str, list[model.Route]]
    by_key: dict[bytes, model.Workspace] = attrs.field(repr=False)
    by_name: dict[str, model.Workspace] = attrs.field(repr=False)
    least_urgent: int
    salt: bytes = attrs.field(repr=False)

    def find_route(self, host: str, path: str) -> model.Route | None:
        """Returns the route with the longest prefix of `path`, or None."""
        name = host.strip().lower()
        routes = self.by_host.get(name)
        if routes is None:
            routes = self.by_host.get(name.rpartition(":")[0], [])
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None

    @property
    def needs_keys(self) -> bool:
        """Whether callers of routes that are not public must send a key."""
        return self.configuration.workspaces is not None

    def cache_scope(self, workspace: model.Workspace | None) -> str:
        """Returns the scope within which a workspace's KV cache is shared.

        Args:
          workspace: Workspace of a request that an older configuration may
            have admitted; None if it has none.
        """
        if workspace is not None:
            newest = self.by_name.get(workspace.name, workspace)
            if workspace.isolated or newest.isolated:
                return f"workspace-{workspace.name}"
        number = self.configuration.shared_scope
        return f"shared-{number}" if number else "shared"

    def find_workspace(self, key: str) -> model.Workspace | None:
        """Returns the workspace of `key`; None if the key is unknown."""
        return self.by_key.get(_digest(self.salt, key))


def build(configuration: model.SiteConfiguration) -> RoutingTable:
    """Builds the lookup tables of a configuration."""
    by_host: dict[str, list[model.Route]] = {}
    for route in configuration.routes:
        by_host.setdefault(route.host, []).append(route)
    for routes in by_host.values():
        routes.sort(key=lambda route: len(route.prefix), reverse=True)
    salt = os.urandom(_DIGEST_BYTES)
    by_key = {}
    by_name = {}
    for workspace in configuration.workspaces or ():
        if workspace.isolated or workspace.name not in by_name:
            by_name[workspace.name] = workspace
        for key in workspace.keys:
            by_key[_digest(salt, key)] = workspace
    least_urgent = priorities.least_urgent(configuration)
    return RoutingTable(
        configuration, by_host, by_key, by_name, least_urgent, salt
    )


def _digest(salt: bytes, key: str) -> bytes:
    data = key.encode("utf-8", "surrogateescape")
    return hmac.digest(salt, data, hashlib.sha256)


def pick_service(
    route: model.Route, request_id: str, live: frozenset[str] | set[str]
) -> str | None:
    """Returns the service of a request, by the route's traffic weights.

    Returns None if no service with a positive weight is live.

    Args:
      route: The route.
      request_id: Hashed to choose the service, so that a request id always maps
        to the same service.
      live: Services that have a target; others are skipped.

    >>> shares = (model.Share("a", 0.0), model.Share("b", 1.0))
    >>> route = model.Route("r", "h", "/", model.Kind.ONCE, shares, 1.0)
    >>> pick_service(route, "1", {"a", "b"})
    'b'
    >>> pick_service(route, "1", {"a"}) is None
    True
    """
    candidates = []
    for share in route.shares:
        if share.weight > 0 and share.service in live:
            candidates.append(share)
    total = sum(share.weight for share in candidates)
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    point = int.from_bytes(digest, "little") / 2.0**64 * total
    for share in candidates:
        point -= share.weight
        if point < 0:
            return share.service
    return candidates[-1].service if candidates else None
