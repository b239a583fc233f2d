"""Routes by rendezvous hashing, probes and the deployment's weights."""

from __future__ import annotations

import random
import typing

from cactusstile import verdict
from cactusstile.entry import calls
from cactusstile.entry import routes
from cactusstile.routing import candidates as routing_candidates
from cactusstile.routing import choice
from cactusstile.routing import rendezvous
from cactusstile.state import model

if typing.TYPE_CHECKING:
    import collections.abc

    FindFleet = collections.abc.Callable[[], model.Fleet]


class TargetIndex:
    """Targets by what they serve, built once for each fleet."""

    def __init__(self, find_fleet: FindFleet) -> None:
        """Follows the fleet that `find_fleet` returns."""
        self._find_fleet = find_fleet
        self._fleet = model.Fleet()
        self._by_served: dict[str, list[model.Target]] = {}

    def find(self, serves: str) -> list[model.Target]:
        """Returns the targets of a deployment or service."""
        fleet = self._find_fleet()
        if fleet is not self._fleet:
            self._by_served = {}
            for target in fleet.targets.values():
                if target.kind is not model.TargetKind.STORE:
                    self._by_served.setdefault(target.serves, []).append(target)
            self._fleet = fleet
        return self._by_served.get(serves, [])


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
    index = TargetIndex(find_fleet)

    def candidates(
        call: calls.PromptCall,
        excluded: collections.abc.Collection[str],
        running: collections.abc.Mapping[str, int],
    ) -> list[model.Target]:
        left = _without(index.find(call.deployment), excluded)
        by_name = {target.name: target for target in left}
        members = [_to_member(target) for target in left]
        homes = routing_candidates.select(call.prefix_key, members, running)
        return [by_name[home.name] for home in homes]

    def service_order(
        request: calls.ServiceRequest,
        excluded: collections.abc.Collection[str],
        running: collections.abc.Mapping[str, int],
    ) -> list[model.Target]:
        left = _without(index.find(request.service), excluded)
        random.shuffle(left)
        left.sort(key=lambda target: running.get(target.name, 0))
        return left

    choose = _build_choose(find_fleet, import_time)
    return routes.Routes(candidates, choose, service_order, reserve)


def _build_choose(
    find_fleet: FindFleet, import_time: choice.ImportTime
) -> routes.Choose:
    def choose(
        call: calls.PromptCall,
        version: str,
        probed: collections.abc.Sequence[routes.Probed],
    ) -> routes.Placement:
        weights = _weights(find_fleet(), call.deployment)
        left_ms = calls.time_left_ms(call.deadline_s)
        request = choice.Request(len(call.tokens), version, left_ms)
        by_name = {entry.target.name: entry.target for entry in probed}
        options = [
            choice.Probed(_to_member(entry.target), entry.reply)
            for entry in probed
        ]
        chosen = choice.choose(options, request, weights, import_time)
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


def _without(
    targets: collections.abc.Sequence[model.Target],
    excluded: collections.abc.Collection[str],
) -> list[model.Target]:
    return [target for target in targets if target.name not in excluded]


def _to_member(target: model.Target) -> rendezvous.Member:
    return rendezvous.Member(target.name, target.data_centre)
