"""Starts a registry without importing the command line, which is slow."""

from __future__ import annotations

import importlib

from cactusstile.console import early_signals

if __name__ == "__main__":
    early_signals.hold()
    importlib.import_module("cactusstile.registry.early_founding").remember()
    importlib.import_module("cactusstile.console.registry").run()
