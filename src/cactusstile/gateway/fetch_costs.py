"""Whether a fetch from a store is expected to beat reading the part anew.

Answers links that turn slow: what fetches add to the time until the first
event is learnt for each store, and a store whose fetches take longer than
reading is left alone until its estimate has aged.
"""

from __future__ import annotations

import attrs

# Time to read a token before anything was observed.
READING_S_PER_TOKEN = 1 / 40_000
# Weight of the newest observation.
READING_STEP = 0.05
FETCHING_STEP = 0.3
# Prompts below this length say nothing about the pace.
MIN_TOKENS = 500
# Time in which an estimate falls to a half, so that stores are tried again.
HALF_LIFE_S = 1.0
# Fetches may take this much longer than reading, since reading takes the time
# of other requests too.
PATIENCE = 1.5


@attrs.define
class _Estimate:
    """Estimated time per fetched token, as of a moment."""

    s_per_token: float
    at_s: float

    def now(self, now_s: float) -> float:
        """Returns the estimate, aged."""
        aged: float = 0.5 ** ((now_s - self.at_s) / HALF_LIFE_S)
        return self.s_per_token * aged


@attrs.define
class FetchCosts:
    """Paces of reading and fetching.

    Attributes:
      reading_s_per_token: Time per token of cost until the first event.
      stores: Time per fetched token of each store.
    """

    reading_s_per_token: float = READING_S_PER_TOKEN
    stores: dict[str, _Estimate] = attrs.field(factory=dict)

    def note_read(self, cost_tokens: float, took_s: float) -> None:
        """Notes a first event of a request that fetched nothing."""
        if cost_tokens < MIN_TOKENS:
            return
        sample = took_s / cost_tokens
        step = READING_STEP * (sample - self.reading_s_per_token)
        self.reading_s_per_token += step

    def note_fetch(
        self,
        store: str,
        fetched_tokens: int,
        cost_tokens: float,
        took_s: float,
        now_s: float,
    ) -> None:
        """Notes a first event of a request that fetched from a store."""
        if fetched_tokens < MIN_TOKENS:
            return
        excess_s = max(0.0, took_s - cost_tokens * self.reading_s_per_token)
        sample = excess_s / fetched_tokens
        known = self.stores.get(store)
        before = 0.0 if known is None else known.now(now_s)
        after = before + FETCHING_STEP * (sample - before)
        self.stores[store] = _Estimate(after, now_s)

    def pays(self, store: str, now_s: float) -> bool:
        """Returns whether a fetch from a store is worth its time.

        >>> costs = FetchCosts(reading_s_per_token=1e-5)
        >>> costs.note_fetch("s", 1000, 0, 1.0, now_s=0.0)
        >>> costs.pays("s", now_s=0.1), costs.pays("s", now_s=9.0)
        (False, True)
        """
        known = self.stores.get(store)
        if known is None:
            return True
        return known.now(now_s) <= PATIENCE * self.reading_s_per_token
