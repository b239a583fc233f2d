"""Command `status`: shows a summary of the fleet."""

from __future__ import annotations

import typing

import attrs

from cactusstile.console import operator
from cactusstile.control import operations
from cactusstile.control import target_views

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.agent import status as target_status

MAX_TARGET_LINES = 60
BYTES_PER_MB = 1_000_000


@attrs.frozen
class Status:
    """Summary of the fleet.

    Attributes:
      site: Name of the site.
      coverage: Distribution of the revision in force.
      control: Views of the control VMs.
      targets: Engines, services and stores, sorted by name.
      links: Links with limited bandwidth.
    """

    site: str
    coverage: operations.Coverage
    control: list[operations.ControlView]
    targets: list[target_views.TargetView]
    links: list[target_views.LinkView]


def run(
    *, json: bool = False, settings: str = operator.DEFAULT_SETTINGS
) -> None:
    """Shows revision, quorum, targets with load, stores and links.

    Args:
      json: Whether to print JSON.
      settings: Path of the operator's settings.
    """
    status = operator.run(settings, _read_status)
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
    _print_quorum(status.control)
    _print_targets(status.targets, coverage.revision)
    for link in status.links:
        print(_describe_link(link))


async def _read_status(opened: operations.OperatorSession) -> Status:
    fleet = await opened.control.read_fleet()
    coverage = await operations.read_coverage(opened, fleet)
    control = await operations.read_control_views(opened)
    targets = await target_views.query_targets(opened.connections, fleet)
    links = target_views.sum_link_usage(fleet, targets)
    return Status(fleet.name, coverage, control, targets, links)


def _print_quorum(views: list[operations.ControlView]) -> None:
    """Prints each group's state in its newest term and the agreeing voters."""
    answered = [view for view in views if view.groups]
    print(f"{len(answered)} of {len(views)} control VMs answer")
    for view in views:
        if not view.groups:
            print(f"  {view.address}: does not answer")
    groups = [group for view in answered for group in view.groups]
    for name in sorted({group.group for group in groups}):
        group_views = [group for group in groups if group.group == name]
        newest = max(group_views, key=lambda group: group.term)
        agreeing = sum(
            (group.term, group.leader) == (newest.term, newest.leader)
            for group in group_views
        )
        voters = sum(member.voter for member in newest.members)
        print(
            f"  {name}: leader {newest.leader or 'unknown'}, term "
            f"{newest.term}, {agreeing} of {voters} voters agree, committed "
            f"{newest.commit_index}"
        )


def _print_targets(views: list[target_views.TargetView], revision: int) -> None:
    """Prints a line per target, in a large fleet only if it needs attention."""
    answered = sum(view.state is not None for view in views)
    print(f"{answered} of {len(views)} targets answer")
    shown = views
    if len(views) > MAX_TARGET_LINES:
        shown = [view for view in views if _needs_attention(view, revision)]
        print(f"{len(shown)} are silent, not ready, leaving or behind")
    for view in shown[:MAX_TARGET_LINES]:
        print(f"  {_describe_target(view, revision)}")
    if len(shown) > MAX_TARGET_LINES:
        print(f"  and {len(shown) - MAX_TARGET_LINES} more; --json lists all")


def _needs_attention(view: target_views.TargetView, revision: int) -> bool:
    state = view.state
    if state is None:
        return True
    return state.leaving or not state.ready or state.revision < revision


def _describe_target(view: target_views.TargetView, revision: int) -> str:
    place = f"{view.name} ({view.kind}, {view.data_centre})"
    if view.state is None:
        return f"{place}: {view.problem}"
    return f"{place}: {', '.join(_list_facts(view, view.state, revision))}"


def _list_facts(
    view: target_views.TargetView,
    state: target_status.TargetState,
    revision: int,
) -> collections.abc.Iterator[str]:
    if view.serves:
        yield f"{view.serves} {state.version}".rstrip()
        yield f"{state.running} of {state.slots} running"
        yield f"{state.queued} queued ({state.queued_tokens} tokens)"
    else:
        yield f"{state.blocks} blocks"
        yield "memory " + _describe_usage(
            state.memory_bytes, state.memory_bound_bytes
        )
        yield "disk " + _describe_usage(
            state.disk_bytes, state.disk_bound_bytes
        )
    if state.revision < revision:
        yield f"revision {state.revision}"
    if state.leaving:
        yield "leaves"
    elif not state.ready:
        yield "not ready"


def _describe_usage(used: int, bound: int) -> str:
    if not bound:
        return "off"
    used_mb = used / BYTES_PER_MB
    bound_mb = bound / BYTES_PER_MB
    return f"{used_mb:.1f} of {bound_mb:.1f} MB ({used / bound:.0%})"


def _describe_link(link: target_views.LinkView) -> str:
    return (
        f"link {link.one} {link.other}: "
        f"{link.recent_bytes_per_s / link.bytes_per_s:.1%} of "
        f"{link.bytes_per_s / BYTES_PER_MB:.1f} MB/s of late, "
        f"{link.sent_bytes / BYTES_PER_MB:.1f} MB since the agents started"
    )
