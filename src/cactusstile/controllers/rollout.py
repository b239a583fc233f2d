"""Staged roll-out: which engine of a deployment loads weights when.

The deployment's targets, sorted by name, form as many chains as loads may run
at once. A target loads once the nearest reachable target before it in its
chain runs the wanted version. Each agent asks one other agent, nobody keeps a
list, and after a restart of the whole fleet the chains hold again.
"""

from __future__ import annotations

import logging
import random
import typing

import anyio

if typing.TYPE_CHECKING:
    import collections.abc

    ReadVersion = collections.abc.Callable[
        [str], collections.abc.Awaitable[str | None]
    ]
    HasRoom = collections.abc.Callable[[], collections.abc.Awaitable[bool]]

logger = logging.getLogger(__name__)

TURN_INTERVAL_S = 0.5
MAX_UNREACHABLE = 4


def predecessors(
    names: collections.abc.Iterable[str], own: str, max_concurrent_loads: int
) -> list[str]:
    """Returns the targets before `own` in its chain, the nearest first.

    >>> predecessors(["a", "b", "c", "d", "e"], "e", 2)
    ['c', 'a']
    """
    ordered = sorted(names)
    position = ordered.index(own)
    step = max(1, max_concurrent_loads)
    return [ordered[index] for index in range(position - step, -1, -step)]


async def is_turn(
    chain: collections.abc.Sequence[str],
    version: str,
    read_version: ReadVersion,
) -> bool:
    """Returns whether the nearest reachable target before runs `version`.

    Args:
      chain: Targets before this one, the nearest first.
      version: Wanted weight version.
      read_version: Returns the version that a target runs, or None if its
        agent cannot be reached.
    """
    for name in chain[:MAX_UNREACHABLE]:
        found = await read_version(name)
        if found is None:
            continue
        return found == version
    return True


async def wait_turn(
    is_next: collections.abc.Callable[[], collections.abc.Awaitable[bool]],
    has_room: HasRoom,
) -> None:
    """Returns once this target may load and the weight store has room."""
    while True:
        if await is_next() and await has_room():
            return
        await anyio.sleep(TURN_INTERVAL_S * random.uniform(0.5, 1.5))
