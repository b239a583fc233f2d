from __future__ import annotations

import pytest

from benchmarks import baselines
from benchmarks import fault_cases
from benchmarks import load
from benchmarks import sites
from benchmarks import traces
from cactusstile.store import blocks

DURATION_S = 400.0


@pytest.fixture(scope="module")
def trace() -> list[traces.Request]:
    return traces.generate(sites.TERAS, 5, DURATION_S, 0.7)


def _run(trace: list[traces.Request], policy: baselines.Policy) -> load.Result:
    return load.run_policy(sites.TERAS, trace, policy, DURATION_S)


def test_product_meets_goals_against_baselines_on_short_trace(
    trace: list[traces.Request],
) -> None:
    product_result = _run(trace, baselines.product())
    least_loaded_result = _run(trace, baselines.least_loaded())
    fetch_always = baselines.Options(fetch_always=True)
    fetch_always_result = _run(
        trace, baselines.product("fetch_always", fetch_always)
    )
    unlimited_cache_fraction = traces.unlimited_cache_share(
        trace, load.WARM_UP_FRACTION * DURATION_S
    )
    assert product_result.p95_ms <= 0.5 * least_loaded_result.p95_ms
    assert product_result.computed_share <= 1.2 * unlimited_cache_fraction
    assert product_result.link_gb <= 0.5 * fetch_always_result.link_gb
    assert not product_result.refusals


def test_link_aware_choice_halves_link_traffic(
    trace: list[traces.Request],
) -> None:
    link_unaware = baselines.Options(link_aware=False)
    link_unaware_result = _run(trace, baselines.product("blind", link_unaware))
    assert (
        _run(trace, baselines.product()).link_gb
        < 0.5 * link_unaware_result.link_gb
    )


def test_results_are_equal_for_same_seed(trace: list[traces.Request]) -> None:
    same_trace = traces.generate(sites.TERAS, 5, DURATION_S, 0.7)
    assert _run(trace, baselines.product()) == _run(
        same_trace, baselines.product()
    )


@pytest.mark.parametrize("verified", [True, False])
def test_corrupted_blocks_give_wrong_answers_only_without_verification(
    trace: list[traces.Request],
    verified: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    if not verified:
        monkeypatch.setattr(blocks, "verify", lambda *_: None)
    fault = fault_cases.flip_blocks(0.5 * DURATION_S)
    policy = baselines.product()
    result = load.run_policy(
        sites.TERAS, trace, policy, DURATION_S, fault=fault
    )
    assert (result.wrong == 0) is verified
