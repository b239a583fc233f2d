"""The product and the baselines that it is measured against over HTTP.

A policy changes the fleet that is put in force, the entry's routes, or both;
everything else is the product.
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
Pick: typing.TypeAlias = collections.abc.Callable[
    [list[model.Target]], model.Target
]


@attrs.frozen
class Policy:
    """A way to serve the trace.

    Attributes:
      name: Name in the report.
      prepare: Returns the fleet that is put in force.
      build_routes: Returns the entry's routes, given the lagging reports of
        requests by target; None for the product's.
    """

    name: str
    prepare: collections.abc.Callable[[model.Fleet], model.Fleet]
    build_routes: BuildRoutes | None = None


def all_policies() -> list[Policy]:
    """Returns the product first, then the baselines."""
    return [
        Policy("cactusstile", _unchanged),
        Policy("round_robin", without_stores, _round_robin),
        Policy("least_loaded", without_stores, _least_loaded),
        Policy("no_kept_state", without_stores),
        Policy("fetch_always", _fetch_always, _link_blind),
    ]


def without_stores(fleet: model.Fleet) -> model.Fleet:
    """Returns the fleet without its stores, so that nothing is kept."""
    targets = {
        name: target
        for name, target in fleet.targets.items()
        if target.kind is not model.TargetKind.STORE
    }
    return attrs.evolve(fleet, targets=targets)


def _unchanged(fleet: model.Fleet) -> model.Fleet:
    return fleet


def _fetch_always(fleet: model.Fleet) -> model.Fleet:
    """Returns the fleet with weights by which each transfer pays."""
    return _reweigh(fleet, first_token=0.0, recompute=1.0, link=0.0)


def _reweigh(
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


def _link_blind(find_fleet: FindFleet, _: Reports) -> routes.Routes:
    """Returns the product's routes, with links left out of the choice."""
    seen: list[tuple[model.Fleet, model.Fleet]] = []

    def find() -> model.Fleet:
        fleet = find_fleet()
        if not seen or seen[-1][0] is not fleet:
            blind = _reweigh(fleet, first_token=1.0, recompute=1.0, link=0.0)
            seen[:] = [(fleet, blind)]
        return seen[-1][1]

    return _build_homes(find)


def _build_homes(find_fleet: FindFleet) -> routes.Routes:
    """Returns the product's routes."""
    storm_confinement = confinement.Confinement(time.monotonic)
    return home_routes.build(find_fleet, storm_confinement=storm_confinement)


def _round_robin(find_fleet: FindFleet, _: Reports) -> routes.Routes:
    numbers = itertools.count()

    def pick(targets: list[model.Target]) -> model.Target:
        return targets[next(numbers) % len(targets)]

    return _build_single(find_fleet, pick)


def _least_loaded(find_fleet: FindFleet, reports: Reports) -> routes.Routes:
    def pick(targets: list[model.Target]) -> model.Target:
        return min(targets, key=lambda target: reports.get(target.name, 0))

    return _build_single(find_fleet, pick)


def _build_single(find_fleet: FindFleet, pick: Pick) -> routes.Routes:
    """Returns routes that probe one target and take it."""

    def candidates(
        call: calls.PromptCall,
        excluded: collections.abc.Collection[str],
        _: collections.abc.Mapping[str, int],
    ) -> list[model.Target]:
        left = [
            target
            for target in find_fleet().targets_of(call.deployment)
            if target.name not in excluded
        ]
        return [pick(left)] if left else []

    def choose(
        _call: calls.PromptCall,
        _version: str,
        probed: collections.abc.Sequence[routes.ProbedTarget],
        _held: client.StoredPrefix,
    ) -> routes.Placement:
        return routes.Placement(probed[0].target, probed[0].reply.version)

    return attrs.evolve(
        _build_homes(find_fleet), candidates=candidates, choose=choose
    )
