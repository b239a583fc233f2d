"""Starts a registry without the command line, whose import takes a while."""

from __future__ import annotations

from cactusstile.console import registry

if __name__ == "__main__":
    registry.run()
