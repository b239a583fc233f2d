"""The product and the baselines it is compared with over HTTP.

A policy changes the active fleet, the entry's routes, or both; everything else
is the product's own code.
"""

from __future__ import annotations

import collections.abc
import itertools
import time
import typing

import attrs

from cactusstile.entry import calls
from cactusstile.entry import home_routes
from cactusstile.entry import routes
from cactusstile.limits import confinement
from cactusstile.state import model
from cactusstile.store import client

FindFleet: typing.TypeAlias = collections.abc.Callable[[], model.Fleet]
Reports: typing.TypeAlias = collections.abc.Mapping[str, int]
BuildRoutes: typing.TypeAlias = collections.abc.Callable[
    [FindFleet, Reports], routes.Routes
]
SelectTarget: typing.TypeAlias = collections.abc.Callable[
    [list[model.Target]], model.Target
]


@attrs.frozen
class Policy:
    """Fleet and routes that serve the trace.

    Attributes:
      name: Name in the report.
      prepare: Returns the fleet to activate.
      build_routes: Returns the entry's routes; receives the function that
        returns the fleet and lagging reports of the number of requests by
        target. None for the product's routes.
    """

    name: str
    prepare: collections.abc.Callable[[model.Fleet], model.Fleet]
    build_routes: BuildRoutes | None = None


def all_policies() -> list[Policy]:
    """Returns the product first, then the baselines."""
    return [
        Policy("cactusstile", _return_unchanged),
        Policy("round_robin", without_stores, _round_robin),
        Policy("least_loaded", without_stores, _least_loaded),
        Policy("no_kept_state", without_stores),
        Policy("fetch_always", _fetch_always, _ignore_link_cost),
    ]


def without_stores(fleet: model.Fleet) -> model.Fleet:
    """Returns the fleet without stores, so that no blocks are stored."""
    targets = {
        name: target
        for name, target in fleet.targets.items()
        if target.kind is not model.TargetKind.STORE
    }
    return attrs.evolve(fleet, targets=targets)


def _return_unchanged(fleet: model.Fleet) -> model.Fleet:
    return fleet


def _fetch_always(fleet: model.Fleet) -> model.Fleet:
    """Returns the fleet with weights that make each transfer worthwhile."""
    return _with_weights(fleet, first_token=0.0, recompute=1.0, link=0.0)


def _with_weights(
    fleet: model.Fleet, *, first_token: float, recompute: float, link: float
) -> model.Fleet:
    deployments = {
        name: attrs.evolve(
            deployment,
            first_token_weight=first_token,
            recompute_weight=recompute,
            link_weight=link,
        )
        for name, deployment in fleet.deployments.items()
    }
    return attrs.evolve(fleet, deployments=deployments)


def _ignore_link_cost(find_fleet: FindFleet, _: Reports) -> routes.Routes:
    """Returns the product's routes, with a link weight of zero."""
    cached: list[tuple[model.Fleet, model.Fleet]] = []

    def find_reweighted_fleet() -> model.Fleet:
        fleet = find_fleet()
        if not cached or cached[-1][0] is not fleet:
            reweighted = _with_weights(
                fleet, first_token=1.0, recompute=1.0, link=0.0
            )
            cached[:] = [(fleet, reweighted)]
        return cached[-1][1]

    return _build_product_routes(find_reweighted_fleet)


def _build_product_routes(find_fleet: FindFleet) -> routes.Routes:
    """Returns the product's routes."""
    storm_confinement = confinement.Confinement(time.monotonic)
    return home_routes.build(find_fleet, storm_confinement=storm_confinement)


def _round_robin(find_fleet: FindFleet, _: Reports) -> routes.Routes:
    sequence = itertools.count()

    def select_target(targets: list[model.Target]) -> model.Target:
        return targets[next(sequence) % len(targets)]

    return _build_single_target_routes(find_fleet, select_target)


def _least_loaded(find_fleet: FindFleet, reports: Reports) -> routes.Routes:
    def select_target(targets: list[model.Target]) -> model.Target:
        return min(targets, key=lambda target: reports.get(target.name, 0))

    return _build_single_target_routes(find_fleet, select_target)


def _build_single_target_routes(
    find_fleet: FindFleet, select_target: SelectTarget
) -> routes.Routes:
    """Returns routes that probe a single target and choose it."""

    def candidates(
        call: calls.PromptCall,
        excluded: collections.abc.Collection[str],
        _: collections.abc.Mapping[str, int],
    ) -> list[model.Target]:
        remaining = [
            target
            for target in find_fleet().targets_of(call.deployment)
            if target.name not in excluded
        ]
        return [select_target(remaining)] if remaining else []

    def choose(
        _call: calls.PromptCall,
        _version: str,
        probed: collections.abc.Sequence[routes.ProbedTarget],
        _held: client.StoredPrefix,
    ) -> routes.Placement:
        return routes.Placement(probed[0].target, probed[0].reply.version)

    return attrs.evolve(
        _build_product_routes(find_fleet), candidates=candidates, choose=choose
    )
