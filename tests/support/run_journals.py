"""Journals of the runs at targets that are processes."""

from __future__ import annotations

import collections
import pathlib

import attrs


@attrs.define
class Run:
    """One run of a request at a target, from its journal.

    Attributes:
      key: Key of the target's process.
      begun_s: When it began.
      continues: Whether it goes on from a copy.
      ended_s: When it ended; infinite if it did not.
    """

    key: str
    begun_s: float
    continues: bool
    ended_s: float = float("inf")


def read_runs(
    folder: pathlib.Path, ends: dict[str, float]
) -> dict[str, list[Run]]:
    """Returns the runs in the journals, by request id, in order.

    Args:
      folder: Folder of the journals.
      ends: Times at which processes were killed, by their key.
    """
    runs: dict[str, list[Run]] = collections.defaultdict(list)
    for path in folder.glob("*.journal"):
        for line in path.read_text().splitlines():
            time_text, key, what, attempt = line.split()
            if what != "end":
                run = Run(key, float(time_text), what == "continue")
                runs[attempt].append(run)
                continue
            open_runs = [run for run in runs[attempt] if run.key == key]
            open_runs[-1].ended_s = float(time_text)
    for found in runs.values():
        found.sort(key=lambda run: run.begun_s)
        for run in found:
            run.ended_s = min(run.ended_s, ends.get(run.key, float("inf")))
    return runs
