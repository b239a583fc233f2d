"""Reads the platform's list of targets for all gateways."""

from __future__ import annotations

import logging
import typing

import anyio

from cactusstile.platform import client as clients

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.sites import model
    from cactusstile.transport import address

logger = logging.getLogger(__name__)

TOO_MANY_REQUESTS = 429
# Pause after the platform said that it is asked too often.
BACKOFF_S = 1.0


async def run(
    client: clients.Client,
    platform: address.Address,
    interval_s: float,
    wanted: collections.abc.Callable[[], bool],
    take: collections.abc.Callable[[tuple[model.Target, ...]], None],
) -> None:
    """Reads the list again and again.

    Args:
      client: Makes the calls.
      platform: Address of the list.
      interval_s: Time between two reads.
      wanted: Returns whether this process reads at this moment.
      take: Takes each list.
    """
    reachable = True
    while True:
        pause_s = interval_s
        if wanted():
            try:
                take(await client.list_targets(platform))
                if not reachable:
                    logger.info("the list of targets is back")
                reachable = True
            except clients.CallError as error:
                if error.status == TOO_MANY_REQUESTS:
                    pause_s = BACKOFF_S
                if reachable:
                    logger.warning(
                        "the list of targets cannot be read",
                        extra={"error": str(error)},
                    )
                reachable = False
        await anyio.sleep(pause_s)


def describe_change(
    before: tuple[model.Target, ...], after: tuple[model.Target, ...]
) -> dict[str, list[str]]:
    """Returns the ids of targets that came, went or began to leave."""
    old = {target.incarnation: target for target in before}
    new = {target.incarnation: target for target in after}
    came = [one.id for key, one in new.items() if key not in old]
    went = [one.id for key, one in old.items() if key not in new]
    leaving = []
    for key, one in new.items():
        known = old.get(key)
        if one.leaving and (known is None or not known.leaving):
            leaving.append(one.id)
    change = {"came": came, "went": went, "leaving": leaving}
    return {name: ids for name, ids in change.items() if ids}
