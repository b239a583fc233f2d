"""State of a gateway as administrators see it, without any key."""

from __future__ import annotations

import typing

import anyio

if typing.TYPE_CHECKING:
    from cactusstile.gateway import components
    from cactusstile.gateway import target_view


def describe(gateway: components.Gateway) -> dict[str, typing.Any]:
    """Returns the state of a gateway."""
    now_s = anyio.current_time()
    site = gateway.site
    budget = gateway.forwarder.budget
    quarantine = gateway.forwarder.quarantine
    return {
        "name": gateway.settings.name,
        "configuration": site.version,
        "view": site.view_age.describe(),
        "loop": gateway.loop.describe(now_s),
        "ready": gateway.lifecycle.is_ready(),
        "leader": str(gateway.watch.leader or ""),
        "gateways": [member.address for member in site.gateways],
        "weights": site.weights.newest_versions(),
        "open_requests": gateway.serving.open_requests,
        "connections": gateway.serving.open_connections.counts(),
        "retry_budget": {
            "gateways": budget.sharers.most(now_s),
            "settled": budget.sharers.is_settled(now_s),
            "granted": budget.granted,
            "denied": budget.denied,
        },
        "quarantined": [
            sorted(keys) for keys in quarantine.evidence.quarantined
        ],
        "evacuated": sorted(site.targets.evacuations.data_centres),
        "holds": sorted(quarantine.holds.in_force),
        "targets": [
            _describe_target(view, now_s)
            for view in site.targets.views.values()
        ],
    }


def _describe_target(
    view: target_view.TargetView, now_s: float
) -> dict[str, typing.Any]:
    return {
        "id": view.target.id,
        "service": view.target.service,
        "leaving": view.leaving,
        "evacuated": view.is_evacuated,
        "cold": view.is_cold(now_s),
        "accepts_requests": view.accepts_requests(now_s),
        "inflight": view.inflight,
        "others": view.others(now_s),
        "failure_share": round(view.failure_share, 3),
        "usable": view.is_usable(now_s),
    }
