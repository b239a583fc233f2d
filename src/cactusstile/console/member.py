"""Command `member`: lists, adds, repairs or removes control members."""

from __future__ import annotations

from cactusstile.console import exceptions
from cactusstile.console import operator
from cactusstile.control import operations

ACTIONS = ("list", "add", "promote", "repair", "remove")


def run(
    action: str = "list",
    name: str = "",
    *,
    timeout_s: float = operations.MEMBER_TIMEOUT_S,
    json: bool = False,
    settings: str = operator.DEFAULT_SETTINGS,
) -> None:
    """Lists or changes the control replicas.

    A repair replaces a replica that lost its disk. It is complete only when
    the new replica stores all committed entries and votes.

    Args:
      action: One of list, add, promote, repair, remove.
      name: Name of the replica; not for list.
      timeout_s: Bound on a change of one group, in seconds.
      json: Whether to print JSON.
      settings: Path of the operator's settings.
    """
    if action not in ACTIONS or (action != "list" and not name):
        raise exceptions.CommandError(
            f"give one of {', '.join(ACTIONS)}; all but list need a name",
            exceptions.ExitCode.USAGE,
        )

    async def act(
        opened: operations.OperatorSession,
    ) -> list[operations.ControlView]:
        if action != "list":
            await operations.change_member(opened, action, name, timeout_s)
        return await operations.read_control_views(opened)

    views = operator.run(settings, act)
    if json:
        operator.print_json(views)
        return
    if action != "list":
        print(f"{action} of {name} is done in all groups")
    print_views(views)


def print_views(views: list[operations.ControlView]) -> None:
    """Prints the consensus groups as reported by each control VM."""
    for view in views:
        _print_view(view)


def _print_view(view: operations.ControlView) -> None:
    if not view.groups:
        print(f"{view.address}: does not answer")
    for group in view.groups:
        print(
            f"{view.address}: {group.group}, leader "
            f"{group.leader or 'unknown'}, term {group.term}, "
            f"committed {group.commit_index}"
        )
        for member in group.members:
            kind = "voter" if member.voter else "learner"
            if member.joining:
                kind = "waits to join"
            print(f"  {member.name} {member.address} {kind}")
