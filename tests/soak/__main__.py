"""Runs the soak test: `python -m tests.soak --first 1 --count 50`."""

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


def run(
    first: int = 1,
    count: int = 1,
    duration_s: float = DURATION_S,
    skip: str | tuple[str, ...] = (),
) -> None:
    """Runs seeds one after the other and prints a summary line for each.

    Args:
      first: The first seed.
      count: Number of seeds.
      duration_s: Time within which faults start, in seconds.
      skip: Kinds of faults to leave out, separated by commas.
    """
    # The command line gives a tuple where there are commas.
    skipped = (skip,) if isinstance(skip, str) else skip
    failed_seeds = []
    for seed in range(first, first + count):
        folder = FOLDER / f"{seed}-{int(time.time())}"
        folder.mkdir(parents=True)
        history, violations = anyio.run(
            play.play, seed, folder, duration_s, skipped
        )
        write_times(history, folder / "times.txt")
        print(f"seed {seed}: {describe(history)}", flush=True)
        for violation in violations[:20]:
            print(f"  {violation.promise}: {violation.text}", flush=True)
        if violations:
            failed_seeds.append(seed)
            print(f"  logs: {folder}", flush=True)
    if failed_seeds:
        sys.exit(f"broken: seeds {failed_seeds}")


def write_times(history: histories.History, path: pathlib.Path) -> None:
    """Writes when faults, ends and calls were, as loop times."""
    lines = []
    for fault in history.injected_faults:
        until = "" if fault.to_s is None else f" until {fault.to_s:.3f}"
        lines.append(f"{fault.from_s:.3f} {fault.kind} {fault.subject}{until}")
    for end in history.ends:
        cause = f"signal {end.signal}" if end.signal else "no signal"
        lines.append(f"{end.at_s:.3f} end {end.name} {end.code}, {cause}")
    for call in history.calls.values():
        ended_s = call.ended_s or call.abandoned_s or 0.0
        lines.append(
            f"{call.sent_s:.3f} call {call.id} {call.path} {call.gateway}"
            f" {call.status} {call.failure or 'whole'} until {ended_s:.3f}"
        )
    path.write_text("\n".join(sorted(lines)) + "\n")


def describe(history: histories.History) -> str:
    """Returns a one-line summary of a run."""
    status_counts = collections.Counter(
        str(call.status or "none") for call in history.calls.values()
    )
    statuses = " ".join(
        f"{key}={status_counts[key]}" for key in sorted(status_counts)
    )
    recovery = "never"
    if history.recovered_s is not None:
        recovery = f"{history.recovered_s - history.faults_ended_s:.1f} s"
    return (
        f"{len(history.injected_faults)} faults,"
        f" {len(history.calls)} requests ({statuses}),"
        f" {len(history.changes)} changes, {len(history.orders)} orders,"
        f" served again after {recovery}"
    )


if __name__ == "__main__":
    fire.Fire(run)
