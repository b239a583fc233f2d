"""Command `status`: shows the fleet at a glance."""

from __future__ import annotations

import attrs

from cactusstile.console import member
from cactusstile.console import operator
from cactusstile.control import operations


@attrs.frozen
class Status:
    """The fleet at a glance.

    Attributes:
      site: Name of the site.
      coverage: Where the revision in force is known.
      control: Views of the control VMs.
    """

    site: str
    coverage: operations.Coverage
    control: list[operations.ControlView]


def run(
    *, json: bool = False, settings: str = operator.DEFAULT_SETTINGS
) -> None:
    """Shows revision, coverage and control VMs.

    Args:
      json: Whether to print JSON.
      settings: Path of the operator's settings.
    """

    async def read(opened: operations.Operator) -> Status:
        fleet = await opened.control.read_fleet()
        coverage = await operations.find_coverage(opened, fleet)
        views = await operations.view_members(opened)
        return Status(fleet.name, coverage, views)

    status = operator.run(settings, read)
    if json:
        operator.print_json(status)
        return
    coverage = status.coverage
    print(f"{status.site or 'no site yet'}: revision {coverage.revision}")
    print(f"in force on {coverage.current} of {coverage.nodes} processes")
    print(
        f"{coverage.agents} agents follow, {coverage.declared} targets declared"
    )
    for name in coverage.missing:
        print(f"  missing: {name}")
    member.print_views(status.control)
