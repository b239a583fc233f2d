"""Candidate targets of a prompt: its home targets, bounded by load."""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.routing import rendezvous

MAX_CANDIDATES = 3
LOAD_FACTOR = 1.5
MIN_LOAD_BOUND = 8


def select(
    homes: collections.abc.Sequence[rendezvous.Member],
    loads: collections.abc.Mapping[str, float],
    *,
    count: int = MAX_CANDIDATES,
    load_factor: float = LOAD_FACTOR,
    near: str = "",
) -> list[rendezvous.Member]:
    """Returns the targets to probe, in rank order.

    Takes the highest-ranked members whose load is below the bound, see
    `load_bound`. If too few remain, fills the list with overloaded members,
    least loaded first. If no selected member is in the data centre `near`,
    replaces the last one by the highest-ranked member there, because that
    member can import the prompt's stored blocks without using a limited link.

    Args:
      homes: Live targets that serve the deployment, ranked by rendezvous
        hashing of the prompt's key.
      loads: Work that this process has in progress, by target name; 0 for
        targets that are not listed. The unit is arbitrary but additive.
      count: Maximum number of members to select, at least 1.
      load_factor: Bound on a member's load as a multiple of the mean load.
      near: Data centre of the store that holds the prompt's blocks; empty if
        there is no such store.

    Returns:
      At most `count` distinct members; empty only if there are no live
      members.
    """
    bound = load_bound(homes, loads, load_factor)
    below_bound = [home for home in homes if loads.get(home.name, 0) < bound]
    selected = below_bound[:count]
    if len(selected) < count:
        taken = {member.name for member in selected}
        overloaded = [home for home in homes if home.name not in taken]
        overloaded.sort(key=lambda home: loads.get(home.name, 0) / home.weight)
        return selected + overloaded[: count - len(selected)]
    return _include_data_centre(selected, below_bound[count:], near)


def load_bound(
    members: collections.abc.Sequence[rendezvous.Member],
    loads: collections.abc.Mapping[str, float],
    load_factor: float,
) -> float:
    """Returns the load at which a member receives no further keys.

    The bound is never below `MIN_LOAD_BOUND`: small loads are not significant,
    and the probes report exact queue lengths anyway.

    >>> from cactusstile.routing import rendezvous
    >>> members = [rendezvous.Member("a"), rendezvous.Member("b")]
    >>> load_bound(members, {"a": 31}, 1.5)
    24
    """
    if not members:
        return 0
    total = sum(loads.get(member.name, 0) for member in members)
    mean_bound = math.ceil(load_factor * (total + 1) / len(members))
    return max(MIN_LOAD_BOUND, mean_bound)


def _include_data_centre(
    selected: list[rendezvous.Member],
    unselected: list[rendezvous.Member],
    near: str,
) -> list[rendezvous.Member]:
    has_nearby = any(member.data_centre == near for member in selected)
    if not near or has_nearby or len(selected) == 1:
        return selected
    for member in unselected:
        if member.data_centre == near:
            return [*selected[:-1], member]
    return selected
