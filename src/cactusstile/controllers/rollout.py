"""Staged roll-out: the order in which engines of a deployment load weights.

The targets of a deployment, sorted by name, form as many chains as loads may
run at the same time. A target loads once its nearest reachable predecessor in
the chain runs the new version. Each agent queries a single other agent, and no
process stores the order, so that it is the same after a restart of the complete
fleet.
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
    """Returns the predecessors of `own` in its chain, the nearest first.

    Args:
      names: Names of the deployment's targets, including `own`.
      own: Name of this agent's target.
      max_concurrent_loads: Number of chains.

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
    """Returns whether the nearest reachable predecessor runs `version`.

    Also True if there is no predecessor or the nearest `MAX_UNREACHABLE` ones
    are unreachable.

    Args:
      chain: Predecessors of this target, the nearest first.
      version: Weight version to roll out.
      read_version: Returns the weight version that a target runs, or None if
        its agent cannot be reached.
    """
    for name in chain[:MAX_UNREACHABLE]:
        running_version = await read_version(name)
        if running_version is None:
            continue
        return running_version == version
    return True


async def wait_turn(
    is_next: collections.abc.Callable[[], collections.abc.Awaitable[bool]],
    has_room: HasRoom,
) -> None:
    """Returns once this target may load weights.

    Args:
      is_next: Returns whether the predecessor in the chain is done.
      has_room: Returns whether the weight store accepts another transfer.
    """
    while True:
        if await is_next() and await has_room():
            return
        await anyio.sleep(TURN_INTERVAL_S * random.uniform(0.5, 1.5))
