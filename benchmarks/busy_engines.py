"""Compares product and baselines at a given utilization of the engines.

The load tool defines load as if all prompt tokens were computed, but the
product computes only a fraction of them. This benchmark searches for the
offered load at which engines spend the given fraction of their time on prompts
under the product's policy, then runs all baselines on that trace.

python -m benchmarks.busy_engines --site teras --seed 1 --busy 0.7
"""

from __future__ import annotations

import sys

import fire

from benchmarks import baselines
from benchmarks import load
from benchmarks import sites
from benchmarks import traces

UTILIZATION_TOLERANCE = 0.02
MAX_STEPS = 6


def find_load(
    site: sites.Site, seed: int, duration_s: float, busy: float
) -> float:
    """Returns the load at which the engines reach the utilization `busy`.

    Raises:
      ValueError: If no load is found within `MAX_STEPS` runs.
    """
    offered = 3.0 * busy
    for _ in range(MAX_STEPS):
        trace = traces.generate(site, seed, duration_s, offered)
        result = load.run_policy(site, trace, baselines.product(), duration_s)
        print(f"load {offered:.3f}: engines {result.utilization:.3f} busy")
        if abs(result.utilization - busy) <= UTILIZATION_TOLERANCE:
            return offered
        offered *= busy / result.utilization
    raise ValueError("no load found; use another seed or a longer duration")


def main(
    site: str = "ledgerfield",
    seed: int = 1,
    busy: float = 0.7,
    duration_s: float = 600.0,
    *,
    json_file: str = "",
) -> None:
    """Finds the load, then runs the product and its baselines at it.

    Args:
      site: ledgerfield or teras.
      seed: Seed of the trace.
      busy: Fraction of time that engines compute prompts under the product's
        policy.
      duration_s: Duration of the trace in virtual seconds.
      json_file: File to write the results to.
    """
    offered = find_load(sites.SITES[site], seed, duration_s, busy)
    load.main(site, seed, offered, duration_s, json_file=json_file)


if __name__ == "__main__":
    sys.exit(fire.Fire(main))
