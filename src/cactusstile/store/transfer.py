"""Policy of transfers: fetch or compute, export or not.

Costs are milliseconds weighted by what the deployment values, the same sum as
in `routing.choice`. Link use counts as the time for which a transfer occupies
its link, raised by the link's price; inside a data centre it is free.
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
    """Budgets of the limited links that this process sends over.

    Attributes:
      buckets: Budgets so far, by sorted pair of data centres.
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
          one: A data centre.
          other: The other one.
          sharers: Processes that share the link; each takes an equal part.
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
    """What a fetch could save.

    Attributes:
      blocks: Kept blocks that are not resident.
      total_bytes: Their size.
      recompute_ms: Time to compute them.
      wait_ms: Time until the run could start anyway.
    """

    blocks: int
    total_bytes: int
    recompute_ms: float
    wait_ms: float = 0.0


@attrs.frozen
class Plan:
    """Whether to fetch.

    Attributes:
      blocks: Blocks to fetch; 0 computes all.
      expected_ms: Expected time of the transfer.
      limit_ms: Time after which to give up and compute the rest.
    """

    blocks: int
    expected_ms: float = 0.0
    limit_ms: float = 0.0


def transfer_ms(size: int, link: token_bucket.TokenBucket | None) -> float:
    """Returns the expected time of a transfer, with what the link owes."""
    if link is None:
        return FETCH_OVERHEAD_MS + size / LOCAL_BYTES_PER_S * 1000
    return FETCH_OVERHEAD_MS + link.delay_s(size) * 1000


def link_cost_ms(size: int, link: token_bucket.TokenBucket | None) -> float:
    """Returns the weighed link use of a transfer."""
    if link is None:
        return 0.0
    occupied_ms = size / link.bytes_per_s * 1000
    return occupied_ms * (1 + link.price_per_gb)


def plan_fetch(
    need: FetchCandidate,
    weights: choice.Weights,
    link: token_bucket.TokenBucket | None = None,
) -> Plan:
    """Returns whether the kept blocks are worth their transfer.

    A fetch that is planned must still take its bytes from `link`.
    """
    if need.blocks <= 0 or need.recompute_ms <= 0:
        return Plan(0)
    expected_ms = transfer_ms(need.total_bytes, link)
    late_ms = max(need.wait_ms, expected_ms) - need.wait_ms
    fetch = weights.first_token * late_ms
    fetch += weights.link * link_cost_ms(need.total_bytes, link)
    compute = (weights.first_token + weights.recompute) * need.recompute_ms
    if fetch >= compute:
        return Plan(0)
    return Plan(need.blocks, expected_ms, expected_ms * SLOW_FETCH_FACTOR)


def is_export_worthwhile(
    need: FetchCandidate,
    return_probability: float,
    weights: choice.Weights,
    link: token_bucket.TokenBucket | None = None,
) -> bool:
    """Returns whether blocks are worth keeping on a store.

    Compares the expected saving of a later fetch with the link use of the
    export itself; `need` describes the blocks as the later fetch would.
    """
    if need.blocks <= 0:
        return False
    fetch_ms = transfer_ms(need.total_bytes, link)
    export_cost = weights.link * link_cost_ms(need.total_bytes, link)
    saving = (weights.first_token + weights.recompute) * need.recompute_ms
    saving -= weights.first_token * fetch_ms + export_cost
    return return_probability * saving > export_cost
