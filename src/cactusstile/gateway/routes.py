"""Finds the route and the workspace of a request."""

from __future__ import annotations

import hashlib
import hmac
import os

import attrs

from cactusstile.sites import model

_DIGEST_BYTES = 16


@attrs.frozen
class Table:
    """A configuration, prepared for lookups.

    Keys are held as keyed digests, so that a lookup tells nothing of a key
    by its duration.

    Attributes:
      configuration: The configuration.
      by_host: Routes of each host, the longest prefix first.
      by_key: Workspace of each digest of a key.
      salt: Random key of the digests.
    """

    configuration: model.SiteConfiguration
    by_host: dict[str, list[model.Route]]
    by_key: dict[bytes, model.Workspace] = attrs.field(repr=False)
    salt: bytes = attrs.field(repr=False)

    def find_route(self, host: str, path: str) -> model.Route | None:
        """Returns the route with the longest prefix of `path`, if any."""
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
        """Whether callers of routes that are not public send a key."""
        return self.configuration.workspaces is not None

    def find_workspace(self, key: str) -> model.Workspace | None:
        """Returns the workspace that holds `key`, if any."""
        return self.by_key.get(_digest(self.salt, key))


def build(configuration: model.SiteConfiguration) -> Table:
    """Returns the table of a configuration."""
    by_host: dict[str, list[model.Route]] = {}
    for route in configuration.routes:
        by_host.setdefault(route.host, []).append(route)
    for routes in by_host.values():
        routes.sort(key=lambda route: len(route.prefix), reverse=True)
    salt = os.urandom(_DIGEST_BYTES)
    by_key = {}
    for workspace in configuration.workspaces or ():
        for key in workspace.keys:
            by_key[_digest(salt, key)] = workspace
    return Table(configuration, by_host, by_key, salt)


def _digest(salt: bytes, key: str) -> bytes:
    data = key.encode("utf-8", "surrogateescape")
    return hmac.digest(salt, data, hashlib.sha256)


def share_of(
    route: model.Route, request_id: str, live: frozenset[str] | set[str]
) -> str | None:
    """Returns the service that answers a request.

    Args:
      route: The route.
      request_id: Decides, so that one request always goes the same way.
      live: Services that have a target; others are passed over.

    >>> shares = (model.Share("a", 0.0), model.Share("b", 1.0))
    >>> route = model.Route("r", "h", "/", model.Kind.ONCE, shares, 1.0)
    >>> share_of(route, "1", {"a", "b"}), share_of(route, "1", {"a"})
    ('b', None)
    """
    possible = []
    for share in route.shares:
        if share.weight > 0 and share.service in live:
            possible.append(share)
    total = sum(share.weight for share in possible)
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    point = int.from_bytes(digest, "little") / 2.0**64 * total
    for share in possible:
        point -= share.weight
        if point < 0:
            return share.service
    return possible[-1].service if possible else None
