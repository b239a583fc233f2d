"""The platform's list of targets, on its way to the gateways."""

from __future__ import annotations

import functools
import logging
import typing

import anyio
import anyio.abc

from cactusstile import guards
from cactusstile.registry import build_records
from cactusstile.sites import discovery

if typing.TYPE_CHECKING:
    from cactusstile.consensus import replica
    from cactusstile.registry import feed as feeds
    from cactusstile.registry import weights
    from cactusstile.sites import model

logger = logging.getLogger(__name__)


class TargetListing:
    """Publishes the lists that this process reads.

    Attributes:
      targets: Targets of the last list.
      feed: Sends lists to gateways.
      replica: This process's replica.
      group: Runs the commits that precede a list.
      order: Held while a list is on its way; lists take it by their age.
      controller: Tells which targets swap their weights; None before it runs.
    """

    def __init__(
        self,
        feed: feeds.Feed,
        own_replica: replica.Replica,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Publishes through `feed`; see the attributes."""
        self.targets: tuple[model.Target, ...] = ()
        self.feed = feed
        self.replica = own_replica
        self.group = group
        self.order = anyio.Lock()
        self.controller: weights.WeightsController | None = None
        self._guard = guards.Guard("published lists")

    def update(self, listed: tuple[model.Target, ...], asked_s: float) -> None:
        """Publishes a new list, once what it changes is committed.

        Args:
          listed: Targets of the list.
          asked_s: Loop time at which the platform was asked for it.
        """
        change = discovery.describe_change(self.targets, listed)
        if change:
            logger.info("targets changed", extra=change)
        self.group.start_soon(self._record_and_publish, listed, asked_s)

    async def _record_and_publish(
        self, listed: tuple[model.Target, ...], asked_s: float
    ) -> None:
        # A list whose commit takes long must not follow a newer one.
        async with self.order:
            with self._guard.contain():
                await build_records.record_and_publish(
                    self.feed.site,
                    self.replica,
                    listed,
                    functools.partial(self._apply, asked_s),
                )

    def _apply(self, asked_s: float, listed: tuple[model.Target, ...]) -> None:
        self.targets = listed
        self.feed.listed_at_s = asked_s
        self.publish()

    def publish(self) -> None:
        """Publishes the last list with the present progress of swaps."""
        if self.controller is not None:
            progress = self.controller.with_swap_progress(self.targets)
            self.feed.set_targets(progress)
