"""Runs seeds of the soak: `python -m tests.soak --first 1 --count 50`."""

from __future__ import annotations

import collections
import pathlib
import sys
import time

import anyio
import fire
from tests.soak import history as histories
from tests.soak import play

FOLDER = pathlib.Path("target") / "soak"
DURATION_S = 10.0


def run(first: int = 1, count: int = 1, duration_s: float = DURATION_S) -> None:
    """Plays seeds one after the other and prints a line for each.

    Args:
      first: The first seed.
      count: How many seeds.
      duration_s: Time in which faults begin.
    """
    failed = []
    for seed in range(first, first + count):
        folder = FOLDER / f"{seed}-{int(time.time())}"
        folder.mkdir(parents=True)
        seen, broken = anyio.run(play.play, seed, folder, duration_s)
        print(f"seed {seed}: {describe(seen)}", flush=True)
        for one in broken[:20]:
            print(f"  {one.promise}: {one.text}", flush=True)
        if broken:
            failed.append(seed)
            print(f"  logs: {folder}", flush=True)
    if failed:
        sys.exit(f"broken: seeds {failed}")


def describe(seen: histories.History) -> str:
    """Returns what happened in a run, in one line."""
    answers = collections.Counter(
        str(one.status or "none") for one in seen.calls.values()
    )
    told = " ".join(f"{key}={answers[key]}" for key in sorted(answers))
    recovery = "never"
    if seen.recovered_s is not None:
        recovery = f"{seen.recovered_s - seen.healed_s:.1f} s"
    return (
        f"{len(seen.disturbances)} faults, {len(seen.calls)} requests ({told}),"
        f" {len(seen.changes)} changes, {len(seen.orders)} orders,"
        f" served again after {recovery}"
    )


if __name__ == "__main__":
    fire.Fire(run)
