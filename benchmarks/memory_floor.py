"""Resident memory of a fresh interpreter after importing parts of the system.

Run: python -m benchmarks.memory_floor
"""

from __future__ import annotations

import json
import subprocess
import sys

IMPORTS = {
    "bare interpreter": (),
    "asyncio": ("asyncio",),
    "anyio": ("anyio", "anyio._backends._asyncio"),
    "anyio and attrs": ("anyio", "anyio._backends._asyncio", "attrs"),
    "transport": ("anyio._backends._asyncio", "cactusstile.transport.pool"),
    "uvicorn": ("uvicorn",),
    "starlette": ("starlette.applications",),
    "httpcore": ("httpcore",),
    "prometheus_client": ("prometheus_client",),
    "fire": ("fire",),
    "control": ("anyio._backends._asyncio", "cactusstile.control.daemon"),
    "entry": ("anyio._backends._asyncio", "cactusstile.entry.daemon"),
    "agent": ("anyio._backends._asyncio", "cactusstile.agent.daemon"),
    "store": ("anyio._backends._asyncio", "cactusstile.store.daemon"),
}
_CHILD_PROGRAM = """
import importlib, sys
for name in sys.argv[1:]:
    importlib.import_module(name)
for line in open("/proc/self/status"):
    if line.startswith("VmRSS"):
        print(line.split()[1])
"""


def measure(modules: tuple[str, ...]) -> int:
    """Returns the resident kilobytes after importing `modules`."""
    result = subprocess.run(  # noqa: S603
        [sys.executable, "-c", _CHILD_PROGRAM, *modules],
        capture_output=True,
        text=True,
        check=True,
    )
    return int(result.stdout)


def main() -> None:
    """Prints one JSON line for each set of imports."""
    for label, modules in IMPORTS.items():
        try:
            kilobytes = measure(modules)
        except subprocess.CalledProcessError as error:
            reason = error.stderr.strip().splitlines()[-1]
            print(json.dumps({"imports": label, "failed": reason}))
            continue
        print(json.dumps({"imports": label, "megabytes": kilobytes / 1024}))


if __name__ == "__main__":
    main()
