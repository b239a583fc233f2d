"""Reads the operator's configuration document."""

from __future__ import annotations

import json
import typing

from cactusstile.http import callers
from cactusstile.platform import fields
from cactusstile.sites import model
from cactusstile.transport import address

_KINDS = {
    "idempotent": model.Kind.IDEMPOTENT,
    "non_idempotent": model.Kind.ONCE,
    "streaming": model.Kind.STREAM,
}
_MAX_VERSION = 2**63 - 1


def decode(document: bytes) -> model.SiteConfiguration:
    """Returns a configuration.

    Raises:
      InvalidConfigurationError: It cannot be read in full, or contradicts
        itself.
    """
    try:
        read = fields.table(json.loads(document))
        version = fields.whole(read, "version")
        services = _services(fields.tables(read, "services"))
        routes = tuple(_route(one) for one in fields.tables(read, "routes"))
        workspaces = _workspaces(read)
        limits = _limits(fields.table(read.get("limits")))
        stores = _stores(fields.tables(read, "services"))
    except (ValueError, RecursionError) as error:
        raise model.InvalidConfigurationError(
            f"the configuration cannot be read: {error}"
        ) from error
    if not 0 <= version <= _MAX_VERSION:
        raise model.InvalidConfigurationError(f"version {version} is no number")
    _check_routes(routes, services)
    _check_keys(workspaces)
    return model.SiteConfiguration(
        version, routes, services, workspaces, limits, stores
    )


def _route(read: fields.Table) -> model.Route:
    host = fields.text(read, "host").lower()
    shares = []
    # A single service stands for a split with one part.
    if read.get("trafficSplit") is None:
        shares.append(model.Share(fields.text(read, "service"), 1.0))
    for one in fields.tables(read, "trafficSplit", required=False):
        weight = fields.number(one, "weight")
        shares.append(model.Share(fields.text(one, "service"), weight))
    kind = _KINDS.get(fields.text(read, "kind"))
    if kind is None:
        raise ValueError(f"kind {read['kind']!r} is not known")
    return model.Route(
        name=fields.text(read, "name"),
        host=host,
        prefix=fields.text(read, "pathPrefix"),
        kind=kind,
        shares=tuple(shares),
        timeout_s=fields.number(read, "timeoutMs") / 1000,
        objective_s=fields.number(read, "targetLatencyMs", 1000) / 1000,
        gap_s=fields.number(read, "targetGapMs", 0) / 1000,
        priority=fields.whole(read, "priority", 0),
        max_attempts=max(1, fields.whole(read, "maxAttempts", 1)),
        public=fields.flag(read, "public"),
        resumable=fields.flag(read, "resumable"),
    )


def _services(read: list[fields.Table]) -> dict[str, model.Service]:
    found = {}
    for one in read:
        name = fields.text(one, "name")
        engine = one.get("engine")
        found[name] = model.Service(
            name,
            fields.whole(one, "maxConnections", 0),
            None if engine is None else _engine(fields.table(engine)),
        )
    return found


def _stores(read: list[fields.Table]) -> tuple[model.Store, ...]:
    """Returns the services that are stores: those with a store's address."""
    found = []
    for one in read:
        if one.get("kvStoreAddr") is None:
            continue
        found.append(
            model.Store(
                fields.text(one, "name"),
                address.parse(fields.text(one, "kvStoreAddr")),
                fields.text(one, "zone", ""),
                fields.whole(one, "kvCapacity", 0),
            )
        )
    return tuple(found)


def _engine(read: fields.Table) -> model.Engine:
    models = fields.tables(read, "models", required=False)
    return model.Engine(
        slots=fields.whole(read, "slots", 1),
        kv_tokens=fields.whole(read, "kvCapacity", 0),
        kv_token_bytes=fields.whole(read, "kvTokenBytes", 0),
        models=tuple(fields.text(one, "name") for one in models),
        backs_up=fields.flag(read, "backups"),
    )


def _workspaces(
    read: fields.Table,
) -> tuple[model.Workspace, ...] | None:
    if read.get("tenants") is None:
        return None
    found = []
    for one in fields.tables(read, "tenants"):
        keys = one.get("apiKeys", [])
        if not isinstance(keys, list):
            raise ValueError("apiKeys is no list")
        for key in keys:
            if not isinstance(key, str):
                raise ValueError("a key is no text")
        priority = None
        if one.get("priority") is not None:
            priority = fields.whole(one, "priority")
        found.append(
            model.Workspace(
                fields.text(one, "name"),
                tuple(keys),
                priority,
                fields.flag(one, "isolated"),
            )
        )
    return tuple(found)


def _limits(read: fields.Table) -> callers.CallerLimits:
    return callers.CallerLimits(
        max_header_bytes=fields.whole(read, "maxHeaderBytes"),
        max_body_bytes=fields.whole(read, "maxBodyBytes"),
        header_timeout_s=fields.number(read, "headerTimeoutMs") / 1000,
        idle_timeout_s=fields.number(read, "idleTimeoutMs") / 1000,
    )


def _check_routes(
    routes: tuple[model.Route, ...], services: dict[str, model.Service]
) -> None:
    places: set[tuple[str, str]] = set()
    for route in routes:
        place = (route.host, route.prefix)
        faults = []
        if place in places:
            faults.append("host and prefix are those of another route")
        places.add(place)
        if route.timeout_s <= 0:
            faults.append("the timeout must be above 0")
        weights = [share.weight for share in route.shares]
        if min(weights, default=0) < 0 or sum(weights) <= 0:
            faults.append("the weights must add up to more than 0")
        for share in route.shares:
            if share.service not in services:
                faults.append(f"there is no service {share.service!r}")
        if faults:
            text = f"route {route.name!r}: {'; '.join(faults)}"
            raise model.InvalidConfigurationError(text)


def _check_keys(workspaces: tuple[model.Workspace, ...] | None) -> None:
    owners: dict[str, str] = {}
    for workspace in workspaces or ():
        for key in workspace.keys:
            owner = owners.setdefault(key, workspace.name)
            if owner != workspace.name:
                raise model.InvalidConfigurationError(
                    f"{owner!r} and {workspace.name!r} share a key"
                )


def canonical(document: bytes) -> bytes:
    """Returns a document in one spelling, to tell equal contents."""
    read: typing.Any = json.loads(document)
    return json.dumps(read, sort_keys=True, separators=(",", ":")).encode()
