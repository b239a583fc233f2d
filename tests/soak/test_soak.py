"""A short run of the soak, and every seed that ever failed."""

from __future__ import annotations

import pathlib

import pytest
from tests.soak import play

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

DURATION_S = 4.0
FULL_DURATION_S = 10.0
# One of planned work alone, one of all faults.
SEEDS = (10, 3)
# Seeds that failed, at their full length:
# 62: a registry that was stopped while a caller connected ended in a traceback.
FAILED_SEEDS = (62,)


@pytest.mark.parametrize("seed", SEEDS)
async def test_short_run_breaks_no_promise(
    tmp_path: pathlib.Path, seed: int
) -> None:
    _, broken = await play.play(seed, tmp_path, DURATION_S)
    assert broken == []


@pytest.mark.parametrize("seed", FAILED_SEEDS)
async def test_seed_that_failed_breaks_no_promise(
    tmp_path: pathlib.Path, seed: int
) -> None:
    _, broken = await play.play(seed, tmp_path, FULL_DURATION_S)
    assert broken == []
