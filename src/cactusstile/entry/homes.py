"""Routes by rendezvous hashing, probes and the deployment's weights."""

from __future__ import annotations

import random
import time
import typing

from cactusstile import verdict
from cactusstile.entry import calls
from cactusstile.entry import kept
from cactusstile.entry import routes
from cactusstile.limits import confinement
from cactusstile.routing import candidates as routing_candidates
from cactusstile.routing import choice
from cactusstile.routing import fleet_index
from cactusstile.routing import link_use
from cactusstile.state import model
from cactusstile.store import client as store_client

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.transport import pool

    FindFleet = collections.abc.Callable[[], model.Fleet]


def build(
    find_fleet: FindFleet,
    *,
    peers: pool.Pool | None = None,
    confining: confinement.Confinement | None = None,
    count_confined: collections.abc.Callable[[], None] = lambda: None,
    reserve: bool = False,
) -> routes.Routes:
    """Returns routes to the homes of a prompt.

    Args:
      find_fleet: Returns the fleet in force.
      peers: Connections to the stores; None asks no store.
      confining: Tells which workspaces are confined to a part of the targets;
        None confines nobody.
      count_confined: Called for each placement that is confined.
      reserve: Whether probes hold a place for a moment.
    """
    index = fleet_index.FleetIndex(find_fleet)
    held = confining or confinement.Confinement(time.monotonic, 0.0)

    def note_arrival(call: calls.PromptCall) -> None:
        workspace = find_fleet().workspaces.get(call.workspace)
        share = workspace.share if workspace is not None else 1.0
        held.use.note(call.workspace, len(call.tokens), share)

    return routes.Routes(
        _build_candidates(index, held, count_confined),
        kept.KeptFinder(peers, index).find if peers else kept.find_nothing,
        _build_choose(find_fleet, index, held),
        _build_service_order(index),
        note_arrival,
        reserve,
    )


def _build_candidates(
    index: fleet_index.FleetIndex,
    confining: confinement.Confinement,
    count_confined: collections.abc.Callable[[], None],
) -> routes.Candidates:
    def find_homes(
        call: calls.PromptCall, excluded: collections.abc.Collection[str]
    ) -> list[model.Target]:
        if not confining.applies(call.workspace, call.deployment):
            return index.homes(call.deployment, call.prefix_key, excluded)
        count_confined()
        return index.confined_homes(
            call.deployment, call.workspace, call.prefix_key, excluded
        )

    def candidates(
        call: calls.PromptCall,
        excluded: collections.abc.Collection[str],
        running: collections.abc.Mapping[str, int],
    ) -> list[model.Target]:
        near = find_homes(call, excluded)
        by_name = {target.name: target for target in near}
        members = [fleet_index.to_member(target) for target in near]
        stores = index.stores(call.deployment, call.prefix_key)
        store_side = stores[0].data_centre if stores else ""
        homes = routing_candidates.select(members, running, near=store_side)
        return [by_name[home.name] for home in homes]

    return candidates


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
    confining: confinement.Confinement,
) -> routes.Choose:
    def choose(
        call: calls.PromptCall,
        version: str,
        probed: collections.abc.Sequence[routes.Probed],
        held: store_client.StoredPrefix,
    ) -> routes.Placement:
        confining.observe_waits(
            call.deployment, [entry.reply.wait_ms for entry in probed]
        )
        fleet = find_fleet()
        weights = choice.weights_of(fleet, call.deployment)
        transfers = _transfers(fleet, index, call, probed, held)
        left_ms = calls.time_left_ms(call.deadline_s)
        request = choice.Request(len(call.tokens), version, left_ms)
        by_name = {entry.target.name: entry.target for entry in probed}
        options = [
            choice.Probed(fleet_index.to_member(entry.target), entry.reply)
            for entry in probed
        ]
        chosen = choice.choose(
            options,
            request,
            weights,
            transfers.import_ms,
            transfers.link_ms,
            kept_blocks=held.blocks,
        )
        if chosen.refusal is not None:
            raise verdict.RefusedError(chosen.refusal)
        best = chosen.options[0]
        return routes.Placement(
            by_name[best.member.name], best.version, best.reservation
        )

    return choose


def _transfers(
    fleet: model.Fleet,
    index: fleet_index.FleetIndex,
    call: calls.PromptCall,
    probed: collections.abc.Sequence[routes.Probed],
    held: store_client.StoredPrefix,
) -> link_use.Transfers:
    """Returns what transfers of a prompt's blocks would take."""
    store = held.store
    if store is None:
        stores = index.stores(call.deployment, call.prefix_key)
        store = stores[0] if stores else None
    told_bytes = max((entry.reply.block_bytes for entry in probed), default=0)
    block_bytes = told_bytes or link_use.TYPICAL_BLOCK_BYTES
    return link_use.Transfers(fleet, store, block_bytes)
