"""Command `diff`: shows what a fleet file would change."""

from __future__ import annotations

import pathlib

from cactusstile.console import operator
from cactusstile.control import operations
from cactusstile.state import fleet_file


def run(
    file: str,
    *,
    json: bool = False,
    settings: str = operator.DEFAULT_SETTINGS,
) -> None:
    """Compares a fleet file with the configuration in force.

    Args:
      file: Path of the fleet file.
      json: Whether to print JSON.
      settings: Path of the operator's settings.
    """
    fleet = fleet_file.read(pathlib.Path(file))

    async def compare(
        opened: operations.OperatorSession,
    ) -> tuple[int, list[operations.PartChange]]:
        in_force = await opened.control.read_fleet()
        return in_force.revision, operations.compare_fleets(in_force, fleet)

    revision, changes = operator.run(settings, compare)
    if json:
        operator.print_json(changes)
        return
    print(f"revision {revision} in force, {fleet.revision} in {file}")
    for change in changes:
        fields = ", ".join(change.fields)
        print(f"  {change.change:<8} {change.key} {fields}".rstrip())
    if not changes:
        print("  no difference")
