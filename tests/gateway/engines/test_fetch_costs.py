from __future__ import annotations

from cactusstile.gateway.engines import fetch_costs

PREFILL_S_PER_TOKEN = 1e-5
PROMPT_TOKENS = 12_000
FETCHED_TOKENS = 8_600


def _observe(
    costs: fetch_costs.FetchCosts,
    *,
    slowdown: float,
    fetch_s: float,
    count: int = 30,
) -> bool:
    """Alternates prompts with and without a fetch; returns what is decided."""
    read_s = PREFILL_S_PER_TOKEN * slowdown
    rest = PROMPT_TOKENS - FETCHED_TOKENS
    for number in range(count):
        costs.record_prefill(
            fetch_costs.FirstEvent("r", PROMPT_TOKENS, PROMPT_TOKENS * read_s)
        )
        costs.record_fetch(
            "store",
            FETCHED_TOKENS,
            fetch_costs.FirstEvent("r", rest, rest * read_s + fetch_s),
            now_s=0.1 * number,
        )
    return costs.is_worthwhile("store", now_s=0.1 * count)


def test_busy_engines_are_not_taken_for_a_slow_store() -> None:
    costs = fetch_costs.FetchCosts()
    assert _observe(costs, slowdown=1.0, fetch_s=0.01)
    assert _observe(costs, slowdown=10.0, fetch_s=0.1)


def test_wait_of_the_least_urgent_is_not_taken_for_a_slow_store() -> None:
    """Guards against prefilling stored prompts when engines are busiest.

    Urgent prompts are prefilled at once, the others wait behind them.
    """
    costs = fetch_costs.FetchCosts()
    for number in range(10):
        for _ in range(8):
            costs.record_prefill(fetch_costs.FirstEvent("urgent", 2000, 0.02))
        costs.record_prefill(fetch_costs.FirstEvent("patient", 2000, 1.5))
        costs.record_fetch(
            "store",
            2000,
            fetch_costs.FirstEvent("patient", 500, 0.9),
            now_s=0.1 * number,
        )
    assert costs.is_worthwhile("store", now_s=1.0)


def test_slow_store_is_avoided() -> None:
    costs = fetch_costs.FetchCosts()
    slow_s = 2 * FETCHED_TOKENS * PREFILL_S_PER_TOKEN
    assert not _observe(costs, slowdown=1.0, fetch_s=slow_s)
