"""Estimates whether fetching KV cache is faster than recomputing it.

Handles links that become slow. What a fetch adds to the time to the first event
is compared with the time in which the route's other prompts are prefilled, so
that busy engines are not taken for slow links. A source that is slower than
prefill is not used until its estimate has decayed. Gateways tell each other
what they observe: in a large site each of them alone sees too few fetches.
"""

from __future__ import annotations

import attrs

from cactusstile.sites import messages

# Assumed prefill time before the first observation of a route.
INITIAL_PREFILL_S_PER_TOKEN = 1 / 40_000
# Weights of the newest observation in the moving averages.
PREFILL_EWMA_WEIGHT = 0.1
FETCH_EWMA_WEIGHT = 0.3
# Shorter prompts give no usable observation.
MIN_SAMPLE_TOKENS = 500
# Shorter fetches give none either; up to the second length they count less,
# since other delays outweigh theirs.
MIN_FETCHED_TOKENS = 100
FULL_WEIGHT_TOKENS = 4000
# Half-life of a fetch estimate; its decay makes a slow source be retried.
HALF_LIFE_S = 1.0
# Fetches may be this much slower than prefill, since prefill also delays other
# requests.
MAX_FETCH_TO_PREFILL_RATIO = 1.5


@attrs.frozen
class FirstEvent:
    """Time to the first event of one request.

    Attributes:
      route: Name of its route.
      cost_tokens: Prompt tokens to prefill before it, those queued ahead
        included.
      elapsed_s: Time from the request to the event.
    """

    route: str
    cost_tokens: float
    elapsed_s: float


@attrs.define
class _Estimate:
    """Time to fetch relative to prefill, at the time of its last update."""

    ratio: float
    updated_s: float

    def now(self, now_s: float) -> float:
        """Returns the estimate after its decay since the last update."""
        decay: float = 0.5 ** ((now_s - self.updated_s) / HALF_LIFE_S)
        return self.ratio * decay


@attrs.define
class FetchCosts:
    """Estimated time of prefill and of fetches.

    Attributes:
      prefill_s_per_token: Time to the first event per token of estimated cost,
        by route. It includes what the route's priority makes prompts wait.
      sources: Estimate of each store or engine, by address.
    """

    prefill_s_per_token: dict[str, float] = attrs.field(factory=dict)
    sources: dict[str, _Estimate] = attrs.field(factory=dict)

    def record_prefill(self, sample: FirstEvent) -> None:
        """Records a request without fetches."""
        if sample.cost_tokens < MIN_SAMPLE_TOKENS:
            return
        observed = sample.elapsed_s / sample.cost_tokens
        before = self.prefill_s_per_token.get(sample.route, observed)
        after = before + PREFILL_EWMA_WEIGHT * (observed - before)
        self.prefill_s_per_token[sample.route] = after

    def record_fetch(
        self, source: str, fetched_tokens: int, sample: FirstEvent, now_s: float
    ) -> messages.ObservedFetch | None:
        """Records a request that fetched tokens from a store or engine.

        Returns:
          The observation, for other gateways; None if the fetch was too short
          for one.
        """
        if fetched_tokens < MIN_FETCHED_TOKENS:
            return None
        s_per_token = self.prefill_s_per_token.get(
            sample.route, INITIAL_PREFILL_S_PER_TOKEN
        )
        total_tokens = sample.elapsed_s / s_per_token
        excess_tokens = max(0.0, total_tokens - sample.cost_tokens)
        observed = messages.ObservedFetch(
            source, fetched_tokens, excess_tokens / fetched_tokens
        )
        self.apply(observed, now_s)
        return observed

    def apply(self, observed: messages.ObservedFetch, now_s: float) -> None:
        """Updates the estimate of a source from an observed fetch."""
        estimate = self.sources.get(observed.source)
        before = 0.0 if estimate is None else estimate.now(now_s)
        weight = FETCH_EWMA_WEIGHT * min(
            1.0, observed.tokens / FULL_WEIGHT_TOKENS
        )
        after = before + weight * (observed.ratio - before)
        self.sources[observed.source] = _Estimate(after, now_s)

    def is_worthwhile(self, source: str, now_s: float) -> bool:
        """Returns whether fetches from a store or engine are fast enough.

        >>> costs = FetchCosts({"r": 1e-5})
        >>> fetch = FirstEvent("r", cost_tokens=0, elapsed_s=1.0)
        >>> round(costs.record_fetch("s", 1000, fetch, now_s=0.0).ratio)
        100
        >>> costs.is_worthwhile("s", now_s=0.1)
        False
        >>> costs.is_worthwhile("s", now_s=9.0)
        True
        """
        estimate = self.sources.get(source)
        if estimate is None:
            return True
        return estimate.now(now_s) <= MAX_FETCH_TO_PREFILL_RATIO
