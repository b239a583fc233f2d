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


def test_product_meets_its_aims_on_a_short_trace(
    trace: list[traces.Request],
) -> None:
    own = _run(trace, baselines.product())
    lagging = _run(trace, baselines.least_loaded())
    always = baselines.Options(fetch_always=True)
    fetching = _run(trace, baselines.product("fetch_always", always))
    floor = traces.unlimited_cache_share(trace, load.WARM_UP_SHARE * DURATION_S)
    assert own.p95_ms <= 0.5 * lagging.p95_ms
    assert own.computed_share <= 1.2 * floor
    assert own.link_gb <= 0.5 * fetching.link_gb
    assert not own.refusals


def test_link_use_in_the_choice_saves_transfers(
    trace: list[traces.Request],
) -> None:
    blind = baselines.Options(link_aware=False)
    without = _run(trace, baselines.product("blind", blind))
    assert _run(trace, baselines.product()).link_gb < 0.5 * without.link_gb


def test_model_is_deterministic_by_seed(trace: list[traces.Request]) -> None:
    again = traces.generate(sites.TERAS, 5, DURATION_S, 0.7)
    assert _run(trace, baselines.product()) == _run(again, baselines.product())


@pytest.mark.parametrize("checked", [True, False])
def test_flipped_blocks_give_wrong_answers_only_unchecked(
    trace: list[traces.Request],
    checked: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    if not checked:
        monkeypatch.setattr(blocks, "verify", lambda *_: None)
    fault = fault_cases.flip_blocks(0.5 * DURATION_S)
    policy = baselines.product()
    result = load.run_policy(
        sites.TERAS, trace, policy, DURATION_S, fault=fault
    )
    assert (result.wrong == 0) is checked
