"""Product and baselines at a load that keeps the product's engines busy.

The load tool counts prompts as if computed whole, of which the product
computes a part. This one looks for the offered load at which the engines spend
the given share of their time on prompts under the product's policy, and runs
all baselines on that trace.

python -m benchmarks.busy_engines --site teras --seed 1 --busy 0.7
"""

from __future__ import annotations

import sys

import fire

from benchmarks import baselines
from benchmarks import load
from benchmarks import sites
from benchmarks import traces

TOLERANCE = 0.02
MAX_STEPS = 6


def find_load(
    site: sites.Site, seed: int, duration_s: float, busy: float
) -> float:
    """Returns the load at which the product's engines are `busy`.

    Raises:
      ValueError: If it was not found in `MAX_STEPS` runs.
    """
    offered = 3.0 * busy
    for _ in range(MAX_STEPS):
        trace = traces.generate(site, seed, duration_s, offered)
        result = load.run_policy(site, trace, baselines.product(), duration_s)
        print(f"load {offered:.3f}: engines {result.utilization:.3f} busy")
        if abs(result.utilization - busy) <= TOLERANCE:
            return offered
        offered *= busy / result.utilization
    raise ValueError("no load found; set another seed or a longer duration")


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
      busy: Share of the engines' time under the product's policy.
      duration_s: Length of the trace in virtual seconds.
      json_file: File to write the figures to.
    """
    offered = find_load(sites.SITES[site], seed, duration_s, busy)
    load.main(site, seed, offered, duration_s, json_file=json_file)


if __name__ == "__main__":
    sys.exit(fire.Fire(main))
