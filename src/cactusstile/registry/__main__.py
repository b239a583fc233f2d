"""Starts a registry without importing the command line, which is slow."""

from __future__ import annotations

from cactusstile.console import registry

if __name__ == "__main__":
    registry.run()
