"""Estimates whether fetching KV cache is faster than recomputing it.

Handles links that become slow. The delay that fetches add to the first event is
estimated for each source, a store or an engine. A source that is slower than
prefill is not used until its estimate has decayed.
"""

from __future__ import annotations

import attrs

# Assumed prefill time before the first observation.
INITIAL_PREFILL_S_PER_TOKEN = 1 / 40_000
# Weights of the newest observation in the moving averages.
PREFILL_EWMA_WEIGHT = 0.05
FETCH_EWMA_WEIGHT = 0.3
# Shorter prompts or fetches give no usable observation.
MIN_SAMPLE_TOKENS = 500
# Half-life of a fetch estimate; its decay makes a slow source be retried.
HALF_LIFE_S = 1.0
# Fetches may be this much slower than prefill, since prefill also delays other
# requests.
MAX_FETCH_TO_PREFILL_RATIO = 1.5


@attrs.define
class _Estimate:
    """Estimated delay per fetched token at the time of its last update."""

    s_per_token: float
    updated_s: float

    def now(self, now_s: float) -> float:
        """Returns the estimate after its decay since the last update."""
        decay: float = 0.5 ** ((now_s - self.updated_s) / HALF_LIFE_S)
        return self.s_per_token * decay


@attrs.define
class FetchCosts:
    """Estimated time of prefill and of fetches.

    Attributes:
      prefill_s_per_token: Time to the first event per token of estimated cost.
      stores: Delay per fetched token, by address of the store or engine.
    """

    prefill_s_per_token: float = INITIAL_PREFILL_S_PER_TOKEN
    stores: dict[str, _Estimate] = attrs.field(factory=dict)

    def record_prefill(self, cost_tokens: float, elapsed_s: float) -> None:
        """Records the time to first event of a request without fetches."""
        if cost_tokens < MIN_SAMPLE_TOKENS:
            return
        sample = elapsed_s / cost_tokens
        step = PREFILL_EWMA_WEIGHT * (sample - self.prefill_s_per_token)
        self.prefill_s_per_token += step

    def record_fetch(
        self,
        store: str,
        fetched_tokens: int,
        cost_tokens: float,
        elapsed_s: float,
        now_s: float,
    ) -> None:
        """Records the time to first event of a request with fetches."""
        if fetched_tokens < MIN_SAMPLE_TOKENS:
            return
        excess_s = max(0.0, elapsed_s - cost_tokens * self.prefill_s_per_token)
        sample = excess_s / fetched_tokens
        estimate = self.stores.get(store)
        before = 0.0 if estimate is None else estimate.now(now_s)
        after = before + FETCH_EWMA_WEIGHT * (sample - before)
        self.stores[store] = _Estimate(after, now_s)

    def is_worthwhile(self, store: str, now_s: float) -> bool:
        """Returns whether fetches from a store or engine are fast enough.

        >>> costs = FetchCosts(prefill_s_per_token=1e-5)
        >>> costs.record_fetch("s", 1000, 0, 1.0, now_s=0.0)
        >>> costs.is_worthwhile("s", now_s=0.1)
        False
        >>> costs.is_worthwhile("s", now_s=9.0)
        True
        """
        estimate = self.stores.get(store)
        if estimate is None:
            return True
        return (
            estimate.now(now_s)
            <= MAX_FETCH_TO_PREFILL_RATIO * self.prefill_s_per_token
        )
