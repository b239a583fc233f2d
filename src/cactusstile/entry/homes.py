"""Routes by rendezvous hashing, probes and the deployment's weights."""

from __future__ import annotations

import random
import typing

from cactusstile import verdict
from cactusstile.entry import calls
from cactusstile.entry import routes
from cactusstile.routing import candidates as routing_candidates
from cactusstile.routing import choice
from cactusstile.routing import fleet_index
from cactusstile.routing import link_use
from cactusstile.state import model

if typing.TYPE_CHECKING:
    import collections.abc

    FindFleet = collections.abc.Callable[[], model.Fleet]


def build(
    find_fleet: FindFleet,
    import_time: choice.ImportTime = choice.never_import,
    *,
    reserve: bool = False,
) -> routes.Routes:
    """Returns routes to the homes of a prompt.

    Args:
      find_fleet: Returns the fleet in force.
      import_time: See `choice.choose`.
      reserve: Whether probes hold a place for a moment.
    """
    index = fleet_index.FleetIndex(find_fleet)

    def candidates(
        call: calls.PromptCall,
        excluded: collections.abc.Collection[str],
        running: collections.abc.Mapping[str, int],
    ) -> list[model.Target]:
        near = index.homes(call.deployment, call.prefix_key, excluded)
        by_name = {target.name: target for target in near}
        members = [fleet_index.to_member(target) for target in near]
        stores = index.stores(call.deployment, call.prefix_key)
        store_side = stores[0].data_centre if stores else ""
        homes = routing_candidates.select_ranked(
            members, running, near=store_side
        )
        return [by_name[home.name] for home in homes]

    choose = _build_choose(find_fleet, index, import_time)
    return routes.Routes(
        candidates, choose, _build_service_order(index), reserve
    )


def _build_service_order(
    index: fleet_index.FleetIndex,
) -> routes.ServiceOrder:
    def service_order(
        request: calls.ServiceRequest,
        excluded: collections.abc.Collection[str],
        running: collections.abc.Mapping[str, int],
    ) -> list[model.Target]:
        left = [
            target
            for target in index.targets(request.service)
            if target.name not in excluded
        ]
        random.shuffle(left)
        left.sort(key=lambda target: running.get(target.name, 0))
        return left

    return service_order


def _build_choose(
    find_fleet: FindFleet,
    index: fleet_index.FleetIndex,
    import_time: choice.ImportTime,
) -> routes.Choose:
    def choose(
        call: calls.PromptCall,
        version: str,
        probed: collections.abc.Sequence[routes.Probed],
    ) -> routes.Placement:
        fleet = find_fleet()
        weights = _weights(fleet, call.deployment)
        stores = index.stores(call.deployment, call.prefix_key)
        link_time = link_use.build(
            fleet,
            stores[0] if stores else None,
            max((entry.reply.block_bytes for entry in probed), default=0),
        )
        left_ms = calls.time_left_ms(call.deadline_s)
        request = choice.Request(len(call.tokens), version, left_ms)
        by_name = {entry.target.name: entry.target for entry in probed}
        options = [
            choice.Probed(fleet_index.to_member(entry.target), entry.reply)
            for entry in probed
        ]
        chosen = choice.choose(
            options, request, weights, import_time, link_time
        )
        if chosen.refusal is not None:
            raise verdict.RefusedError(chosen.refusal)
        best = chosen.options[0]
        return routes.Placement(
            by_name[best.member.name], best.version, best.reservation
        )

    return choose


def _weights(fleet: model.Fleet, name: str) -> choice.Weights:
    deployment = fleet.deployments.get(name)
    if deployment is None:
        return choice.Weights()
    return choice.Weights(
        deployment.first_token_weight,
        deployment.recompute_weight,
        deployment.link_weight,
    )
