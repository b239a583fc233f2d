"""Runs the command line: `python -m cactusstile`."""

from __future__ import annotations

import importlib
import sys

from cactusstile.console import early_signals

# Commands that run until a signal stops them.
PROCESSES = ("entry", "agent", "control", "gateway", "registry")


def main() -> None:
    """Runs the command in `sys.argv` and exits with its code."""
    if sys.argv[1:2] and sys.argv[1] in PROCESSES:
        early_signals.hold()
    importlib.import_module("cactusstile.console.application").main()


if __name__ == "__main__":
    main()
