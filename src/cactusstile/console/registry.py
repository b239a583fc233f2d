"""Command `registry`: runs a registry process."""

from __future__ import annotations

from cactusstile.console import node_process
from cactusstile.registry import process


def run(settings: str = "") -> None:
    """Runs a registry process until a signal stops it.

    Args:
      settings: Path of the settings file; by default where the platform puts
        it.
    """
    node_process.run("registry", settings, process.run)
