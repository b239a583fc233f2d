"""Runs tests or the soak with processes of two builds side by side.

Each process of the system that a test starts comes from this build or from
another one, and changes the build at each restart, so that both serve together
and read each other's files:

    export OTHER_PYTHON=PATH    # interpreter that has the other build installed
    python -m tests.two_builds pytest tests/processes
    python -m tests.two_builds tests.soak --first 1 --count 5

At the end it prints how often each role was started from each build.
"""

from __future__ import annotations

import collections
import os
import pathlib
import runpy
import sys
import tempfile

# The start counter is a folder for each command line: mkdir is atomic.
_SCRIPT = """#!/bin/sh
if [ "$1" != "-m" ] || [ "$2" != "cactusstile" ]; then
  exec "{own}" "$@"
fi
key=$(printf '%s ' "$@" | cksum | cut -d ' ' -f 1)
start=0
while ! mkdir "{folder}/$key-$start" 2>/dev/null; do start=$((start + 1)); done
if [ $(((key + start) % 2)) -eq 0 ]; then build=own python="{own}"
else build=other python="{other}"; fi
echo "$3 $build $start" >> "{folder}/starts"
exec "$python" "$@"
"""


def write_interpreter(folder: pathlib.Path, other: str) -> pathlib.Path:
    """Returns an interpreter that alternates between the two builds.

    Args:
      folder: Folder for it and for its record of starts.
      other: Interpreter that has the other build installed.
    """
    path = folder / "python"
    path.write_text(
        _SCRIPT.format(own=sys.executable, other=other, folder=folder)
    )
    path.chmod(0o755)
    return path


def describe_starts(folder: pathlib.Path) -> list[str]:
    """Returns a line with the number of starts by role and build."""
    starts: collections.Counter[tuple[str, str]] = collections.Counter()
    restarts: collections.Counter[tuple[str, str]] = collections.Counter()
    record = folder / "starts"
    lines = record.read_text().splitlines() if record.exists() else []
    for line in lines:
        role, build, start = line.split()
        starts[role, build] += 1
        restarts[role, build] += start != "0"
    return [
        f"{role}: {starts[role, build]} starts from the {build} build,"
        f" {restarts[role, build]} of them on data of the one before"
        for role, build in sorted(starts)
    ]


def main() -> None:
    """Runs the module that the command line names."""
    other = os.environ.get("OTHER_PYTHON", "")
    if not pathlib.Path(other).is_file() or len(sys.argv) < 2:
        sys.exit("set OTHER_PYTHON to an interpreter and name a module to run")
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        sys.executable = str(write_interpreter(folder, other))
        sys.argv = sys.argv[1:]
        try:
            runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
        finally:
            print("\n".join(describe_starts(folder)))


if __name__ == "__main__":
    main()
