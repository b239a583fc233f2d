"""Polls the platform's list of targets."""

from __future__ import annotations

import logging
import typing

import anyio

from cactusstile import guards
from cactusstile.platform import client as clients

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.sites import model
    from cactusstile.transport import address

    OnTargets = collections.abc.Callable[
        [tuple[model.Target, ...], float], None
    ]

logger = logging.getLogger(__name__)

TOO_MANY_REQUESTS = 429
# Pause after the platform has rejected a request because of its rate limit.
BACKOFF_S = 1.0


async def run(
    client: clients.Client,
    platform: address.Address,
    interval_s: float,
    is_enabled: collections.abc.Callable[[], bool],
    on_targets: OnTargets,
) -> None:
    """Reads the list at a fixed interval until it is cancelled.

    Args:
      client: Makes the calls.
      platform: Address of the platform.
      interval_s: Pause between two reads, in seconds.
      is_enabled: Returns whether this process has to read the list now.
      on_targets: Called with each list and the loop time of the question, as
        answers may wait here while the process stands still.
    """
    reachable = True
    guard = guards.Guard("target list")
    while True:
        pause_s = interval_s
        if is_enabled():
            asked_s = anyio.current_time()
            try:
                listed = await client.list_targets(platform)
                with guard.contain():
                    on_targets(listed, asked_s)
                if not reachable:
                    logger.info("target list is readable again")
                reachable = True
            except clients.CallError as error:
                if error.status == TOO_MANY_REQUESTS:
                    pause_s = BACKOFF_S
                if reachable:
                    logger.warning(
                        "target list cannot be read",
                        extra={"error": str(error)},
                    )
                reachable = False
        await anyio.sleep(pause_s)


def describe_change(
    before: tuple[model.Target, ...], after: tuple[model.Target, ...]
) -> dict[str, list[str]]:
    """Returns the ids of targets that were added, removed or began to leave.

    Returns:
      The ids under "came", "went" and "leaving"; keys without ids are left out.
    """
    old = {target.incarnation: target for target in before}
    new = {target.incarnation: target for target in after}
    came = [listed.id for key, listed in new.items() if key not in old]
    went = [listed.id for key, listed in old.items() if key not in new]
    leaving = []
    for key, listed in new.items():
        previous = old.get(key)
        if listed.leaving and (previous is None or not previous.leaving):
            leaving.append(listed.id)
    change = {"came": came, "went": went, "leaving": leaving}
    return {name: ids for name, ids in change.items() if ids}
