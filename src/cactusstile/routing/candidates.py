"""Candidate targets of a prompt: its homes, bounded by load."""

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
    """Returns the targets to probe, the first home first.

    Walks the homes and passes over members whose load has reached
    `load_factor` times the mean. They fill up the list only when too few
    others are left, least loaded first. When no chosen member lies in the
    data centre `near`, the last place goes to the best home there, since it
    can import the prompt's kept blocks without using a limited link.

    Args:
      homes: Live targets that serve the deployment, in the order in which
        they are homes of the prompt's key.
      loads: Work that this process has under way, by target name; targets
        that are not named have none. Any unit that adds up.
      count: Length of the list, at least 1.
      load_factor: Bound on a member's load in multiples of the mean.
      near: Data centre of the store that keeps the prompt's blocks.

    Returns:
      At most `count` different members; empty only without live members.
    """
    bound = load_bound(homes, loads, load_factor)
    free = [home for home in homes if loads.get(home.name, 0) < bound]
    chosen = free[:count]
    if len(chosen) < count:
        taken = {member.name for member in chosen}
        rest = [home for home in homes if home.name not in taken]
        rest.sort(key=lambda home: loads.get(home.name, 0) / home.weight)
        return chosen + rest[: count - len(chosen)]
    return _swap_in_neighbour(chosen, free[count:], near)


def load_bound(
    members: collections.abc.Sequence[rendezvous.Member],
    loads: collections.abc.Mapping[str, float],
    load_factor: float,
) -> float:
    """Returns the load at which a member gets no further keys.

    Small numbers say little, and the probes tell exact queues anyway, so that
    a member may always have `MIN_LOAD_BOUND`.

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


def _swap_in_neighbour(
    chosen: list[rendezvous.Member],
    spare: list[rendezvous.Member],
    near: str,
) -> list[rendezvous.Member]:
    has_neighbour = any(member.data_centre == near for member in chosen)
    if not near or has_neighbour or len(chosen) == 1:
        return chosen
    for member in spare:
        if member.data_centre == near:
            return [*chosen[:-1], member]
    return chosen
