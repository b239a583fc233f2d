from __future__ import annotations

import anyio
import pytest

from cactusstile.agent import gate
from cactusstile.targets import engine

pytestmark = pytest.mark.anyio
STATUS = engine.Status("model", "v1", (), "", slots=8, block_bytes=1)


async def test_pause_does_not_wait_for_admitted_runs() -> None:
    """Guards against an engine's open runs holding up those after a freeze."""
    version_gate = gate.VersionGate()
    version_gate.set_status(STATUS)
    with anyio.fail_after(1.0):
        async with version_gate.admit():
            with version_gate.paused(5.0):
                assert not version_gate.is_open
                assert 0 < version_gate.expected_wait_s() <= 5.0
            assert version_gate.is_open


# Guards against closed gates that count as open once they open late.
async def test_gate_that_opens_late_counts_as_open() -> None:
    version_gate = gate.VersionGate()
    version_gate.set_status(STATUS)
    with version_gate.paused(0.0):
        await anyio.sleep(0.01)
        assert version_gate.expected_wait_s() > 0
    assert version_gate.expected_wait_s() == 0
