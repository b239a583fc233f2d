"""Decodes and validates the operator's configuration document."""

from __future__ import annotations

import json

from cactusstile import json_text
from cactusstile.http import request_limits
from cactusstile.platform import fields
from cactusstile.sites import model

_KINDS = {
    "idempotent": model.Kind.IDEMPOTENT,
    "non_idempotent": model.Kind.ONCE,
    "streaming": model.Kind.STREAM,
}
_MAX_VERSION = 2**63 - 1


def decode(document: bytes) -> model.SiteConfiguration:
    """Returns the configuration of a JSON document.

    Raises:
      InvalidConfigurationError: The document is malformed or inconsistent.
    """
    try:
        root = fields.json_object(json_text.load_document(document))
        version = fields.integer(root, "version")
        services = _decode_services(fields.json_objects(root, "services"))
        routes = tuple(
            _decode_route(entry)
            for entry in fields.json_objects(root, "routes")
        )
        workspaces = _decode_workspaces(root)
        limits = _decode_limits(fields.json_object(root.get("limits")))
        stores = _decode_stores(fields.json_objects(root, "services"))
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


def _decode_route(entry: fields.JsonObject) -> model.Route:
    host = fields.text(entry, "host").lower()
    shares = []
    # A route may name a single service instead of a traffic split.
    if entry.get("trafficSplit") is None:
        shares.append(model.Share(fields.text(entry, "service"), 1.0))
    for split in fields.json_objects(entry, "trafficSplit", required=False):
        weight = fields.number(split, "weight")
        shares.append(model.Share(fields.text(split, "service"), weight))
    kind = _KINDS.get(fields.text(entry, "kind"))
    if kind is None:
        raise ValueError(f"kind {entry['kind']!r} is not known")
    return model.Route(
        name=fields.text(entry, "name"),
        host=host,
        prefix=fields.text(entry, "pathPrefix"),
        kind=kind,
        shares=tuple(shares),
        timeout_s=fields.number(entry, "timeoutMs") / 1000,
        objective_s=fields.number(entry, "targetLatencyMs", 1000) / 1000,
        gap_s=fields.number(entry, "targetGapMs", 0) / 1000,
        priority=fields.integer(entry, "priority", 0),
        max_attempts=max(1, fields.integer(entry, "maxAttempts", 1)),
        public=fields.boolean(entry, "public"),
        resumable=fields.boolean(entry, "resumable"),
        regions=frozenset(fields.texts(entry, "allowedRegions")),
    )


def _decode_services(
    entries: list[fields.JsonObject],
) -> dict[str, model.Service]:
    services = {}
    for entry in entries:
        name = fields.text(entry, "name")
        engine = entry.get("engine")
        services[name] = model.Service(
            name,
            fields.integer(entry, "maxConnections", 0),
            None
            if engine is None
            else _decode_engine(fields.json_object(engine)),
            cold_start_s=max(0, fields.number(entry, "coldStartS", 0)),
            cold_per_s=max(0, fields.number(entry, "coldPerS", 0)),
        )
    return services


def _decode_stores(entries: list[fields.JsonObject]) -> tuple[model.Store, ...]:
    """Returns the services that are stores: those with a store address."""
    stores = []
    for entry in entries:
        if entry.get("kvStoreAddr") is None:
            continue
        stores.append(
            model.Store(
                fields.text(entry, "name"),
                fields.address(entry, "kvStoreAddr"),
                fields.text(entry, "zone", ""),
                fields.integer(entry, "kvCapacity", 0),
            )
        )
    return tuple(stores)


def _decode_engine(entry: fields.JsonObject) -> model.Engine:
    models = fields.json_objects(entry, "models", required=False)
    return model.Engine(
        slots=fields.integer(entry, "slots", 1),
        kv_tokens=fields.integer(entry, "kvCapacity", 0),
        kv_token_bytes=fields.integer(entry, "kvTokenBytes", 0),
        models=tuple(fields.text(listed, "name") for listed in models),
        backs_up=fields.boolean(entry, "backups"),
    )


def _decode_workspaces(
    root: fields.JsonObject,
) -> tuple[model.Workspace, ...] | None:
    if root.get("tenants") is None:
        return None
    workspaces = []
    for entry in fields.json_objects(root, "tenants"):
        keys = fields.texts(entry, "apiKeys")
        priority = None
        if entry.get("priority") is not None:
            priority = fields.integer(entry, "priority")
        workspaces.append(
            model.Workspace(
                fields.label(entry, "name"),
                tuple(keys),
                priority,
                fields.boolean(entry, "isolated"),
                frozenset(fields.texts(entry, "allowedRegions")),
            )
        )
    return tuple(workspaces)


def _decode_limits(limits: fields.JsonObject) -> request_limits.CallerLimits:
    return request_limits.CallerLimits(
        max_header_bytes=fields.integer(limits, "maxHeaderBytes"),
        max_body_bytes=fields.integer(limits, "maxBodyBytes"),
        header_timeout_s=fields.number(limits, "headerTimeoutMs") / 1000,
        idle_timeout_s=fields.number(limits, "idleTimeoutMs") / 1000,
    )


def _check_routes(
    routes: tuple[model.Route, ...], services: dict[str, model.Service]
) -> None:
    seen: set[tuple[str, str]] = set()
    for route in routes:
        host_and_prefix = (route.host, route.prefix)
        faults = []
        if host_and_prefix in seen:
            faults.append("host and prefix are those of another route")
        seen.add(host_and_prefix)
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
    """Returns the canonical JSON form, in which equal documents are equal."""
    decoded = json_text.load_document(document)
    return json.dumps(decoded, sort_keys=True, separators=(",", ":")).encode()
