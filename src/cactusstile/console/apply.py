"""Command `apply`: applies a fleet file."""

from __future__ import annotations

import pathlib

from cactusstile.console import exceptions
from cactusstile.console import operator
from cactusstile.control import messages
from cactusstile.control import operations
from cactusstile.state import fleet_file
from cactusstile.state import model

APPLY_TIMEOUT_S = 15.0
WAIT_TIMEOUT_S = 30.0
MAX_LISTED = 16


def run(
    file: str,
    *,
    wait: bool = False,
    timeout_s: float = WAIT_TIMEOUT_S,
    json: bool = False,
    settings: str = operator.DEFAULT_SETTINGS,
) -> None:
    """Applies a fleet file as a whole; it is safe to apply it again.

    Args:
      file: Path of the fleet file.
      wait: Whether to wait until it is in force everywhere.
      timeout_s: Bound on that wait, in seconds.
      json: Whether to print JSON.
      settings: Path of the operator's settings.
    """
    fleet = fleet_file.read(pathlib.Path(file))

    async def apply(
        opened: operations.OperatorSession,
    ) -> operations.Coverage | None:
        reply = await operations.apply_fleet(
            opened.control, fleet, timeout_s=APPLY_TIMEOUT_S
        )
        _check_accepted(reply, fleet)
        if not wait:
            return None
        return await operations.wait_in_force(opened, fleet, timeout_s)

    coverage = operator.run(settings, apply)
    _report(coverage or operations.Coverage(fleet.revision), wait, json)


def _report(coverage: operations.Coverage, wait: bool, json: bool) -> None:
    if json:
        operator.print_json(coverage)
    else:
        _print_coverage(coverage, waited=wait)
    if wait and not coverage.is_complete:
        raise exceptions.CommandError(
            f"revision {coverage.revision} is accepted but not yet in force "
            "everywhere; `cactusstile status` shows the progress",
            exceptions.ExitCode.INCOMPLETE,
        )


def _check_accepted(reply: messages.ApplyReply, fleet: model.Fleet) -> None:
    outcomes = messages.ApplyOutcome
    outcome = outcomes(reply.outcome)
    if outcome is outcomes.ACCEPTED:
        return
    advice = {
        outcomes.TAKEN: (
            f"revision {fleet.revision} was first used by "
            f"{reply.operator or 'an unrecorded operator'} for other "
            f"content ({reply.digest.hex()[:12]}); see `cactusstile history`, "
            "then apply yours under a higher number"
        ),
        outcomes.LOWER: (
            f"revision {reply.revision} is in force; apply yours under a "
            "higher number"
        ),
        outcomes.FORGOTTEN: (
            f"the content of revision {fleet.revision} is no longer recorded; "
            "apply yours under a higher number"
        ),
    }
    raise exceptions.CommandError(advice[outcome], exceptions.ExitCode.REFUSED)


def _print_coverage(coverage: operations.Coverage, *, waited: bool) -> None:
    print(f"revision {coverage.revision} is accepted")
    if not waited:
        return
    print(f"in force on {coverage.current} of {coverage.nodes} processes")
    absent = coverage.declared - coverage.agents
    if absent > 0:
        print(f"  {absent} declared targets have no agent that follows")
    for name in coverage.absent[:MAX_LISTED]:
        print(f"  no agent: {name}")
    if len(coverage.absent) > MAX_LISTED:
        print(f"  and {len(coverage.absent) - MAX_LISTED} more; see --json")
    for name in coverage.missing:
        print(f"  missing: {name}")
    for name in coverage.unreachable:
        print(f"  control VM {name} does not answer")
