from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from cactusstile.limits import token_bucket


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.floats(0, 2), strategies.integers(1, 500)),
        max_size=40,
    )
)
def test_bucket_never_grants_more_than_the_bandwidth(
    steps: list[tuple[float, int]],
) -> None:
    now_s = 0.0
    bucket = token_bucket.TokenBucket(100, lambda: now_s, burst_bytes=50)
    for pause_s, size in steps:
        now_s += pause_s
        if bucket.try_take(size, max_delay_s=1.0):
            completed_s = now_s + bucket.delay_s(0)
            assert bucket.sent_bytes <= 50 + 100 * completed_s + 1e-6


def test_background_transfer_is_denied_while_the_bucket_is_low() -> None:
    now_s = 0.0
    bucket = token_bucket.TokenBucket(100, lambda: now_s, burst_bytes=100)
    assert bucket.try_take(80, max_delay_s=1.0)
    assert not bucket.try_take_background(1)
    assert bucket.try_take(50, max_delay_s=1.0)
    now_s = 1.0
    assert bucket.try_take_background(10)


def test_bucket_rejects_bandwidth_of_zero() -> None:
    with pytest.raises(ValueError, match="bandwidth"):
        token_bucket.TokenBucket(0, lambda: 0.0)


def test_recent_rate_approaches_steady_rate_and_decays() -> None:
    now_s = 0.0
    bucket = token_bucket.TokenBucket(1000, lambda: now_s)
    for _ in range(600):
        now_s += 0.1
        assert bucket.try_take(20, max_delay_s=1.0)
    assert bucket.recent_bytes_per_s() == pytest.approx(200, rel=0.05)
    now_s += 10 * token_bucket.RECENT_HALF_LIFE_S
    assert bucket.recent_bytes_per_s() < 1
