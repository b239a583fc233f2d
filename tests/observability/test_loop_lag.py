from __future__ import annotations

import logging
import time
import types

import anyio
import prometheus_client
import pytest

from cactusstile import clocks
from cactusstile.observability import loop_lag

pytestmark = pytest.mark.anyio
LINE = "event loop stood still"


async def test_pause_of_the_process_goes_unnoticed(
    caplog: pytest.LogCaptureFixture,
) -> None:
    lag = loop_lag.LoopLag()
    registry = prometheus_client.CollectorRegistry()
    lag.show(registry)
    async with anyio.create_task_group() as group:
        group.start_soon(lag.run)
        await anyio.sleep(0.25)
        assert lag.paused_until_s == float("-inf")
        time.sleep(0.9)  # noqa: ASYNC251
        # This task goes on before the ticker does.
        now_s = anyio.current_time()
        assert lag.check(now_s) == lag.paused_until_s == now_s
        await anyio.sleep(0.3)
        group.cancel_scope.cancel()
    assert (lag.pauses, lag.paused_until_s) == (1, now_s)
    lines = [line for line in caplog.records if line.message == LINE]
    assert [line.levelno for line in lines] == [logging.WARNING]
    fields = vars(lines[0])
    assert 700 <= fields["lag_ms"] < 5000
    assert fields["processor_ms"] < fields["lag_ms"]
    longest = "cactusstile_loop_max_lag_seconds"
    assert (registry.get_sample_value(longest) or 0) >= 0.7
    assert (registry.get_sample_value(longest) or 0) < 0.7
    assert registry.get_sample_value("cactusstile_loop_pauses") == 1
    described = lag.describe(now_s + 1)
    assert described["ended_ms_ago"] == 1000


async def test_suspended_vm_goes_unnoticed(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    boot_s, steady_s = 100.0, 50.0
    monkeypatch.setattr(clocks, "boot_s", lambda: boot_s)
    steady = types.SimpleNamespace(
        monotonic=lambda: steady_s, process_time=time.process_time
    )
    monkeypatch.setattr(loop_lag, "time", steady)
    lag = loop_lag.LoopLag()
    assert lag.check(1.0) == float("-inf")
    boot_s, steady_s = 100.2, 50.2
    assert lag.check(1.2) == float("-inf")
    boot_s, steady_s = 160.2, 50.3
    assert lag.check(1.3) == 1.3
    assert vars(caplog.records[0])["suspended_ms"] == 59_900


async def test_lines_of_many_pauses_pile_up(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(clocks, "boot_s", lambda: 0.0)
    lag = loop_lag.LoopLag()
    for step in range(11):
        lag.check(step * 0.7)
    assert lag.pauses == 10
    assert len(caplog.records) == 5
    assert vars(caplog.records[-1])["not_logged"] == 1
