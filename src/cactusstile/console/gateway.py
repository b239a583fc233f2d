"""Command `gateway`: runs a gateway process."""

from __future__ import annotations

from cactusstile.console import node_process
from cactusstile.gateway import process


def run(settings: str = "") -> None:
    """Runs a gateway process until a signal stops it.

    Args:
      settings: Path of the settings file; by default where the platform puts
        it.
    """
    node_process.run("gateway", settings, process.run)
