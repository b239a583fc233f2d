"""Routes of prompts to home targets, and of calls to plain services.

A home target of a prompt is chosen by rendezvous hashing of its prefix key.
The entry probes some of them and picks one by the deployment's cost weights.
"""

from __future__ import annotations

import random
import time
import typing

from cactusstile import verdict
from cactusstile.entry import calls
from cactusstile.entry import routes
from cactusstile.entry import stored_blocks
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
    storm_confinement: confinement.Confinement | None = None,
    count_confined: collections.abc.Callable[[], None] = lambda: None,
    reserve: bool = False,
) -> routes.Routes:
    """Returns routes to the home targets of each prompt.

    Args:
      find_fleet: Returns the fleet in force.
      peers: Connections to the stores; None to query no store.
      storm_confinement: Decides which workspaces are confined to a subset of
        the targets; None confines no workspace.
      count_confined: Called each time the candidates of a confined
        workspace are selected.
      reserve: Whether probes make a short-lived reservation.
    """
    index = fleet_index.FleetIndex(find_fleet)
    active_confinement = storm_confinement or confinement.Confinement(
        time.monotonic, 0.0
    )

    def record_arrival(call: calls.PromptCall) -> None:
        workspace = find_fleet().workspaces.get(call.workspace)
        share = workspace.share if workspace is not None else 1.0
        active_confinement.use.record(call.workspace, len(call.tokens), share)

    return routes.Routes(
        _build_candidates(index, active_confinement, count_confined),
        stored_blocks.StoredBlockFinder(peers, index).find
        if peers
        else stored_blocks.find_no_blocks,
        _build_choose(find_fleet, index, active_confinement),
        _build_rank_service_targets(index),
        record_arrival,
        reserve,
    )


def _build_candidates(
    index: fleet_index.FleetIndex,
    storm_confinement: confinement.Confinement,
    count_confined: collections.abc.Callable[[], None],
) -> routes.Candidates:
    def find_home_targets(
        call: calls.PromptCall, excluded: collections.abc.Collection[str]
    ) -> list[model.Target]:
        if not storm_confinement.is_confined(call.workspace, call.deployment):
            return index.home_targets(
                call.deployment, call.prefix_key, excluded
            )
        count_confined()
        return index.confined_home_targets(
            call.deployment, call.workspace, call.prefix_key, excluded
        )

    def candidates(
        call: calls.PromptCall,
        excluded: collections.abc.Collection[str],
        running: collections.abc.Mapping[str, int],
    ) -> list[model.Target]:
        home_targets = find_home_targets(call, excluded)
        by_name = {target.name: target for target in home_targets}
        members = [fleet_index.to_member(target) for target in home_targets]
        stores = index.stores(call.deployment, call.prefix_key)
        store_data_centre = stores[0].data_centre if stores else ""
        selected = routing_candidates.select(
            members, running, near=store_data_centre
        )
        return [by_name[member.name] for member in selected]

    return candidates


def _build_rank_service_targets(
    index: fleet_index.FleetIndex,
) -> routes.RankServiceTargets:
    def rank_service_targets(
        request: calls.ServiceRequest,
        excluded: collections.abc.Collection[str],
        running: collections.abc.Mapping[str, int],
    ) -> list[model.Target]:
        remaining = [
            target
            for target in index.targets(request.service)
            if target.name not in excluded
        ]
        random.shuffle(remaining)
        remaining.sort(key=lambda target: running.get(target.name, 0))
        return remaining

    return rank_service_targets


def _build_choose(
    find_fleet: FindFleet,
    index: fleet_index.FleetIndex,
    storm_confinement: confinement.Confinement,
) -> routes.Choose:
    def choose(
        call: calls.PromptCall,
        version: str,
        probed: collections.abc.Sequence[routes.ProbedTarget],
        stored: store_client.StoredPrefix,
    ) -> routes.Placement:
        storm_confinement.observe_waits(
            call.deployment, [entry.reply.wait_ms for entry in probed]
        )
        fleet = find_fleet()
        weights = choice.weights_of(fleet, call.deployment)
        transfers = _build_transfers(fleet, index, call, probed, stored)
        remaining_ms = calls.time_left_ms(call.deadline_s)
        request = choice.Request(len(call.tokens), version, remaining_ms)
        by_name = {entry.target.name: entry.target for entry in probed}
        options = [
            choice.Candidate(fleet_index.to_member(entry.target), entry.reply)
            for entry in probed
        ]
        chosen = choice.choose(
            options,
            request,
            weights,
            transfers.import_ms,
            transfers.link_ms,
            stored_blocks=stored.blocks,
        )
        if chosen.refusal is not None:
            raise verdict.RefusedError(chosen.refusal)
        best = chosen.options[0]
        return routes.Placement(
            by_name[best.member.name], best.version, best.reservation
        )

    return choose


def _build_transfers(
    fleet: model.Fleet,
    index: fleet_index.FleetIndex,
    call: calls.PromptCall,
    probed: collections.abc.Sequence[routes.ProbedTarget],
    stored: store_client.StoredPrefix,
) -> link_use.TransferEstimator:
    """Returns the estimated costs of transferring a prompt's blocks.

    Assumes the typical block size if no probed agent reports one.
    """
    store = stored.store
    if store is None:
        stores = index.stores(call.deployment, call.prefix_key)
        store = stores[0] if stores else None
    reported_block_bytes = max(
        (entry.reply.block_bytes for entry in probed), default=0
    )
    block_bytes = reported_block_bytes or link_use.TYPICAL_BLOCK_BYTES
    return link_use.TransferEstimator(fleet, store, block_bytes)
