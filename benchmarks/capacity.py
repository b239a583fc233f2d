"""Estimates the load of one node at the target size from measured slopes.

Run: python -m benchmarks.capacity
"""

from __future__ import annotations

import json

import attrs

from cactusstile.state import relay


@attrs.frozen
class Target:
    """Target size of the system, as required by its users."""

    nodes: int = 670
    control_vms: int = 10
    workers: int = 7_800
    requests_per_s: float = 110_000
    tokens_per_s: float = 32_000_000
    token_interval_s: float = 0.068
    prompts: int = 4_600_000
    workspaces: int = 5_800
    models: int = 6
    changes_per_day: float = 45_000


@attrs.frozen
class Slopes:
    """Measured unit costs; docs/CAPACITY.md lists the command for each.

    Attributes:
      write_us: Processor time of a relayed batch that is written on its own.
      request_ms: Processor time of a one-token request at an entry.
      homes_us: Time to rank the workers of a deployment by rendezvous hashing.
      subscriber_us_per_s: Processor time per second of an idle subscription,
        both ends.
      subscriber_bytes_per_s: Frame bytes per second of an idle subscription,
        both directions.
      delta_us: Processor time of a delta per subscription, both ends.
      delta_frame_bytes: Frame bytes of a delta per subscription, both
        directions, without the change itself.
      change_bytes: Size of a change.
      workspace_bytes: Memory of a workspace in a node's copy of the fleet.
      target_bytes: Memory of a target in a node's copy of the fleet.
      kept_block_bytes: Memory of a store's record of a block, without content.
    """

    write_us: float = 140
    request_ms: float = 1.6
    homes_us: float = 278
    subscriber_us_per_s: float = 684
    subscriber_bytes_per_s: float = 61
    delta_us: float = 765
    delta_frame_bytes: float = 191
    change_bytes: float = 183
    workspace_bytes: float = 450
    target_bytes: float = 491
    kept_block_bytes: float = 510


PROMPT_TOKENS = 2_000
BLOCK_TOKENS = 16
STORES = 300
SECONDS_PER_DAY = 86_400


def estimate_loads(target: Target, slopes: Slopes) -> dict[str, float]:
    """Returns the loads of one node by name."""
    entries = target.nodes - target.control_vms
    children = (target.workers + STORES) / entries
    changes_per_s = target.changes_per_day / SECONDS_PER_DAY
    tokens_per_request = target.tokens_per_s / target.requests_per_s
    request_s = tokens_per_request * target.token_interval_s
    requests = target.requests_per_s / entries
    streams = requests * request_s
    writes = streams / target.token_interval_s
    blocks = target.prompts * PROMPT_TOKENS / BLOCK_TOKENS / STORES
    copy_bytes = (
        target.workspaces * slopes.workspace_bytes
        + (target.workers + STORES) * slopes.target_bytes
    )
    return {
        "entry_requests_per_s": requests,
        "entry_streams": streams,
        "entry_tokens_per_s": target.tokens_per_s / entries,
        "entry_writes_per_s": writes,
        "entry_cores_for_writes": writes * slopes.write_us / 1e6,
        "entry_cores_for_requests": requests * slopes.request_ms / 1e3,
        "entry_cores_for_homes": requests * slopes.homes_us / 1e6,
        "entry_children_in_tree": children,
        **_control_loads(children + 1, changes_per_s, slopes),
        "fleet_copy_megabytes": copy_bytes / 1e6,
        "agent_requests_per_s": target.requests_per_s / target.workers,
        "agent_tokens_per_s": target.tokens_per_s / target.workers,
        "store_blocks": blocks,
        "store_index_gigabytes": blocks * slopes.kept_block_bytes / 1e9,
        "changes_per_s": changes_per_s,
    }


def _control_loads(
    edges: float, changes_per_s: float, slopes: Slopes
) -> dict[str, float]:
    """Returns the loads of configuration updates on a relaying entry."""
    # The first change is sent at once; changes in the following interval are
    # sent together.
    deltas_per_s = 1 / (1 / changes_per_s + relay.COALESCE_INTERVAL_S)
    edge_us = slopes.subscriber_us_per_s + deltas_per_s * slopes.delta_us
    edge_bytes = (
        slopes.subscriber_bytes_per_s
        + deltas_per_s * slopes.delta_frame_bytes
        + changes_per_s * slopes.change_bytes
    )
    return {
        "deltas_per_s": deltas_per_s,
        "control_percent_of_core": edges * edge_us / 2 / 1e6 * 100,
        "control_bytes_per_s": edges * edge_bytes,
        "control_bytes_per_s_of_agent": edge_bytes,
    }


def main() -> None:
    """Prints the loads as JSON."""
    loads = estimate_loads(Target(), Slopes())
    print(
        json.dumps({name: round(v, 3) for name, v in loads.items()}, indent=1)
    )


if __name__ == "__main__":
    main()
