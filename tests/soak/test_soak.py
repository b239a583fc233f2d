"""A short run of the soak, and every seed that ever failed."""

from __future__ import annotations

import pathlib

import pytest
from tests.soak import play

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

DURATION_S = 4.0
# One of planned work alone, one of all faults.
SEEDS = (10, 3)


@pytest.mark.parametrize("seed", SEEDS)
async def test_short_run_breaks_no_promise(
    tmp_path: pathlib.Path, seed: int
) -> None:
    _, broken = await play.play(seed, tmp_path, DURATION_S)
    assert broken == []
