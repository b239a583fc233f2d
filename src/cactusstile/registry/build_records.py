"""Keeps in the replicated log which builds the listed targets run."""

from __future__ import annotations

import logging
import typing

import anyio

from cactusstile import clocks
from cactusstile.consensus import exceptions as consensus_exceptions
from cactusstile.control import commands
from cactusstile.sites import builds

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.consensus import replica
    from cactusstile.registry import state
    from cactusstile.sites import model

    Targets = tuple[model.Target, ...]
    Publish = collections.abc.Callable[[Targets], None]

logger = logging.getLogger(__name__)

# A list is published by then, recorded or not: targets that leave are on it.
COMMIT_TIMEOUT_S = 0.5


async def record_and_publish(
    site: state.SiteState,
    own_replica: replica.Replica,
    listed: Targets,
    publish: Publish,
) -> None:
    """Commits which builds a list shows, and then publishes the list.

    In this order, since gateways begin streams at a new build as soon as they
    know its targets. A commit that fails is tried again with the next list.

    Args:
      site: Replicated state of the site.
      own_replica: This process's replica.
      listed: Targets of the list.
      publish: Sends a list to the gateways.
    """
    known = site.image.builds
    changes = builds.find_changes(known, listed, clocks.unix_ms())
    if changes and own_replica.is_leader:
        command = builds.RecordBuilds(changes)
        try:
            with anyio.fail_after(COMMIT_TIMEOUT_S):
                await own_replica.propose(commands.pack(command))
        except (consensus_exceptions.ConsensusError, TimeoutError) as error:
            logger.warning(
                "builds of targets were not recorded",
                extra={"error": str(error)},
            )
        else:
            for change in changes:
                logger.info(
                    "targets of a service run other builds",
                    extra={"service": change.service, "builds": change.builds},
                )
    publish(listed)
