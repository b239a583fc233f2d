"""Transfer policy: whether to fetch or recompute blocks, and to export them.

Costs are milliseconds weighted by the deployment's weights, as in
`routing.choice`. Link use is the time for which a transfer occupies its link,
increased by the price of the link. Transfers within a data centre are free.
"""

from __future__ import annotations

import typing

import attrs

from cactusstile.limits import token_bucket
from cactusstile.routing import choice

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.state import model

LOCAL_BYTES_PER_S = 1_000_000_000.0
FETCH_OVERHEAD_MS = 2.0
SLOW_FETCH_FACTOR = 2.0


class Links:
    """Budgets of the limited links over which this process sends.

    Attributes:
      buckets: Budgets in use, by sorted pair of data centres.
    """

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        """Starts without links; `clock` returns monotonic seconds."""
        self.buckets: dict[tuple[str, str], token_bucket.TokenBucket] = {}
        self._clock = clock

    def between(
        self, fleet: model.Fleet, one: str, other: str, sharers: int = 1
    ) -> token_bucket.TokenBucket | None:
        """Returns the budget between two data centres; None if unlimited.

        Args:
          fleet: Configuration in force.
          one: Name of a data centre.
          other: Name of the other data centre.
          sharers: Number of processes on the link; each gets an equal fraction
            of its bandwidth.
        """
        link = fleet.link(one, other) if one != other else None
        if link is None:
            return None
        rate = link.bytes_per_s / max(1, sharers)
        pair = link.data_centres
        bucket = self.buckets.get(pair)
        if bucket is None:
            bucket = token_bucket.TokenBucket(
                rate, self._clock, price_per_gb=link.price
            )
            self.buckets[pair] = bucket
        bucket.bytes_per_s = rate
        bucket.price_per_gb = link.price
        return bucket


@attrs.frozen
class FetchCandidate:
    """Blocks that could be fetched instead of recomputed.

    Attributes:
      blocks: Number of stored blocks that are not resident in the engine.
      total_bytes: Total size of these blocks.
      recompute_ms: Time to recompute these blocks.
      wait_ms: Time until the run can start in any case.
    """

    blocks: int
    total_bytes: int
    recompute_ms: float
    wait_ms: float = 0.0


@attrs.frozen
class Plan:
    """Decision on a fetch.

    Attributes:
      blocks: Number of blocks to fetch; 0 to recompute all.
      expected_ms: Expected time of the transfer.
      limit_ms: Time after which the fetch is abandoned and the remaining blocks
        are recomputed.
    """

    blocks: int
    expected_ms: float = 0.0
    limit_ms: float = 0.0


def transfer_ms(size: int, link: token_bucket.TokenBucket | None) -> float:
    """Returns the expected transfer time, including the backlog of the link."""
    if link is None:
        return FETCH_OVERHEAD_MS + size / LOCAL_BYTES_PER_S * 1000
    return FETCH_OVERHEAD_MS + link.delay_s(size) * 1000


def link_cost_ms(size: int, link: token_bucket.TokenBucket | None) -> float:
    """Returns the link use of a transfer, increased by the link's price."""
    if link is None:
        return 0.0
    occupied_ms = size / link.bytes_per_s * 1000
    return occupied_ms * (1 + link.price_per_gb)


def plan_fetch(
    candidate: FetchCandidate,
    weights: choice.Weights,
    link: token_bucket.TokenBucket | None = None,
) -> Plan:
    """Returns whether fetching stored blocks costs less than recomputing them.

    The caller still has to take the bytes of a planned fetch from `link`.
    """
    if candidate.blocks <= 0 or candidate.recompute_ms <= 0:
        return Plan(0)
    expected_ms = transfer_ms(candidate.total_bytes, link)
    delay_ms = max(candidate.wait_ms, expected_ms) - candidate.wait_ms
    fetch_cost = weights.first_token * delay_ms
    fetch_cost += weights.link * link_cost_ms(candidate.total_bytes, link)
    recompute_cost = (
        weights.first_token + weights.recompute
    ) * candidate.recompute_ms
    if fetch_cost >= recompute_cost:
        return Plan(0)
    return Plan(candidate.blocks, expected_ms, expected_ms * SLOW_FETCH_FACTOR)


def is_export_worthwhile(
    candidate: FetchCandidate,
    return_probability: float,
    weights: choice.Weights,
    link: token_bucket.TokenBucket | None = None,
) -> bool:
    """Returns whether blocks are worth exporting to a store.

    Compares the expected saving of a later fetch with the link use of the
    export; `candidate` describes the blocks of that later fetch.
    """
    if candidate.blocks <= 0:
        return False
    fetch_ms = transfer_ms(candidate.total_bytes, link)
    export_cost = weights.link * link_cost_ms(candidate.total_bytes, link)
    saving = (weights.first_token + weights.recompute) * candidate.recompute_ms
    saving -= weights.first_token * fetch_ms + export_cost
    return return_probability * saving > export_cost
